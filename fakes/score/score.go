// Package score is a fake of a scoring service for tests: the score depends only on
// the text.
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

	"github.com/currantloft/currantloft/fakes/server"
)

const scoreLevels = 1000

type (
	// Scorer is the fake scoring service.
	Scorer struct {
		server *server.Server
		delay  time.Duration
	}

	scoreRequest struct {
		ID     string `json:"id"`
		Prompt string `json:"prompt"`
		Text   string `json:"text"`
	}

	scoreReply struct {
		ID    string  `json:"id"`
		Score float64 `json:"score"`
	}
)

// Start starts the fake, which listens on the address; each request takes the delay.
func Start(address string, delay time.Duration) (*Scorer, error) {
	s := &Scorer{delay: delay}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/scores", s.handleScore)
	srv, err := server.Listen(address, mux)
	if err != nil {
		return nil, err
	}
	s.server = srv
	return s, nil
}

// URL returns the base address.
func (s *Scorer) URL() string { return s.server.URL() }

// Close stops the fake.
func (s *Scorer) Close() { s.server.Close() }

// Of returns the score of a text: at least 0 and less than 1, in steps of
// 1/scoreLevels.
func Of(text string) float64 { return float64(xxhash.Sum64String(text)%scoreLevels) / scoreLevels }

func (s *Scorer) handleScore(w http.ResponseWriter, r *http.Request) {
	var request scoreRequest
	if err := server.DecodeJSON(r, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.delay)
	server.WriteJSON(w, http.StatusOK, scoreReply{ID: request.ID, Score: Of(request.Text)})
}
