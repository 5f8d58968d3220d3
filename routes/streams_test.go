package routes

import (
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
)

// TestSameStreams checks which changes of a configuration concern streams.
func TestSameStreams(t *testing.T) {
	table := func(change func(stream, plain *Route)) *Table {
		stream := Route{Name: "a", Host: "h", Prefix: "/a/", Kind: Streaming, Timeout: time.Second, Shares: []Share{{Service: "s", Weight: 1}}}
		plain := Route{Name: "b", Host: "h", Prefix: "/b/", Kind: Idempotent, Timeout: time.Second, Shares: []Share{{Service: "s", Weight: 1}}}
		change(&stream, &plain)
		return NewTable(1, []Route{stream, plain}, nil, nil, Limits{})
	}
	for name, tc := range map[string]struct {
		change func(stream, plain *Route)
		want   bool
	}{
		"none":           {func(_, _ *Route) {}, true},
		"another route":  {func(_, plain *Route) { plain.Timeout, plain.Shares[0].Service = time.Minute, "t" }, true},
		"the priority":   {func(stream, _ *Route) { stream.Priority = 1 }, true},
		"the service":    {func(stream, _ *Route) { stream.Shares[0].Service = "t" }, false},
		"a split":        {func(stream, _ *Route) { stream.Shares = append(stream.Shares, Share{Service: "t", Weight: 1}) }, false},
		"the timeout":    {func(stream, _ *Route) { stream.Timeout = time.Minute }, false},
		"the prefix":     {func(stream, _ *Route) { stream.Prefix = "/a/b/" }, false},
		"the kind":       {func(stream, _ *Route) { stream.Kind = Idempotent }, false},
		"a further one":  {func(_, plain *Route) { plain.Kind = Streaming }, false},
		"the host's one": {func(stream, _ *Route) { stream.Host = "other" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			check.Equal(t, "same streams", table(func(_, _ *Route) {}).SameStreams(table(tc.change)), tc.want)
		})
	}
}
