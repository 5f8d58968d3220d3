// Package batch keeps batches: many requests that a trainer hands in at once,
// that run later, and whose results are read by position.
//
// A batch lasts in the platform's store as created objects that are never
// replaced: its body, its head, the chunks of its results, and its end. Whoever
// creates chunk n decides the positions in it, so that two nodes that both
// believe to keep a batch do double work and no harm. docs/design/batches.md
// has the reasons.
//
// # Usage
//
//	k := batch.New(parts)
//	outcome := k.Accept(ctx, submission, route)
//	page, err := k.Read(ctx, id, after, wait)
//	defer k.Close()
package batch

import (
	"net/http"
	"time"
)

type (
	// Item is one request of a batch.
	Item struct {
		ID     string
		Path   string
		Group  string
		Header http.Header
		Body   []byte
		// Prompt is how many tokens its prompt has.
		Prompt int
		// Length is the caller's estimate of the output's tokens, 0 if unknown.
		Length int
	}

	// Submission is a batch as a trainer hands it in.
	Submission struct {
		ID   string
		Host string
		// Path is where it was sent; it selects the route.
		Path  string
		Step  int
		Model string
		// MinVersion is the oldest weight version that may generate.
		MinVersion int
		// Desired is how many whole groups the trainer waits for.
		Desired int
		Items   []Item
		// Raw is the submission as it came, which is what lasts.
		Raw []byte
	}

	// Result is what became of an item.
	Result struct {
		Item string `json:"item"`
		// Failed says that the item was given up.
		Failed   bool   `json:"failed,omitempty"`
		Text     string `json:"text"`
		Versions []int  `json:"versions,omitempty"`
	}

	// Event is one piece of an item's output.
	Event struct {
		ID   int
		Data string
		// Version is the weight version from this event on, 0 for no change.
		Version int
	}

	// Page is what a reader gets.
	Page struct {
		Total   int
		Next    int
		Results []Result
	}

	// Head names an accepted batch; it is small, so that nodes can list it.
	Head struct {
		ID     string `json:"id"`
		Host   string `json:"host"`
		Path   string `json:"path"`
		Model  string `json:"model"`
		Step   int    `json:"step"`
		Items  int    `json:"items"`
		Keeper string `json:"keeper"`
		// Incarnation is the keeper's start.
		Incarnation uint64 `json:"incarnation"`
		// Tokens is the estimate of what its items generate together.
		Tokens int `json:"tokens"`
		// AcceptedMs is when the batch came first, in Unix milliseconds.
		AcceptedMs int64 `json:"accepted_ms"`
		// Parts is how many objects the body takes.
		Parts int `json:"parts"`
	}

	// chunk is a stored run of results.
	chunk struct {
		First   int      `json:"first"`
		Results []Result `json:"results"`
		// Keeper wrote it; it tells an own write from another's.
		Keeper string `json:"keeper"`
	}

	// bodyPart is a stored part of a submission as it came.
	bodyPart struct {
		Raw []byte `json:"raw"`
	}

	// ending marks a batch as ended.
	ending struct {
		EndedMs int64 `json:"ended_ms"`
	}

	// Accepted is what a submission came to: Kept, NotKept or Unsure.
	Accepted interface{ accepted() }

	// Kept says that the batch lasts.
	Kept struct{}

	// NotKept says that no part of it lasts or will run.
	NotKept struct {
		RetryAfter time.Duration
		Cause      error
	}

	// Unsure says that it may last.
	Unsure struct{ Cause error }
)

// Kinds of the objects in the store.
const (
	kindBodies = "batch-bodies"
	kindHeads  = "batch-heads"
	kindChunks = "batch-chunks"
	kindEnds   = "batch-ends"
	// kindBegun holds what was generated for items that run; it is replaced.
	kindBegun = "batch-begun"
)

func (Kept) accepted()    {}
func (NotKept) accepted() {}
func (Unsure) accepted()  {}

// Age returns how long ago the batch was accepted, by the wall clock.
func (h Head) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(h.AcceptedMs)) }
