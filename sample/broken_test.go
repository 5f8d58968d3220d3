package sample

import (
	"fmt"
	"strings"
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/script"
	"github.com/currantloft/currantloft/specs"
)

// scorerAt returns a scorer at an address.
func scorerAt(t *testing.T, url string) specs.Scorer {
	t.Helper()
	text := fmt.Sprintf("[scorer s]\nurl = %s\ntimeout = 5s\n", url)
	set, err := specs.Parse([]specs.File{specs.NewFile("set.ini", []byte(text))})
	if err != nil {
		t.Fatal(err)
	}
	scorer, ok := set.Scorer("s")
	if !ok {
		t.Fatal("the set has no scorer")
	}
	return scorer
}

// TestBrokenAnswersOfScorers checks that a score is taken from a whole answer only.
func TestBrokenAnswersOfScorers(t *testing.T) {
	const body = `{"id":"i","score":0.5}`
	length := fmt.Sprint("Content-Length: ", len(body))
	for name, tc := range map[string]struct {
		head, end string
		sound     bool
	}{
		"length":       {length, "", true},
		"close":        {"Server: s", "", true},
		"line end":     {"Server: s", "\n", true},
		"cut":          {"Content-Length: 100", "", false},
		"blank":        {"Content-Length : 100", "", false},
		"more":         {"Server: s", "HTTP/1.1 500 Error", false},
		"second score": {"Server: s", body, false},
		"too long":     {"Server: s", strings.Repeat(" ", 2*maxScoreBytes), false},
	} {
		t.Run(name, func(t *testing.T) {
			url := script.Start(t, "HTTP/1.1 200 OK\r\n"+tc.head+"\r\n\r\n"+body+tc.end)
			score, err := newScoreClient(nil).score(t.Context(), scorerAt(t, url), scoreRequest{ID: "i"})
			check.Equal(t, "scored", err == nil, tc.sound)
			if tc.sound {
				check.Equal(t, "score", score, 0.5)
			}
		})
	}
}
