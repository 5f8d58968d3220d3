package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fleet"
)

func TestLedger(t *testing.T) {
	now := time.UnixMilli(1e12)
	l := NewLedger(func() time.Time { return now })
	get := func(attempt string) fleet.Software {
		software, _ := l.Get(attempt)
		return software
	}
	check.Equal(t, "first record", l.Put("a", "pool/v1"), true)
	check.Equal(t, "second record", l.Put("a", "pool/v2"), false)
	check.Equal(t, "software of a", get("a"), "pool/v1")
	check.Equal(t, "record of unknown software", l.Put("b", ""), false)
	check.Equal(t, "software of b", get("b"), "")
	now = now.Add(generationTime + time.Second)
	l.Put("c", "pool/v2")
	check.Equal(t, "software of a, one generation later", get("a"), "pool/v1")
	now = now.Add(generationTime + time.Second)
	l.Put("d", "pool/v2")
	check.Equal(t, "software of a, two generations later", get("a"), "")
	check.Equal(t, "software of c", get("c"), "pool/v2")
}

// TestLedgerGrowsWithoutLimit checks that the number of streams that are remembered is
// limited, and that the latest ones are.
func TestLedgerGrowsWithoutLimit(t *testing.T) {
	l := NewLedger(time.Now)
	for i := range 5 * generationSize {
		l.Put(fmt.Sprint(i), "pool/v1")
	}
	if got := l.Len(); got > 2*generationSize {
		t.Errorf("%d streams are remembered, want at most %d", got, 2*generationSize)
	}
	for i := 4 * generationSize; i < 5*generationSize; i++ {
		if _, ok := l.Get(fmt.Sprint(i)); !ok {
			t.Fatalf("stream %d is not remembered", i)
		}
	}
}
