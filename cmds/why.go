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
	// contextBefore is how long before the first matching line the events on the
	// state of nodes and of the store are shown.
	contextBefore = 5 * time.Second
	// duplicateWindow is the time in which the same event of several nodes counts
	// as one: all nodes of a fleet log a change within two seconds.
	duplicateWindow = 2 * time.Second
	// maxLogLine is the maximum length of a log line, in bytes.
	maxLogLine = 1 << 20
)

// stateEvents holds name prefixes of the events on the state of nodes and of the
// store, which may explain others.
var stateEvents = []string{"store_", "host_dead", "host_leaving", "node_", "routes_in_force", "orders_", "lease_", "log_lines"}

// logLine is one line of a node's log.
type logLine struct {
	timeMs float64
	source string
	name   string
	fields map[string]any
	// duplicates is the number of further lines that mergeDuplicates left out.
	duplicates int
}

func whyCommand() *cli.Command {
	return &cli.Command{
		Name:      "why",
		Usage:     "show all log lines on a request, item or batch, sorted by time",
		ArgsUsage: "ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return usageError("why wants an ID and at least one log file")
			}
			var lines []logLine
			for _, path := range c.Args().Slice()[1:] {
				read, err := readLog(path)
				if err != nil {
					return usageError("%w", err)
				}
				lines = append(lines, read...)
			}
			found := selectLines(lines, c.Args().First())
			if len(found) == 0 {
				return &exitError{code: ExitFailed, cause: fmt.Errorf("no line names %s", c.Args().First())}
			}
			return printLines(c.Root().Writer, found)
		},
	}
}

// readLog reads the JSON lines of a log file. The text before the JSON object is
// the source of a line; without one the source is the file name.
func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening log file: %w", err)
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
			// A log file may contain lines of other programs.
			continue
		}
		line.timeMs, _ = line.fields["ts"].(float64)
		line.name, _ = line.fields["msg"].(string)
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	return lines, nil
}

// selectLines returns, sorted by time, the lines on a request, item or batch.
// For an item, these include the lines on its batch that concern no other item.
// It adds the state events that were logged between contextBefore before the
// first of these lines and the last one.
func selectLines(lines []logLine, id string) []logLine {
	ids := map[string]bool{id: true}
	for _, l := range lines {
		if batch, ok := l.fields["batch"].(string); ok && l.fields["item"] == id {
			ids[batch] = true
		}
	}
	first, last, matched := 0.0, 0.0, false
	matches := func(l logLine) bool {
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
		if !matches(l) {
			continue
		}
		if !matched || l.timeMs < first {
			first = l.timeMs
		}
		last, matched = max(last, l.timeMs), true
	}
	var found []logLine
	for _, l := range lines {
		inContext := matched && l.timeMs >= first-float64(contextBefore.Milliseconds()) && l.timeMs <= last
		if matches(l) || (inContext && isStateEvent(l.name)) {
			found = append(found, l)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].timeMs < found[j].timeMs })
	return mergeDuplicates(found, matches)
}

// mergeDuplicates merges state events with the same name and host that were
// logged within duplicateWindow: in a large fleet every node logs every host
// that is lost. It does not merge lines that match the ID.
func mergeDuplicates(lines []logLine, matches func(logLine) bool) []logLine {
	var merged []logLine
	indexByKey := make(map[string]int)
	for _, l := range lines {
		if matches(l) {
			merged = append(merged, l)
			continue
		}
		subject, _ := l.fields["host"].(string)
		key := l.name + "/" + subject
		if i, ok := indexByKey[key]; ok && l.timeMs-merged[i].timeMs < float64(duplicateWindow.Milliseconds()) {
			merged[i].duplicates++
			continue
		}
		indexByKey[key] = len(merged)
		merged = append(merged, l)
	}
	return merged
}

func isStateEvent(name string) bool {
	for _, prefix := range stateEvents {
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
		if l.duplicates > 0 {
			parts = append(parts, fmt.Sprintf("(and %d more)", l.duplicates))
		}
		at := time.UnixMicro(int64(l.timeMs * 1000)).UTC().Format("15:04:05.000")
		if _, err := fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", at, l.source, l.name, strings.Join(parts, " ")); err != nil {
			return err
		}
	}
	return table.Flush()
}
