package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/relay"
)

const (
	// scoredPrefix begins the names of items with a reward call.
	scoredPrefix = "scored"
	rewardPath   = "/judge/"
)

// judge is an engine that also answers reward calls, by the answers given, and
// counts the runs by request ID.
type judge struct {
	instantEngine
	// answers are the replies to the attempts of each reward call; further attempts
	// succeed.
	answers []func(ctx context.Context) relay.Reply

	mu       sync.Mutex
	runs     map[string]int
	requests []relay.Request
}

func newJudge(answers ...func(ctx context.Context) relay.Reply) *judge {
	return &judge{
		instantEngine: instantEngine{held: make(map[string]chan struct{})}, answers: answers, runs: make(map[string]int),
	}
}

func (e *judge) Send(ctx context.Context, target fleet.Target, request relay.Request) relay.Reply {
	e.mu.Lock()
	n := e.runs[request.ID]
	e.runs[request.ID]++
	e.requests = append(e.requests, request)
	e.mu.Unlock()
	if !strings.HasPrefix(request.Target, rewardPath) {
		return e.instantEngine.Send(ctx, target, request)
	}
	if n < len(e.answers) {
		return e.answers[n](ctx)
	}
	return answerWith(http.StatusOK, "signature", strings.NewReader("fine"))(ctx)
}

func (e *judge) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func answerWith(status int, signature string, body io.Reader) func(context.Context) relay.Reply {
	return func(context.Context) relay.Reply {
		return relay.Answer{Status: status, Body: io.NopCloser(body), Signed: signature != "", Signature: signature}
	}
}

func status500(context.Context) relay.Reply {
	return answerWith(http.StatusInternalServerError, "of a failure", strings.NewReader("x"))(nil)
}

func lostAnswer(context.Context) relay.Reply { return relay.Lost{Cause: io.ErrUnexpectedEOF} }

func fullEndpoint(context.Context) relay.Reply {
	return relay.NotRun{Sent: true, Full: true, Cause: errors.New("full")}
}

func noAnswer(ctx context.Context) relay.Reply {
	<-ctx.Done()
	return relay.Lost{Cause: ctx.Err()}
}

// acceptAt submits a batch to a keeper.
func acceptAt(t *testing.T, k *Keeper, id string, items ...string) {
	t.Helper()
	if _, ok := k.Accept(t.Context(), submissionOf(t, id, items...)).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
}

// awaitRuns waits until a request was sent the given number of times.
func awaitRuns(t *testing.T, e *judge, id string, n int) {
	t.Helper()
	for deadline := time.Now().Add(testLimit); e.count(id) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s was sent %d times, want %d", id, e.count(id), n)
		}
	}
}

// TestResultNeedsScore checks that a reward call is sent as submitted, only after
// the text is complete, and that its item has no result before the score.
func TestResultNeedsScore(t *testing.T) {
	release := make(chan struct{})
	engine := newJudge(func(context.Context) relay.Reply {
		<-release
		return answerWith(http.StatusOK, "s1", strings.NewReader("fine"))(nil)
	})
	engine.hold("scored0")
	k := newKeeper(t, newCluster(), memory.New(), engine, "a")
	acceptAt(t, k, "s", "scored0", "plain")
	check.Equal(t, "results with an incomplete text", len(readUntil(t, k, "s", 0).Results), 1)
	check.Equal(t, "reward calls before the text is complete", engine.count("reward-scored0"), 0)
	engine.release("scored0")
	awaitRuns(t, engine, "reward-scored0", 1)
	page, err := k.Read(t.Context(), "s", 0, 0)
	check.Equal(t, "error", err, nil)
	check.Equal(t, "results without the score", len(page.Results), 1)
	close(release)
	results := readUntil(t, k, "s", 1).Results
	check.Equal(t, "result", results[1], Result{Item: "scored0", Text: "scored0", Versions: []int{1}, Score: "s1"})
	check.Equal(t, "score of an item without a reward call", results[0].Score, "")
	engine.mu.Lock()
	defer engine.mu.Unlock()
	sent := engine.requests[len(engine.requests)-1]
	check.Equal(t, "request", []string{sent.ID, sent.Host, sent.Method, sent.Target, string(sent.Body)},
		[]string{"reward-scored0", "h", http.MethodPost, rewardPath + "scored0", "score scored0"})
	if sent.Deadline.Before(time.Now()) {
		t.Errorf("deadline %v has passed", sent.Deadline)
	}
}

// TestRewardCallRetries checks that a reward call is repeated until a whole signed
// answer has arrived, and that only repeated status 500 ends its item as failed.
func TestRewardCallRetries(t *testing.T) {
	cut := func(context.Context) relay.Reply {
		return answerWith(http.StatusOK, "cut", iotest.ErrReader(io.ErrUnexpectedEOF))(nil)
	}
	unsigned := answerWith(http.StatusOK, "", strings.NewReader("x"))
	for name, tc := range map[string]struct {
		answers []func(context.Context) relay.Reply
		failed  bool
		score   string
		calls   int
	}{
		"one server error":           {[]func(context.Context) relay.Reply{status500}, false, "signature", 2},
		"server errors to the limit": {[]func(context.Context) relay.Reply{status500, lostAnswer, status500}, true, "", 3},
		"lost answers":               {[]func(context.Context) relay.Reply{lostAnswer, lostAnswer, lostAnswer, lostAnswer}, false, "signature", 5},
		"full endpoints":             {[]func(context.Context) relay.Reply{fullEndpoint, fullEndpoint}, false, "signature", 3},
		"incomplete answer":          {[]func(context.Context) relay.Reply{cut}, false, "signature", 2},
		"answer without signature":   {[]func(context.Context) relay.Reply{unsigned}, false, "signature", 2},
		"other failures": {[]func(context.Context) relay.Reply{
			answerWith(http.StatusGatewayTimeout, "f", strings.NewReader("")), answerWith(http.StatusNotFound, "f", strings.NewReader("")),
			answerWith(http.StatusFound, "f", strings.NewReader("")),
		}, false, "signature", 4},
		"no answer": {[]func(context.Context) relay.Reply{noAnswer}, false, "signature", 2},
	} {
		t.Run(name, func(t *testing.T) {
			engine := newJudge(tc.answers...)
			k := newKeeper(t, newCluster(), memory.New(), engine, "a")
			acceptAt(t, k, "s", "scored0")
			result := readUntil(t, k, "s", 0).Results[0]
			check.Equal(t, "failed", result.Failed, tc.failed)
			check.Equal(t, "score", result.Score, tc.score)
			check.Equal(t, "calls", engine.count("reward-scored0"), tc.calls)
			check.Equal(t, "runs of the item", engine.count("scored0"), 1)
		})
	}
}

// TestRewardCallOwedAfterCrashes checks that a reward call during which endpoints
// crash is sent again until it is answered.
func TestRewardCallOwedAfterCrashes(t *testing.T) {
	engine := newJudge(lostAnswer, lostAnswer, lostAnswer, lostAnswer, lostAnswer)
	k := newKeeper(t, newCluster(), memory.New(), engine, "a")
	acceptAt(t, k, "s", "scored0")
	result := readUntil(t, k, "s", 0).Results[0]
	check.Equal(t, "failed", result.Failed, false)
	check.Equal(t, "score", result.Score, "signature")
	check.Equal(t, "calls", engine.count("reward-scored0"), 6)
}

// TestEndStopsRewardCalls checks that the end of a batch cancels its reward calls in
// flight and that none is sent afterwards.
func TestEndStopsRewardCalls(t *testing.T) {
	cancelled := make(chan struct{}, 8)
	silent := func(ctx context.Context) relay.Reply {
		reply := noAnswer(ctx)
		cancelled <- struct{}{}
		return reply
	}
	engine := newJudge(silent, silent, silent, silent)
	k := newKeeper(t, newCluster(), memory.New(), engine, "a")
	acceptAt(t, k, "s", "scored0")
	awaitRuns(t, engine, "reward-scored0", 1)
	if err := k.End(t.Context(), "s"); err != nil {
		t.Fatal(err)
	}
	sent := engine.count("reward-scored0")
	for range sent {
		select {
		case <-cancelled:
		case <-time.After(testLimit):
			t.Fatal("a reward call goes on after the end of its batch")
		}
	}
	time.Sleep(5 * rescheduleInterval)
	check.Equal(t, "reward calls", engine.count("reward-scored0"), sent)
}

// TestTakeoverScoresCompleteText stops a keeper while a complete text waits for its
// score: the next keeper must score that text and not generate another one.
func TestTakeoverScoresCompleteText(t *testing.T) {
	for name, tc := range map[string]struct {
		save func(t *testing.T, k *Keeper)
		stop func(c *cluster, k *Keeper)
	}{
		"killed after a checkpoint": {
			func(t *testing.T, k *Keeper) { k.saveCheckpoints(t.Context()) },
			func(c *cluster, k *Keeper) { c.setDead(k.deps.Name, true); k.Close() },
		},
		"killed after a backup": {
			func(t *testing.T, k *Keeper) { k.sendBackups(t.Context()) },
			func(c *cluster, k *Keeper) { c.setDead(k.deps.Name, true); k.Close() },
		},
		"planned stop": {
			func(*testing.T, *Keeper) {},
			func(c *cluster, k *Keeper) {
				ctx, cancel := context.WithTimeout(context.Background(), testLimit)
				defer cancel()
				k.Leave(ctx)
				c.setDead(k.deps.Name, true)
				k.Close()
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, store := newCluster(), memory.New()
			engine := newJudge(noAnswer, noAnswer)
			keepers := []*Keeper{newKeeper(t, c, store, engine, "a"), newKeeper(t, c, store, engine, "b")}
			var items []string
			for i := range 4 {
				items = append(items, fmt.Sprint(scoredPrefix, i))
			}
			acceptAt(t, keepers[0], "s", items...)
			owner, next := keepers[0], keepers[1]
			if _, err := owner.ReadLocal(t.Context(), "s", 0, 0); errors.Is(err, ErrNotOwner) {
				owner, next = next, owner
			}
			for _, item := range items {
				awaitRuns(t, engine, "reward-"+item, 1)
			}
			tc.save(t, owner)
			tc.stop(c, owner)
			for _, result := range readUntil(t, next, "s", len(items)-1).Results {
				check.Equal(t, "score", result.Score, "signature")
				check.Equal(t, "text", result.Text, result.Item)
				check.Equal(t, "runs of "+result.Item, engine.count(result.Item), 1)
			}
		})
	}
}

// TestRepeatedGroupKeepsTextAndScore submits the items of an ended batch again: a
// complete text is not generated again, and its score is used only for the same
// reward call.
func TestRepeatedGroupKeepsTextAndScore(t *testing.T) {
	engine := newJudge()
	engine.hold("held")
	k := newKeeper(t, newCluster(), memory.New(), engine, "a")
	submit := func(id, rewardID string) {
		s := submissionOf(t, id, "scored0", "scored1", "held")
		s.Items[1].Reward.ID = rewardID
		for i := range s.Items {
			s.Items[i].Group = "g"
		}
		if _, ok := k.Accept(t.Context(), s).(Stored); !ok {
			t.Fatal("batch not accepted")
		}
	}
	submit("s", "reward-scored1")
	check.Equal(t, "results", len(readUntil(t, k, "s", 1).Results), 2)
	if err := k.End(t.Context(), "s"); err != nil {
		t.Fatal(err)
	}
	submit("again", "another")
	for _, result := range readUntil(t, k, "again", 1).Results {
		check.Equal(t, "score", result.Score, "signature")
		check.Equal(t, "runs of "+result.Item, engine.count(result.Item), 1)
	}
	calls := map[string]int{}
	for _, id := range []string{"reward-scored0", "reward-scored1", "another"} {
		calls[id] = engine.count(id)
	}
	check.Equal(t, "reward calls", calls, map[string]int{"reward-scored0": 1, "reward-scored1": 1, "another": 1})
}

// TestDurableItemsWaitForNoScore checks that an item whose result another keeper has
// stored has no reward call here: neither when this node takes the batch over with a
// complete text in its backup, nor when it learns of that result later. Such items
// counted as waiting for their score, and were backed up again.
func TestDurableItemsWaitForNoScore(t *testing.T) {
	newJob := func(t *testing.T) (*Keeper, *job) {
		k := newKeeper(t, newCluster(), memory.New(), newJudge(), "a")
		return k, k.newJob(Head{ID: "s", Host: "h", Path: "/b/x"}, submissionOf(t, "s", "scored0"))
	}
	stored := []Result{{Item: "scored0", Text: "scored0", Score: "signature"}}
	assertNothingWaits := func(t *testing.T, j *job) {
		t.Helper()
		check.Equal(t, "items that wait for a score", j.scoring(), 0)
		check.Equal(t, "complete texts without a durable result", len(j.completeTexts()), 0)
	}
	t.Run("stored before the takeover", func(t *testing.T) {
		k, j := newJob(t)
		k.StoreBackup([]PartialOutput{{Item: "scored0", Texts: []string{"scored0"}, Versions: []int{1}, Complete: true}})
		j.results.Commit(stored)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.restorePartials(j)
		assertNothingWaits(t, j)
	})
	t.Run("stored meanwhile", func(t *testing.T) {
		k, j := newJob(t)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.finishText(j, 0)
		ctx, cancel := context.WithCancel(t.Context())
		j.items[0].reward.attempts = []*rewardAttempt{{cancel: cancel}}
		k.commitChunk(j, stored)
		assertNothingWaits(t, j)
		check.Equal(t, "attempt is cancelled", ctx.Err() != nil, true)
	})
}
