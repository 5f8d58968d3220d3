package edge

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/mirror"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/roster"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

// roundTrip returns a message as another node receives it.
func roundTrip[M proto.Message](t *testing.T, sent, received M) M {
	t.Helper()
	raw, err := proto.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(raw, received); err != nil {
		t.Fatal(err)
	}
	return received
}

// TestMessagesRoundTrip guards against fields that are lost between nodes: it
// encodes and decodes each type with every field set.
func TestMessagesRoundTrip(t *testing.T) {
	t.Run("a batch notification", func(t *testing.T) {
		want := batch.Notification{Head: batch.Head{
			ID: "i", Host: "h", Path: "p", Model: "m", Step: 1, Items: 2, Keeper: "k", Incarnation: 3,
			AcceptedMs: 4, BodyParts: 5, Tokens: 6, Team: "t",
		}, Ended: true, HandedOver: true, TakenOver: true}
		check.Equal(t, "notification", decodeNotification(roundTrip(t, encodeNotification(want), &wirepb.BatchNotice{})), want)
	})
	t.Run("a batch notification of the release before teams", func(t *testing.T) {
		got := decodeNotification(roundTrip(t, &wirepb.BatchNotice{Id: "i"}, &wirepb.BatchNotice{}))
		check.Equal(t, "notification", got, batch.Notification{Head: batch.Head{ID: "i", TeamUnknown: true}})
		check.Equal(t, "passed on", decodeNotification(roundTrip(t, encodeNotification(got), &wirepb.BatchNotice{})), got)
	})
	t.Run("a batch notification without a team", func(t *testing.T) {
		want := batch.Notification{Head: batch.Head{ID: "i"}}
		check.Equal(t, "notification", decodeNotification(roundTrip(t, encodeNotification(want), &wirepb.BatchNotice{})), want)
	})
	t.Run("a page", func(t *testing.T) {
		want := batch.Page{Total: 9, Next: 3, Checked: true, Results: []batch.Result{
			{Item: "a", Text: "x\xffy", Versions: []int{1, 2}}, {Item: "b", Failed: true},
		}}
		check.Equal(t, "page", decodePage(roundTrip(t, encodePage(want), &wirepb.BatchPage{})), want)
	})
	t.Run("partial outputs", func(t *testing.T) {
		want := []batch.PartialOutput{{Item: "a", Offset: 1, Preceding: 1 << 63, Software: "s/v1", LastEvent: 4, Complete: true, Texts: []string{"x", "\xff"}, Versions: []int{7}}}
		check.Equal(t, "partial outputs", decodePartials(roundTrip(t, encodePartials(want), &wirepb.BatchRests{})), want)
	})
	t.Run("changes of the store", func(t *testing.T) {
		want := []mirror.Update{{Kind: "k", Revision: 5, Unavailable: true, Changes: []object.Change{
			{Entry: object.Entry{Name: "n", Revision: 6, Spec: []byte("{}")}},
			{Entry: object.Entry{Name: "o", Revision: 7}, Removed: true},
		}}}
		check.Equal(t, "changes", decodeUpdates(roundTrip(t, encodeUpdates(want, 0, false), &wirepb.StoreNews{})), want)
	})
	t.Run("when the store was read", func(t *testing.T) {
		for name, tc := range map[string]struct {
			readAt, ahead time.Duration
			known         bool
			want          time.Duration
		}{
			"by the receiver's clock":            {5 * time.Second, 2 * time.Minute, true, 125 * time.Second},
			"by one that started later":          {5 * time.Minute, -4 * time.Minute, true, time.Minute},
			"before the receiver started":        {5 * time.Second, -time.Minute, true, 0},
			"the receiver's clock is not known":  {5 * time.Second, 0, false, 0},
			"the update is not from a list":      {0, 2 * time.Minute, true, 0},
			"in whole milliseconds, not too new": {1999 * time.Microsecond, 0, true, time.Millisecond},
		} {
			t.Run(name, func(t *testing.T) {
				sent := encodeUpdates([]mirror.Update{{Kind: "k", Revision: 5, ReadAt: tc.readAt}}, tc.ahead, tc.known)
				check.Equal(t, "read at", decodeUpdates(roundTrip(t, sent, &wirepb.StoreNews{}))[0].ReadAt, tc.want)
			})
		}
	})
	t.Run("clock of a host", func(t *testing.T) {
		var clocks hostClocks
		h := roster.Host{Name: "h", Incarnation: 1}
		_, known := clocks.ahead(h)
		check.Equal(t, "known before an answer", known, false)
		sentAt := waits.Boottime()
		clocks.record(h, (sentAt + time.Hour).Milliseconds())
		ahead, known := clocks.ahead(h)
		check.Equal(t, "known", known, true)
		check.Equal(t, "never too far ahead", ahead <= time.Hour && ahead > 59*time.Minute, true)
		clocks.record(h, 0)
		_, known = clocks.ahead(h)
		check.Equal(t, "known after an answer of an older release", known, true)
		_, known = clocks.ahead(roster.Host{Name: "h", Incarnation: 2})
		check.Equal(t, "known after the host has started again", known, false)
	})
	t.Run("requests that crash endpoints", func(t *testing.T) {
		want := []poison.Suspect{{Fingerprint: 1 << 63, Crashes: 3, Remaining: time.Minute}, {Fingerprint: 1}}
		sent := &wirepb.Suspects{List: encodeSuspects(want)}
		check.Equal(t, "suspects", decodeSuspects(roundTrip(t, sent, &wirepb.Suspects{}).GetList()), want)
	})
}
