// Package batch accepts, runs and stores batches: sets of requests that a
// trainer submits at once, that run later, and whose results are read by
// position.
//
// Each batch is owned by one node, its keeper, which runs the items and writes
// the results. If that node leaves or fails, another one takes over as keeper.
//
// A batch is stored durably as objects that are created once and never
// replaced: its body, its head, the chunks of its results, and its end.
// Whichever node creates chunk n decides the positions in it, so two nodes that
// both consider themselves the keeper duplicate work but never produce
// conflicting results. docs/design/batches.md has the reasons.
//
// # Usage
//
//	k := batch.New(deps)
//	outcome := k.Accept(ctx, submission)
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
		// PromptTokens is the length of the prompt in tokens.
		PromptTokens int
		// EstimatedTokens is the caller's estimate of the output's length in tokens,
		// 0 if unknown.
		EstimatedTokens int
		// Reward is the call whose answer scores the item's text. Without an ID the
		// item needs no score.
		Reward RewardCall
		// Offset and RawBytes say where the item stands in the raw submission.
		Offset, RawBytes int
		// unloaded reports that the bodies are in the store only.
		unloaded bool
	}

	// RewardCall is a POST request that scores the text of an item. It is sent through
	// the route of its host and path and may run more than once.
	RewardCall struct {
		ID   string
		Host string
		Path string
		Body []byte
	}

	// Submission is a batch as submitted by a trainer.
	Submission struct {
		ID   string
		Host string
		// Path is the URL path of the submission; it selects the route.
		Path string
		// Team is the team that submitted the batch, empty without teams.
		Team  string
		Step  int
		Model string
		// MinVersion is the oldest weight version that may generate output.
		MinVersion int
		// DesiredGroups is the number of complete groups that the trainer waits for.
		DesiredGroups int
		Items         []Item
		// Raw is the request body as received, which is what gets stored.
		Raw []byte
		// partBytes is the size of all parts in the store but the last one.
		partBytes int
	}

	// Result is the final result of an item.
	Result struct {
		Item string `json:"item"`
		// Failed reports that the item was abandoned.
		Failed   bool   `json:"failed,omitempty"`
		Text     string `json:"text"`
		Versions []int  `json:"versions,omitempty"`
		// Score is the signature of the answer to the item's reward call, empty for an
		// item without one.
		Score string `json:"score,omitempty"`
	}

	// Event is one piece of an item's output.
	Event struct {
		ID   int
		Data string
		// Version is the weight version from this event on, 0 if unchanged.
		Version int
	}

	// Page is a range of a batch's results.
	Page struct {
		Total   int
		Next    int
		Results []Result
		// Checked reports that the node which owns the batch has asked the store before it
		// returned a page without results, unless the store did not answer and the node knows
		// of no other owner. A node of an older release does not state it.
		Checked bool
	}

	// Head identifies an accepted batch. It is small, so that nodes can list all
	// heads.
	Head struct {
		ID     string `json:"id"`
		Host   string `json:"host"`
		Path   string `json:"path"`
		Model  string `json:"model"`
		Step   int    `json:"step"`
		Items  int    `json:"items"`
		Keeper string `json:"keeper"`
		// Incarnation is the keeper's incarnation.
		Incarnation uint64 `json:"incarnation"`
		// Tokens is the estimated output length of all items together.
		Tokens int `json:"tokens"`
		// AcceptedMs is when the batch was first submitted, in Unix milliseconds.
		AcceptedMs int64 `json:"accepted_ms"`
		// BodyParts is the number of objects that hold the body.
		BodyParts int `json:"parts"`
		// Team is the team that submitted the batch, empty without teams.
		Team string `json:"team,omitempty"`
		// TeamUnknown is true if a node of a release without teams sent the head. The
		// stored head has the team.
		TeamUnknown bool `json:"-"`
	}

	// chunk is a stored sequence of results.
	chunk struct {
		First   int      `json:"first"`
		Results []Result `json:"results"`
		// Keeper is the node that wrote the chunk, so that a node can tell its own
		// write from another's.
		Keeper string `json:"keeper"`
	}

	// bodyPart is a stored part of a submission's raw body.
	bodyPart struct {
		Raw []byte `json:"raw"`
	}

	// ending marks a batch as ended.
	ending struct {
		EndedMs int64 `json:"ended_ms"`
	}

	// AcceptResult is the outcome of a submission: Stored, Rejected or
	// OutcomeUnknown.
	AcceptResult interface{ acceptResult() }

	// Stored reports that the batch is stored durably.
	Stored struct {
		// Before is true if an earlier submission had stored it.
		Before bool
	}

	// Rejected reports that the batch is not accepted and none of it will run.
	Rejected struct {
		RetryAfter time.Duration
		Cause      error
	}

	// OutcomeUnknown reports that the batch may or may not be stored.
	OutcomeUnknown struct{ Cause error }
)

// Object kinds in the store.
const (
	kindBodies = "batch-bodies"
	kindHeads  = "batch-heads"
	kindChunks = "batch-chunks"
	kindEnds   = "batch-ends"
	// kindCheckpoints holds the partial output of running items; unlike the others
	// it is replaced.
	kindCheckpoints = "batch-begun"
)

func (Stored) acceptResult()         {}
func (Rejected) acceptResult()       {}
func (OutcomeUnknown) acceptResult() {}

// Age returns how long ago the batch was first submitted, by the wall clock.
func (h Head) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(h.AcceptedMs)) }
