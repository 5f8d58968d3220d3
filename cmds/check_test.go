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
	code := execute(context.Background(), &Signals{}, append([]string{"currantloft"}, args...), &out, &errOut)
	return result{code: code, out: out.String(), errOut: errOut.String()}
}

func assertResult(t *testing.T, got result, code int, out, errOut string) {
	t.Helper()
	if got.code != code || !strings.Contains(got.out, out) || !strings.Contains(got.errOut, errOut) {
		t.Errorf("got code %d, out %q, err %q; want %d, %q, %q", got.code, got.out, got.errOut, code, out, errOut)
	}
}

func TestCommandsWithoutNodes(t *testing.T) {
	bad := t.TempDir()
	text := "[pool p]\nserve = x\n[trainer t]\npool = q\n"
	if err := os.WriteFile(filepath.Join(bad, "a.ini"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	hostFile, badHost := filepath.Join(bad, "host.conf"), filepath.Join(bad, "bad.conf")
	const storage = "node_name=store-1\nip=10.1.0.1\nzone=z\ninternal_ports=7000,7009\nplatform.address=10.0.0.1:80\n"
	for file, text := range map[string]string{hostFile: storage, badHost: storage + "bounds.lease_ms=soon\n"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cases := map[string]struct {
		args        []string
		code        int
		out, errOut string
	}{
		"settings of a storage host":  {args: []string{"check", "--storage", "--settings", hostFile}, out: "ok: host store-1 in domain z"},
		"settings without addresses":  {args: []string{"check", "--settings", hostFile}, code: ExitFindings, errOut: "listen.frontend: want a value"},
		"bad settings":                {args: []string{"check", "--storage", "--settings", badHost}, code: ExitFindings, errOut: "bad.conf:6: bounds.lease_ms: want a number"},
		"missing settings file":       {args: []string{"check", "--settings", "nowhere.conf"}, code: ExitFindings, errOut: "nowhere.conf"},
		"settings and a folder":       {args: []string{"check", "--settings", hostFile, bad}, code: ExitUsage, errOut: "not both"},
		"a node with bad settings":    {args: []string{"edge", "--settings", badHost}, code: ExitFindings, errOut: "bad.conf:6: bounds.lease_ms"},
		"storage with bad settings":   {args: []string{"store", "--settings", badHost}, code: ExitFindings, errOut: "bad.conf:6: bounds.lease_ms"},
		"a node that lacks addresses": {args: []string{"edge", "--settings", hostFile}, code: ExitFindings, errOut: "listen.ready: want a value"},
		"version":                     {args: []string{"version"}, out: "currantloft " + Version},
		"help":                        {args: []string{"--help"}, out: "COMMANDS"},
		"good set":                    {args: []string{"check", "../examples/horasol"}, out: "2 services, 1 pools, 14 endpoints"},
		"findings":                    {args: []string{"check", bad}, code: ExitFindings, errOut: "a.ini:2: serve: want a whole number"},
		"findings together":           {args: []string{"check", bad}, code: ExitFindings, errOut: "a.ini:4: pool: no [pool q]"},
		"no folder":                   {args: []string{"check"}, code: ExitUsage, errOut: "wants one folder"},
		"empty folder":                {args: []string{"check", t.TempDir()}, code: ExitUsage, errOut: "no .ini files"},
		"unknown flag":                {args: []string{"check", "--nope"}, code: ExitUsage, errOut: "see currantloft --help"},
		"node without file":           {args: []string{"node", "-c", "nowhere.ini"}, code: ExitFindings, errOut: "nowhere.ini"},
		"no node answers":             {args: []string{"status", "-n", "http://127.0.0.1:1"}, code: ExitFailed, errOut: "name one with --node"},
		"completion for zsh":          {args: []string{"completion", "zsh"}, out: "compdef"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assertResult(t, run(c.args...), c.code, c.out, c.errOut) })
	}
}
