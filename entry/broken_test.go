package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/currantloft/currantloft/fakes/script"
)

// brokenAnswers are answers that nobody may get as one, by name.
func brokenAnswers() map[string]string {
	return map[string]string{
		"status 000": "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"status 099": "HTTP/1.1 099 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"status 600": "HTTP/1.1 600 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"cut":        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole",
		"blank":      "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	}
}

// TestBrokenAnswersOfPlainServices checks that broken answers are none.
func TestBrokenAnswersOfPlainServices(t *testing.T) {
	for name, text := range brokenAnswers() {
		t.Run(name, func(t *testing.T) {
			client := newPlainClient(false)
			defer client.CloseIdleConnections()
			c := &plainCall{
				request: &serviceRequest{id: "r1"}, machine: attemptChart.Start(),
				httpRequest: httptest.NewRequest(http.MethodPost, "/x", nil),
			}
			response, outcome, err := c.send(t.Context(), client, script.Start(t, text))
			if err == nil {
				t.Errorf("status %d with the body %q was accepted as %v", response.status, response.body, outcome)
			}
		})
	}
}
