package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

func TestDemoInvariantsHold(t *testing.T) {
	const bound = 20 * time.Second
	started := time.Now()
	var out bytes.Buffer
	if err := Run(context.Background(), &out); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if n := strings.Count(out.String(), " held\n"); n < 6 {
		t.Errorf("%d invariants held, want 6:\n%s", n, out.String())
	}
	if took := time.Since(started); took > bound {
		t.Errorf("took %s, want at most %s", took, bound)
	}
}
