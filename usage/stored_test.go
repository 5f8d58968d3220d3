package usage

import (
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
)

// TestWindowOfEarlierRelease guards against usage windows that the release before or this
// one can't read. The window was written by ba64543.
func TestWindowOfEarlierRelease(t *testing.T) {
	check.Stored(t, "window", `{"counts":{"blue":0,"red":3}}`, storedWindow{Counts: Counts{"red": 3, "blue": 0}})
}
