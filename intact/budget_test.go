package intact

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/script"
)

const testCapacity = 1 << 20

// answers is a budget with the answers that a test has opened.
type answers struct {
	budget *Budget
	open   []*Hold
}

func (a *answers) add() {
	var h *Hold
	h = a.budget.Open(func() { a.drop(h) })
	a.open = append(a.open, h)
}

func (a *answers) drop(h *Hold) {
	a.open = slices.DeleteFunc(a.open, func(other *Hold) bool { return other == h })
}

func (a *answers) grow(t rapid.TB, h *Hold, bytes int64) {
	before := slices.Clone(a.open)
	wanted := h.bytes + bytes
	largest := int64(0)
	for _, other := range before {
		if other != h {
			largest = max(largest, other.bytes)
		}
	}
	err := h.Grow(bytes)
	switch {
	case err == nil && h.bytes != wanted:
		t.Errorf("an answer takes %d bytes, want %d", h.bytes, wanted)
	case errors.Is(err, ErrNoMemory) && wanted < largest && wanted <= testCapacity && len(a.open) == len(before):
		t.Errorf("an answer of %d bytes was given up, the largest has %d", wanted, largest)
	case err != nil:
		a.drop(h)
	}
}

// check checks that the bytes of all answers are counted and within the budget.
func (a *answers) check(t rapid.TB) {
	var sum int64
	for _, h := range a.open {
		sum += h.bytes
	}
	if used := a.budget.Used(); used != sum || used > testCapacity {
		t.Errorf("%d bytes are used, want the sum of the answers, %d, and at most %d", used, sum, testCapacity)
	}
}

// TestBudget lets answers begin, grow and end in random order.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &answers{budget: NewBudget(testCapacity)}
		actions := map[string]func(*rapid.T){"add": func(*rapid.T) { a.add() }}
		onOpen := func(name string, act func(t *rapid.T, h *Hold)) {
			actions[name] = func(t *rapid.T) {
				if len(a.open) > 0 {
					act(t, rapid.SampledFrom(a.open).Draw(t, "answer"))
				}
			}
		}
		onOpen("grow", func(t *rapid.T, h *Hold) { a.grow(t, h, rapid.Int64Range(0, testCapacity).Draw(t, "bytes")) })
		onOpen("grow a little", func(t *rapid.T, h *Hold) { a.grow(t, h, rapid.Int64Range(0, testCapacity/64).Draw(t, "bytes")) })
		onOpen("shrink", func(t *rapid.T, h *Hold) { h.Shrink(rapid.Int64Range(0, h.bytes).Draw(t, "bytes")) })
		onOpen("close", func(_ *rapid.T, h *Hold) {
			h.Close()
			a.drop(h)
		})
		actions[""] = func(t *rapid.T) { a.check(t) }
		t.Repeat(actions)
	})
}

// TestEndlessAnswersLeaveRoom reads answers without an end, in the head and in the body, beside
// sound ones.
func TestEndlessAnswersLeaveRoom(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	for name, begin := range map[string]string{"head": "HTTP/1.1 200 OK\r\nLong: ", "body": "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			budget := NewBudget(testCapacity)
			client := NewClient(&http.Transport{DialContext: Dial((&net.Dialer{}).DialContext)}, budget)
			defer client.CloseIdleConnections()
			endless, sound := script.Start(t, begin+strings.Repeat("x", 8*testCapacity)), script.Start(t, whole)
			get := func(url string) ([]byte, error) {
				response, err := client.Get(url)
				if err != nil {
					return nil, err
				}
				defer response.Body.Close()
				return ReadAll(response.Body, 4*testCapacity)
			}
			var tasks sync.WaitGroup
			for range 64 {
				tasks.Go(func() {
					if _, err := get(endless); err == nil || name == "body" && !errors.Is(err, ErrNoMemory) {
						t.Errorf("reading an answer without an end returned %v, want %v", err, ErrNoMemory)
					}
				})
				tasks.Go(func() {
					body, err := get(sound)
					check.Equal(t, "error", err, nil)
					check.Equal(t, "body", string(body), "whole")
				})
			}
			tasks.Wait()
			check.Equal(t, "bytes used at the end", budget.Used(), 0)
		})
	}
}

// TestAbandonedAnswerTakesNothing ends the context of a request whose body is never closed.
func TestAbandonedAnswerTakesNothing(t *testing.T) {
	budget := NewBudget(testCapacity)
	client := NewClient(&http.Transport{DialContext: Dial((&net.Dialer{}).DialContext)}, budget)
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, script.Start(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody"), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Do(request); err != nil {
		t.Fatal(err)
	}
	if budget.Used() == 0 {
		t.Error("the head of an answer takes nothing")
	}
	cancel()
	for deadline := time.Now().Add(testTimeout); budget.Used() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	check.Equal(t, "bytes used", budget.Used(), 0)
}

// BenchmarkGrow measures counting an answer in calm, and while a thousand others use up the budget.
func BenchmarkGrow(b *testing.B) {
	for name, other := range map[string]int64{"calm": 0, "full": testCapacity / 1000} {
		b.Run(name, func(b *testing.B) {
			budget := NewBudget(testCapacity)
			for range 1000 {
				_ = budget.Open(func() {}).Grow(other)
			}
			for b.Loop() {
				h := budget.Open(func() {})
				_ = h.Grow(2 * testCapacity / 1000)
				h.Close()
			}
		})
	}
}
