package orders

import (
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/lease"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/waits"
)

// A version that was replaced by a lower one must not hold back the orders of later ones.
func TestReplacedVersionIsOrdered(t *testing.T) {
	s := New(Deps{Logger: zap.NewNop(), Lease: lease.New(memory.New(), "orders", "n", 1, time.Second, 0, waits.Boottime), Decode: func(spec []byte) (string, int, error) {
		var named struct {
			Model   string
			Version int
		}
		err := json.Unmarshal(spec, &named)
		return named.Model, named.Version, err
	}})
	for revision, step := range []struct {
		entry, spec string
		want        int
	}{
		{"m", `{"model":"m","version":4}`, 4},
		{"m", `?`, 4},
		{"m", `{"model":"m","version":1000000}`, 1000000},
		{"m", `{"model":"m","version":5}`, 5},
		{"odd", `{"model":"m","version":9}`, 9},
		{"odd", `{"model":"n","version":9}`, 5},
		{"m", `{"model":"m","version":6}`, 6},
	} {
		s.RecordNamedVersion(object.Entry{Name: step.entry, Revision: uint64(revision + 1), Spec: []byte(step.spec)})
		check.Equal(t, step.entry+" "+step.spec, s.Dump().Named["m"], step.want)
	}
}
