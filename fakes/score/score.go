// Package score is a stand-in for a scoring service: the score follows from the
// text alone.
//
// # Usage
//
//	scorer, err := score.Start("127.0.0.1:0", 2*time.Millisecond)
//	defer scorer.Close()
package score

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantloft/currantloft/fakes/stand"
)

const steps = 1000

type (
	// Scorer is the stand-in.
	Scorer struct {
		server *stand.Server
		delay  time.Duration
	}

	call struct {
		ID     string `json:"id"`
		Prompt string `json:"prompt"`
		Text   string `json:"text"`
	}

	reply struct {
		ID    string  `json:"id"`
		Score float64 `json:"score"`
	}
)

// Start serves the stand-in; each grading takes the delay.
func Start(address string, delay time.Duration) (*Scorer, error) {
	s := &Scorer{delay: delay}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/scores", s.score)
	server, err := stand.Listen(address, mux)
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// URL returns the base address.
func (s *Scorer) URL() string { return s.server.URL() }

// Close stops the stand-in.
func (s *Scorer) Close() { s.server.Close() }

// Of returns the score of a text.
func Of(text string) float64 { return float64(xxhash.Sum64String(text)%steps) / steps }

func (s *Scorer) score(w http.ResponseWriter, r *http.Request) {
	var c call
	if err := stand.Read(r, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.delay)
	stand.Reply(w, http.StatusOK, reply{ID: c.ID, Score: Of(c.Text)})
}
