package relay

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/quota"
	"github.com/currantloft/currantloft/routes"
)

// serveLimited serves a request when its only endpoint limits requests. Grant answers
// the need that the request causes.
func serveLimited(t *testing.T, grant func(need quota.Need) quota.Grant) (Outcome, *scriptedSender, time.Duration) {
	t.Helper()
	f := fleet.New(time.Now)
	f.Put(fleet.Entry{ID: "e", Service: "s", Address: "a:1", Slots: 4})
	f.Limits().Observe("e", time.Now(), quota.PerSecond(2))
	sender := &scriptedSender{steps: []func(context.Context) Reply{answer(200, "ok")}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-f.Limits().Wanted()
		for _, need := range f.Limits().Needs() {
			f.Limits().Apply(grant(need))
		}
	}()
	started := time.Now()
	outcome := New(Deps{
		Fleet: f, Sender: sender, Suspects: newCrashOnDisconnect(), Origins: newRecordedOrigins(), Logger: zap.NewNop(), Scope: tally.NoopScope,
	}).Serve(t.Context(), Request{ID: "r", LastEventID: -1}, routes.Route{
		Kind: routes.Idempotent, Shares: []routes.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2, Timeout: 2 * time.Second,
	})
	took := time.Since(started)
	<-done
	return outcome, sender, took
}

// TestRequestOverTheLimit checks that a request waits for a permit that comes at once,
// and is refused at once, without having been sent, if none comes soon.
func TestRequestOverTheLimit(t *testing.T) {
	t.Run("a permit comes at once", func(t *testing.T) {
		outcome, sender, _ := serveLimited(t, func(need quota.Need) quota.Grant { return quota.Grant{Fact: need.Fact, Count: need.Count} })
		if _, ok := outcome.(Answered); !ok || len(sender.sent) != 1 {
			t.Errorf("got %T after %d attempts, want an answer to one", outcome, len(sender.sent))
		}
	})
	t.Run("a permit comes later", func(t *testing.T) {
		const next = 450 * time.Millisecond
		outcome, sender, took := serveLimited(t, func(need quota.Need) quota.Grant { return quota.Grant{Fact: need.Fact, Next: next} })
		refused, ok := outcome.(Refused)
		if !ok || len(sender.sent) != 0 {
			t.Fatalf("got %T after %d attempts, want a refusal after none", outcome, len(sender.sent))
		}
		if refused.RetryAfter < next-permitTimeout || refused.RetryAfter > next {
			t.Errorf("may return after %v, want about %v", refused.RetryAfter, next)
		}
		if took > permitTimeout {
			t.Errorf("refused after %v, want within %v", took, permitTimeout)
		}
	})
}
