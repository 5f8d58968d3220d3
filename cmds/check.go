package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/currantloft/currantloft/specs"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a set of declarations without touching anything",
		ArgsUsage: "FOLDER",
		Action: func(_ context.Context, c *cli.Command) error {
			_, set, err := readSet(c)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.Root().Writer, "ok:", set.Summary())
			return err
		},
	}
}

// readSet reads and checks the folder that the command names.
func readSet(c *cli.Command) ([]specs.File, *specs.Set, error) {
	if c.Args().Len() != 1 {
		return nil, nil, usageError("%s wants one folder that holds the whole set", c.Name)
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
