package steps

import (
	"testing"
	"time"

	"github.com/currantloft/currantloft/specs"
)

const testSet = `[pool p]
serve = 7
[endpoint e]
pool = p
url = http://127.0.0.1:1
domain = a
[scorer s]
url = http://127.0.0.1:2
[trainer t]
pool = p
scorer = s
groups = 8
samples = 2
accept = 5-9
max_versions_behind = 1
max_age = 10s
`

func testTrainer(t *testing.T) specs.Trainer {
	t.Helper()
	set, err := specs.Parse([]specs.File{specs.NewFile("set.ini", []byte(testSet))})
	if err != nil {
		t.Fatal(err)
	}
	trainer, _ := set.Trainer("t")
	return trainer
}

func TestStaleReason(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		age      time.Duration
		versions []uint64
		served   uint64
		stale    bool
	}{
		"fresh":                       {versions: []uint64{7}, served: 7},
		"one behind":                  {versions: []uint64{7, 8}, served: 8},
		"two behind in one range":     {versions: []uint64{7, 9}, served: 9, stale: true},
		"too old":                     {age: 11 * time.Second, versions: []uint64{7}, served: 7, stale: true},
		"not accepted":                {versions: []uint64{4}, served: 4, stale: true},
		"ahead of the served version": {versions: []uint64{8}, served: 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := Sample{StartedAt: now.Add(-c.age).UnixMilli()}
			for _, v := range c.versions {
				s.Versions = append(s.Versions, Version{Version: v, Tokens: 1})
			}
			if reason := s.StaleReason(testTrainer(t), c.served, now); (reason != "") != c.stale {
				t.Errorf("got %q, stale should be %t", reason, c.stale)
			}
		})
	}
}
