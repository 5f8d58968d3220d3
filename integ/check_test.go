package integ

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/fakes/score"
	"github.com/currantloft/currantloft/node"
	"github.com/currantloft/currantloft/steps"
)

type dumped struct{ node.State }

func (f *fleet) dump(n *process) dumped {
	var d dumped
	if raw, err := f.client.Dump(f.ctx, n.url); err == nil {
		_ = json.Unmarshal(raw, &d.State)
	}
	return d
}

// stepOf returns the number of the trainer's step at hand.
func (d dumped) stepOf(trainer string) uint64 {
	for _, j := range d.Steps {
		if j.Trainer == trainer {
			return j.Step
		}
	}
	return 0
}

// ledger remembers every sample that a trainer got in whole answers.
type ledger struct {
	seen map[string]bool
}

func newLedger() *ledger { return &ledger{seen: make(map[string]bool)} }

// take checks a whole step: groups whole, ids new, labels true, scores right.
func (l *ledger) take(t testing.TB, got caller.Step, asked []steps.GroupRequest, samples int, served, behind uint64) {
	t.Helper()
	if len(got.Groups()) != len(asked) {
		t.Fatalf("got %d groups, want %d", len(got.Groups()), len(asked))
	}
	for i, g := range got.Groups() {
		if g.Group != asked[i].Group || len(g.Samples) != samples {
			t.Fatalf("group %q has %d samples, want %q with %d", g.Group, len(g.Samples), asked[i].Group, samples)
		}
		for _, s := range g.Samples {
			if l.seen[s.ID] {
				t.Errorf("sample %s came twice", s.ID)
			}
			l.seen[s.ID] = true
			if problem := mislabelled(s, served, behind); problem != "" {
				t.Errorf("sample %s: %s", s.ID, problem)
			}
		}
	}
}

// mislabelled compares a sample's label with what its tokens say.
func mislabelled(s steps.Sample, served, behind uint64) string {
	truth := model.TrueVersions(s.Text)
	at := uint32(0)
	for _, v := range s.Versions {
		if v.First != at {
			return fmt.Sprintf("range begins at %d, want %d", v.First, at)
		}
		for range v.Tokens {
			if int(at) >= len(truth) || truth[at] != v.Version {
				return fmt.Sprintf("token %d is labelled %d, made by %v", at, v.Version, truth)
			}
			at++
		}
		if v.Version == 0 || v.Version+behind < served {
			return fmt.Sprintf("version %d with %d served", v.Version, served)
		}
	}
	if int(at) != len(truth) {
		return fmt.Sprintf("labels cover %d of %d tokens", at, len(truth))
	}
	if s.Score != score.Of(s.Text) {
		return fmt.Sprintf("score %v, want %v", s.Score, score.Of(s.Text))
	}
	return ""
}

func assertStatus(t testing.TB, err error, status int) {
	t.Helper()
	var refused *caller.Error
	if !errors.As(err, &refused) || refused.Status() != status {
		t.Fatalf("got %v, want status %d", err, status)
	}
	if refused.Body().Error == "" {
		t.Fatal("the answer does not say what is wrong")
	}
}
