package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/script"
	"github.com/currantloft/currantloft/intact"
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

// sendOnceTo makes one attempt at a server.
func sendOnceTo(t *testing.T, url string, answers *intact.Budget) (*plainResponse, error) {
	t.Helper()
	client := newPlainClient(false, answers)
	defer client.CloseIdleConnections()
	c := &plainCall{
		request: &serviceRequest{id: "r1"}, machine: attemptChart.Start(),
		httpRequest: httptest.NewRequest(http.MethodPost, "/x", nil),
	}
	response, _, err := c.send(t.Context(), client, url)
	return response, err
}

// TestBrokenAnswersOfPlainServices checks that broken answers are none.
func TestBrokenAnswersOfPlainServices(t *testing.T) {
	for name, text := range brokenAnswers() {
		t.Run(name, func(t *testing.T) {
			if response, err := sendOnceTo(t, script.Start(t, text), nil); err == nil {
				t.Errorf("status %d with the body %q was accepted", response.status, response.body)
			}
		})
	}
}

// TestLargeAnswersOfPlainServicesTogether reads answers that are within the limit of one, but take
// more memory together than is set aside.
func TestLargeAnswersOfPlainServicesTogether(t *testing.T) {
	const size, callers = 4 << 20, 8
	url := script.Start(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
	answers := intact.NewBudget(size)
	var refused atomic.Int64
	var tasks sync.WaitGroup
	for range callers {
		tasks.Go(func() {
			if _, err := sendOnceTo(t, url, answers); err != nil {
				refused.Add(1)
			}
		})
	}
	tasks.Wait()
	check.Equal(t, "answers given up", refused.Load(), callers)
	check.Equal(t, "bytes used at the end", answers.Used(), 0)
}
