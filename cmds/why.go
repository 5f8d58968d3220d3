package cmds

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	// whyBefore is how long before the first line on an id the state of nodes and
	// of the store is shown.
	whyBefore = 5 * time.Second
	// whyTogether is within which time the same event counts as one: all nodes of a
	// fleet note a change within two seconds.
	whyTogether = 2 * time.Second
	// maxLogLine bounds one line of a log, in bytes.
	maxLogLine = 1 << 20
)

// whyState are the events that may explain others, by the start of their names.
var whyState = []string{"store_", "host_dead", "host_leaving", "node_", "routes_in_force", "orders_", "lease_", "log_lines"}

// logLine is one line of a node's log.
type logLine struct {
	at     float64
	source string
	name   string
	fields map[string]any
	// more is how many other nodes said the same within a short time.
	more int
}

func whyCommand() *cli.Command {
	return &cli.Command{
		Name:      "why",
		Usage:     "gather all log lines on a request, item or batch, in order of time",
		ArgsUsage: "ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return usageError("why wants an id and at least one log file")
			}
			var lines []logLine
			for _, path := range c.Args().Slice()[1:] {
				read, err := readLog(path)
				if err != nil {
					return usageError("%w", err)
				}
				lines = append(lines, read...)
			}
			found := explain(lines, c.Args().First())
			if len(found) == 0 {
				return &exitError{code: ExitFailed, cause: fmt.Errorf("no line names %s", c.Args().First())}
			}
			return printLines(c.Root().Writer, found)
		},
	}
}

// readLog reads the JSON lines of a log; what stands before them on a line is
// kept as the source.
func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening a log: %w", err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	var lines []logLine
	for scanner.Scan() {
		before, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		line := logLine{source: strings.TrimSpace(before)}
		if line.source == "" {
			line.source = filepath.Base(path)
		}
		if json.Unmarshal([]byte("{"+text), &line.fields) != nil {
			// Logs may hold lines of other programs.
			continue
		}
		line.at, _ = line.fields["ts"].(float64)
		line.name, _ = line.fields["msg"].(string)
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	return lines, nil
}

// explain returns the lines that name the id or its batch, and those on the state
// of nodes and of the store around them, in order of time.
func explain(lines []logLine, id string) []logLine {
	ids := map[string]bool{id: true}
	for _, l := range lines {
		if batch, ok := l.fields["batch"].(string); ok && l.fields["item"] == id {
			ids[batch] = true
		}
	}
	first, last, any := 0.0, 0.0, false
	names := func(l logLine) bool {
		item, isItem := l.fields["item"].(string)
		for _, key := range []string{"request", "item", "batch"} {
			value, ok := l.fields[key].(string)
			if ok && ids[value] && (!isItem || item == id || ids[item] || id == l.fields["batch"]) {
				return true
			}
		}
		return false
	}
	for _, l := range lines {
		if !names(l) {
			continue
		}
		if !any || l.at < first {
			first = l.at
		}
		last, any = max(last, l.at), true
	}
	var found []logLine
	for _, l := range lines {
		around := any && l.at >= first-float64(whyBefore.Milliseconds()) && l.at <= last
		if names(l) || (around && isState(l.name)) {
			found = append(found, l)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].at < found[j].at })
	return gather(found, names)
}

// gather puts what many nodes say of the same thing into one line: in a large
// fleet each of them notes each host that is lost.
func gather(lines []logLine, named func(logLine) bool) []logLine {
	var gathered []logLine
	at := make(map[string]int)
	for _, l := range lines {
		if named(l) {
			gathered = append(gathered, l)
			continue
		}
		subject, _ := l.fields["host"].(string)
		key := l.name + "/" + subject
		if i, ok := at[key]; ok && l.at-gathered[i].at < float64(whyTogether.Milliseconds()) {
			gathered[i].more++
			continue
		}
		at[key] = len(gathered)
		gathered = append(gathered, l)
	}
	return gathered
}

func isState(name string) bool {
	for _, prefix := range whyState {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func printLines(out io.Writer, lines []logLine) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		keys := make([]string, 0, len(l.fields))
		for key := range l.fields {
			if key != "ts" && key != "msg" && key != "level" && key != "event" {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		parts := make([]string, 0, len(keys))
		for _, key := range keys {
			parts = append(parts, fmt.Sprintf("%s=%v", key, l.fields[key]))
		}
		if l.more > 0 {
			parts = append(parts, fmt.Sprintf("(and %d more)", l.more))
		}
		at := time.UnixMicro(int64(l.at * 1000)).UTC().Format("15:04:05.000")
		if _, err := fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", at, l.source, l.name, strings.Join(parts, " ")); err != nil {
			return err
		}
	}
	return table.Flush()
}
