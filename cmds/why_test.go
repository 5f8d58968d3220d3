package cmds

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// logFile writes log lines of several nodes to one file, as a collector would.
func logFile(t *testing.T, lines ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "all.log")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func line(node string, second float64, name, fields string) string {
	return fmt.Sprintf(`%s {"level":"info","ts":%f,"msg":%q,%s}`, node, second*1000, name, fields)
}

func TestWhy(t *testing.T) {
	log := logFile(t,
		line("n1", 10, "host_dead", `"host":"n9"`),
		line("n2", 10.1, "host_dead", `"host":"n9"`),
		line("n3", 10.2, "host_dead", `"host":"n9"`),
		line("n3", 10.3, "host_dead", `"host":"n8"`),
		line("n1", 14, "host_dead", `"host":"n9"`),
		line("n2", 11, "request_not_answered", `"request":"r1","outcome":"failed"`),
		line("n2", 14, "attempt_failed", `"request":"r1"`),
		line("n2", 14.5, "request_rejected", `"request":"r2"`),
	)
	out := run("why", "r1", log)
	assertResult(t, out, ExitOK, "request_not_answered", "")
	for text, want := range map[string]int{
		"host=n9 (and 2 more)": 1, "host_dead": 3, "host=n8\n": 1, "request=r1": 2, "request=r2": 0,
	} {
		if got := strings.Count(out.out, text); got != want {
			t.Errorf("%q occurs %d times, want %d:\n%s", text, got, want, out.out)
		}
	}
	assertResult(t, run("why", "r3", log), ExitFailed, "", "no line names r3")
}
