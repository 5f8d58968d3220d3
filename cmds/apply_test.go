package cmds

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/demo"
	"github.com/currantloft/currantloft/fakes/model"
)

// membershipTimeout is the time in which nodes that start together must discover
// each other.
const membershipTimeout = 5 * time.Second

// writeSet writes a set of declarations for the fleet into a folder.
func writeSet(t *testing.T, fleet *demo.Fleet, d demo.Declaration) string {
	t.Helper()
	dir := t.TempDir()
	for _, f := range fleet.Files(d) {
		if err := os.WriteFile(filepath.Join(dir, f.Name), []byte(f.Body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// awaitMembers waits until a node lists the given number of running nodes, since
// apply --wait waits for the members that this node lists.
func awaitMembers(t *testing.T, client *caller.Client, node string, want int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), membershipTimeout)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		status, err := client.Status(ctx, node)
		if err == nil && len(runningNodes(status)) == want {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%d running nodes listed after %v, want %d: %v", len(runningNodes(status)), membershipTimeout, want, err)
		case <-ticker.C:
		}
	}
}

func TestCommandsWithNodes(t *testing.T) {
	ctx := context.Background()
	fleet, err := demo.StartFleet(ctx, demo.Size{
		Nodes: 2, Samplers: 2, Quotes: 1, Plains: 1, Engine: model.Options{Version: 1},
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	node := fleet.NodeURLs()[0]
	client := caller.New(fleet.NodeURLs(), "a")
	defer client.Close()
	d := demo.Declaration{Serve: 1, Trainers: []string{"t"}, Groups: 4, Samples: 2, MaxTokens: 16}
	if _, err := fleet.Apply(ctx, client, "first", 0, d); err != nil {
		t.Fatal(err)
	}
	awaitMembers(t, client, node, 2)
	d.MaxTokens = 20
	dir := writeSet(t, fleet, d)
	steps := []struct {
		name        string
		args        []string
		code        int
		out, errOut string
	}{
		{"plan", []string{"plan", "-n", node, dir}, ExitOK, "~ [trainer t] max_tokens: 16 -> 20", ""},
		{"apply", []string{"apply", "-n", node, "--wait", dir}, ExitOK, "in force at 2 nodes", ""},
		{"conflict", []string{"apply", "-n", node, "--base", "1", dir}, ExitConflict, "", "another apply came first, generation 2"},
		{"status", []string{"status", "-n", node}, ExitOK, "alive", ""},
		{"status as JSON", []string{"status", "-n", node, "--json"}, ExitOK, `"generation":2`, ""},
		{"dump", []string{"dump", "-n", node}, ExitOK, `"state": "serving"`, ""},
		{
			"load",
			[]string{"load", "-n", node, "--duration", "500ms", "--service", "quote", "--trainer", "t", "--groups", "2", "--samples", "2"},
			ExitOK, "answered:", "",
		},
		{"drain an endpoint", []string{"drain", "-n", node, "--endpoint", "sampler-1"}, ExitOK, "is marked", ""},
		{"drain an unknown endpoint", []string{"drain", "-n", node, "--endpoint", "x"}, ExitFailed, "", "no endpoint x"},
		{"drain a node", []string{"drain", "-n", fleet.NodeURLs()[1]}, ExitOK, "is leaving", ""},
	}
	for _, s := range steps {
		t.Run(strings.ReplaceAll(s.name, " ", "_"), func(t *testing.T) {
			assertResult(t, run(s.args...), s.code, s.out, s.errOut)
		})
	}
}
