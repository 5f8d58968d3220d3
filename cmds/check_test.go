package cmds

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// result is what a command printed and returned.
type result struct {
	code   int
	out    string
	errOut string
}

func run(args ...string) result {
	var out, errOut bytes.Buffer
	code := Execute(context.Background(), append([]string{"currantloft"}, args...), &out, &errOut)
	return result{code: code, out: out.String(), errOut: errOut.String()}
}

func assertResult(t *testing.T, got result, code int, out, errOut string) {
	t.Helper()
	if got.code != code || !strings.Contains(got.out, out) || !strings.Contains(got.errOut, errOut) {
		t.Errorf("got code %d, out %q, err %q; want %d, %q, %q", got.code, got.out, got.errOut, code, out, errOut)
	}
}

func TestOffline(t *testing.T) {
	bad := t.TempDir()
	text := "[pool p]\nserve = x\n[trainer t]\npool = q\n"
	if err := os.WriteFile(filepath.Join(bad, "a.ini"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		args        []string
		code        int
		out, errOut string
	}{
		"version":            {args: []string{"version"}, out: "currantloft " + Version},
		"help":               {args: []string{"--help"}, out: "COMMANDS"},
		"good set":           {args: []string{"check", "../examples/horasol"}, out: "2 services, 1 pools, 14 endpoints"},
		"findings":           {args: []string{"check", bad}, code: ExitFindings, errOut: "a.ini:2: serve: want a whole number"},
		"findings together":  {args: []string{"check", bad}, code: ExitFindings, errOut: "a.ini:4: pool: no [pool q]"},
		"no folder":          {args: []string{"check"}, code: ExitUsage, errOut: "wants one folder"},
		"empty folder":       {args: []string{"check", t.TempDir()}, code: ExitUsage, errOut: "no .ini files"},
		"unknown flag":       {args: []string{"check", "--nope"}, code: ExitUsage, errOut: "see currantloft --help"},
		"node without file":  {args: []string{"node", "-c", "nowhere.ini"}, code: ExitFindings, errOut: "nowhere.ini"},
		"nobody answers":     {args: []string{"status", "-n", "http://127.0.0.1:1"}, code: ExitFailed, errOut: "name one with --node"},
		"completion for zsh": {args: []string{"completion", "zsh"}, out: "compdef"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assertResult(t, run(c.args...), c.code, c.out, c.errOut) })
	}
}
