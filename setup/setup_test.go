package setup

import (
	"strings"
	"testing"
)

const validSettings = `[node]
name = n1
domain = a
[listen]
ip = 127.0.0.11
[platform]
url = http://127.0.0.1:7000
`

func TestDefaults(t *testing.T) {
	n, err := Parse("n.ini", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if n.HTTPAddress() != "127.0.0.11:7480" || n.PeerAddress() != "127.0.0.11:7400" || n.Heartbeat() != defaultHeartbeat {
		t.Errorf("got %s %s %s", n.HTTPAddress(), n.PeerAddress(), n.Heartbeat())
	}
}

func TestAllFindingsReported(t *testing.T) {
	bad := strings.NewReplacer("name = n1", "nam = n1", "127.0.0.11", "localhost").Replace(validSettings) +
		"[timing]\nheartbeat = 5\n[extra]\nx = 1\n"
	_, err := Parse("n.ini", []byte(bad))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{
		"node.nam: unknown key", "node.name: want a value", "listen.ip: want an IP address",
		"timing.heartbeat: want a duration", "extra: unknown section",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no finding %q in %v", want, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, body []byte) {
		if n, err := Parse("n.ini", body); err == nil && n.Name() == "" {
			t.Error("accepted a node without a name")
		}
	})
}
