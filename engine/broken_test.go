package engine

import (
	"errors"
	"fmt"
	"testing"

	"github.com/currantloft/currantloft/fakes/script"
)

// brokenAnswers are answers that state nothing, by name.
func brokenAnswers() map[string]string {
	const body = `{"first":0,"tokens":["a"],"done":true}`
	withLength := func(status string, head ...string) string {
		text := "HTTP/1.1 " + status + "\r\n"
		for _, line := range head {
			text += line + "\r\n"
		}
		return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return map[string]string{
		"status 000": withLength("000 OK"),
		"status 099": withLength("099 OK"),
		"status 600": withLength("600 OK"),
		"cut error":  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100\r\n\r\nbusy",
		"no content": "HTTP/1.1 204 No Content\r\n\r\n",
		"redirect":   withLength("302 Found", "Location: /v1/other"),
		"blank":      withLength("200 OK", "Foo : x"),
	}
}

// TestBrokenAnswersOfEngines checks that an answer which states nothing is neither taken for a
// success nor for a statement that the request has not run.
func TestBrokenAnswersOfEngines(t *testing.T) {
	for name, text := range brokenAnswers() {
		t.Run(name, func(t *testing.T) {
			client, base := NewClient(nil), script.Start(t, text)
			defer client.Close()
			var unknown *OutcomeUnknownError
			if _, err := client.Start(t.Context(), base, Request{Stream: "s"}); !errors.As(err, &unknown) {
				t.Errorf("starting a stream returned %v, want an unknown outcome", err)
			}
			if _, err := client.Resume(t.Context(), base, "s", 1); !errors.As(err, &unknown) {
				t.Errorf("resuming a stream returned %v, want an unknown outcome", err)
			}
			if _, err := client.Status(t.Context(), base); err == nil {
				t.Error("a status was decoded")
			}
			if err := client.SendOrder(t.Context(), base, Order{}); err == nil {
				t.Error("an order was taken for carried out")
			}
		})
	}
}
