package batch

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/routes"
)

// teamEngine records the team of each request that it gets.
type teamEngine struct {
	instantEngine
	mu    sync.Mutex
	teams map[string][]string
}

func newTeamEngine() *teamEngine {
	return &teamEngine{instantEngine: instantEngine{held: make(map[string]chan struct{})}, teams: make(map[string][]string)}
}

func (e *teamEngine) Send(ctx context.Context, target fleet.Target, request relay.Request) relay.Reply {
	e.mu.Lock()
	e.teams[request.ID] = append(e.teams[request.ID], request.Team)
	e.mu.Unlock()
	return e.instantEngine.Send(ctx, target, request)
}

// sent returns the teams of the requests that the engine got for an item.
func (e *teamEngine) sent(item string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.teams[item]...)
}

// newTeamCluster returns a cluster whose configuration has teams.
func newTeamCluster() *cluster {
	c := newCluster()
	c.teams = []routes.Team{{Name: "red", Keys: []routes.KeyDigest{routes.DigestKey("r")}}}
	return c
}

func submissionOfTeam(t *testing.T, team, id string, items ...string) Submission {
	t.Helper()
	s := submissionOf(t, id, items...)
	s.Team = team
	return s
}

// TestSubmissionOfAnotherTeam guards against a team that learns of another team's batch
// by submitting its id, at any node.
func TestSubmissionOfAnotherTeam(t *testing.T) {
	c, store, engine := newTeamCluster(), memory.New(), newTeamEngine()
	a, b := newKeeper(t, c, store, engine, "a"), newKeeper(t, c, store, engine, "b")
	outside := startKeeper(t, clusterPeers{cluster: c, name: "outside", outside: true}, store, engine)
	if _, ok := a.Accept(t.Context(), submissionOfTeam(t, "red", "s", "i")).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
	for _, k := range []*Keeper{a, b, outside} {
		for _, team := range []string{"blue", ""} {
			rejected, ok := k.Accept(t.Context(), submissionOfTeam(t, team, "s", "other")).(Rejected)
			check.Equal(t, "unknown to team "+team, ok && errors.Is(rejected.Cause, ErrUnknown), true)
		}
		stored, _ := k.Accept(t.Context(), submissionOfTeam(t, "red", "s", "i")).(Stored)
		check.Equal(t, "accepted before", stored.Before, true)
		team, err := k.Team(t.Context(), "s")
		check.Equal(t, "team", team, "red")
		check.Equal(t, "error", err, nil)
	}
	readUntil(t, b, "s", 0)
	check.Equal(t, "requests for an item of the other team", len(engine.sent("other")), 0)
	_, err := outside.Team(t.Context(), "none")
	check.Equal(t, "an unknown batch", errors.Is(err, ErrUnknown), true)
	store.SetFaults(memory.Faults{Refuse: true})
	_, err = outside.Team(t.Context(), "none")
	check.Equal(t, "without the store", errors.Is(err, ErrUndetermined), true)
}

// TestTeamAfterTakeover guards against items without a team after their keeper was
// killed between the acceptance of the batch and its first item.
func TestTeamAfterTakeover(t *testing.T) {
	c, store, engine := newTeamCluster(), memory.New(), newTeamEngine()
	a := newKeeper(t, c, store, engine, "a")
	engine.hold("i")
	if _, ok := a.Accept(t.Context(), submissionOfTeam(t, "red", "s", "i")).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
	a.Close()
	c.setDead("a", true)
	engine.release("i")
	b := newKeeper(t, c, store, engine, "b")
	readUntil(t, b, "s", 0)
	teams := engine.sent("i")
	check.Equal(t, "runs", len(teams) > 0, true)
	for _, team := range teams {
		check.Equal(t, "team", team, "red")
	}
}

// TestHeadOfPreviousRelease guards against a batch of a team that counts as one without,
// since a node of a release without teams sent its head.
func TestHeadOfPreviousRelease(t *testing.T) {
	c, store, engine := newTeamCluster(), memory.New(), newTeamEngine()
	a := newKeeper(t, c, store, engine, "a")
	engine.hold("i")
	if _, ok := a.Accept(t.Context(), submissionOfTeam(t, "red", "s", "i")).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
	known, _ := a.Find("s")
	old := Notification{Head: known.Head, HandedOver: true}
	old.Head.Team, old.Head.TeamUnknown = "", true

	alone := newTeamCluster()
	b := newKeeper(t, alone, store, engine, "b")
	store.SetFaults(memory.Faults{Refuse: true})
	b.HoldOffer("s", "h", "/b/x", []byte("i"))
	b.Apply(old)
	_, err := b.Team(t.Context(), "s")
	check.Equal(t, "without the store", errors.Is(err, ErrUndetermined), true)
	store.SetFaults(memory.Faults{})
	engine.release("i")
	readUntil(t, b, "s", 0)
	team, err := b.Team(t.Context(), "s")
	check.Equal(t, "team", team, "red")
	check.Equal(t, "error", err, nil)
	for _, team := range engine.sent("i") {
		check.Equal(t, "team of a run", team, "red")
	}
	found, _ := b.Find("s")
	check.Equal(t, "what the node tells others", found.Head.Team, "red")
}

// TestOfferOfAnotherTeam guards against the items of another team's submission that run
// in a batch of the same id, which this node comes to own.
func TestOfferOfAnotherTeam(t *testing.T) {
	store, engine := memory.New(), newTeamEngine()
	a := newKeeper(t, newTeamCluster(), store, engine, "a")
	engine.hold("i")
	if _, ok := a.Accept(t.Context(), submissionOfTeam(t, "red", "s", "i")).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
	a.Close()
	known, _ := a.Find("s")
	b := newKeeper(t, newTeamCluster(), store, engine, "b")
	b.Apply(known)
	b.HoldOffer("s", "h", "/b/x", []byte("other"))
	known.Head.Keeper = "b"
	b.Apply(Notification{Head: known.Head, TakenOver: true})
	engine.release("i")
	readUntil(t, b, "s", 0)
	check.Equal(t, "requests for an item of the other team", len(engine.sent("other")), 0)
}

// TestTeamlessBatch guards against a store read for each batch without a team: nodes of
// this release say that it has none.
func TestTeamlessBatch(t *testing.T) {
	c, store, engine := newTeamCluster(), memory.New(), newTeamEngine()
	a, b := newKeeper(t, c, store, engine, "a"), newKeeper(t, c, store, engine, "b")
	if _, ok := a.Accept(t.Context(), submissionOf(t, "s", "i")).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
	store.SetFaults(memory.Faults{Refuse: true})
	for _, k := range []*Keeper{a, b} {
		team, err := k.Team(t.Context(), "s")
		check.Equal(t, "team", team, "")
		check.Equal(t, "error", err, nil)
	}
	store.SetFaults(memory.Faults{})
	if _, ok := b.Accept(t.Context(), submissionOfTeam(t, "red", "s", "i")).(Stored); !ok {
		t.Error("a batch without a team is not accessible to a team")
	}
}
