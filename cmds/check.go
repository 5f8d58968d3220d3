package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/currantloft/currantloft/platform"
	"github.com/currantloft/currantloft/specs"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a set of declarations, or the settings of a host, without applying them",
		ArgsUsage: "[FOLDER]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "check the platform's settings `FILE` in place of a folder"},
			&cli.BoolFlag{Name: "storage", Usage: "the settings are those of a storage host"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if path := c.String("settings"); path != "" {
				return checkSettings(c, path)
			}
			_, set, err := readSet(c)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.Root().Writer, "ok:", set.Summary())
			return err
		},
	}
}

// checkSettings checks the settings file of a host on the prepared platform.
func checkSettings(c *cli.Command, path string) error {
	if c.Args().Present() {
		return usageError("%s wants a folder or --settings, not both", c.Name)
	}
	role := platform.RoleEdge
	if c.Bool("storage") {
		role = platform.RoleStorage
	}
	host, err := platform.LoadSettings(path, role)
	if err != nil {
		return &exitError{code: ExitFindings, cause: err}
	}
	_, err = fmt.Fprintf(c.Root().Writer, "ok: host %s in domain %s, %d MB, %g cores\n",
		host.Name(), host.Domain(), host.MemoryBytes()>>20, host.CPUQuota())
	return err
}

// readSet reads and checks the declarations in the folder argument.
func readSet(c *cli.Command) ([]specs.File, *specs.Set, error) {
	if c.Args().Len() != 1 {
		return nil, nil, usageError("%s wants one folder that holds the complete set", c.Name)
	}
	files, err := specs.ReadDir(c.Args().First())
	if err != nil {
		return nil, nil, usageError("%w", err)
	}
	set, err := specs.Parse(files)
	if err != nil {
		return nil, nil, &exitError{code: ExitFindings, cause: fmt.Errorf("%w\nnothing was applied", err)}
	}
	return files, set, nil
}
