package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/entry"
)

const memberTimeout = 2 * time.Second

// nodeStatus is one node in the output of the status command.
type nodeStatus struct {
	Node       string `json:"node"`
	Domain     string `json:"domain"`
	State      string `json:"state"`
	URL        string `json:"url"`
	Generation uint64 `json:"generation"`
	InFlight   int    `json:"in_flight"`
	Problem    string `json:"problem,omitempty"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show all nodes and the generation of the configuration in force at each",
		Flags: []cli.Flag{
			nodesFlag(),
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			client := caller.New(c.StringSlice("node"), "")
			defer client.Close()
			status, err := firstStatus(ctx, client, c.StringSlice("node"))
			if err != nil {
				return err
			}
			rows := queryMembers(ctx, client, status)
			if c.Bool("json") {
				return json.NewEncoder(c.Root().Writer).Encode(rows)
			}
			return printStatus(c, rows)
		},
	}
}

// firstStatus returns the status from the first of the given nodes that answers.
func firstStatus(ctx context.Context, client *caller.Client, nodes []string) (status entry.Status, err error) {
	for _, node := range nodes {
		if status, err = client.Status(ctx, node); err == nil {
			return status, nil
		}
	}
	return status, fmt.Errorf("no node answers, name one with --node: %w", err)
}

// queryMembers requests the status of every member from the member itself,
// since the generation that another node reports for it may be outdated.
func queryMembers(ctx context.Context, client *caller.Client, status entry.Status) []nodeStatus {
	rows := make([]nodeStatus, 0, len(status.Members))
	for _, m := range status.Members {
		row := nodeStatus{Node: m.Name, Domain: m.Domain, State: m.State, URL: m.URL}
		memberCtx, cancel := context.WithTimeout(ctx, memberTimeout)
		memberStatus, err := client.Status(memberCtx, m.URL)
		cancel()
		if err != nil {
			row.Problem = "status unavailable"
		}
		row.Generation, row.InFlight = memberStatus.Generation, memberStatus.InFlight
		rows = append(rows, row)
	}
	return rows
}

func printStatus(c *cli.Command, rows []nodeStatus) error {
	table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "NODE\tDOMAIN\tSTATE\tGENERATION\tIN FLIGHT\tURL\tPROBLEM")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
			row.Node, row.Domain, row.State, row.Generation, row.InFlight, row.URL, row.Problem)
	}
	return table.Flush()
}
