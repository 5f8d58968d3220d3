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
	"github.com/currantloft/currantloft/wirepb"
)

// overWire returns a message as another node receives it.
func overWire[M proto.Message](t *testing.T, sent, received M) M {
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

// TestNothingIsLostOnTheWire sends each type that nodes tell each other with
// every field set.
func TestNothingIsLostOnTheWire(t *testing.T) {
	t.Run("a notice", func(t *testing.T) {
		want := batch.Notice{Head: batch.Head{
			ID: "i", Host: "h", Path: "p", Model: "m", Step: 1, Items: 2, Keeper: "k", Incarnation: 3,
			AcceptedMs: 4, Parts: 5, Tokens: 6,
		}, Ended: true, Handed: true, Taken: true}
		check.Equal(t, "notice", decodeNotice(overWire(t, encodeNotice(want), &wirepb.BatchNotice{})), want)
	})
	t.Run("a page", func(t *testing.T) {
		want := batch.Page{Total: 9, Next: 3, Results: []batch.Result{
			{Item: "a", Text: "x\xffy", Versions: []int{1, 2}}, {Item: "b", Failed: true},
		}}
		check.Equal(t, "page", decodePage(overWire(t, encodePage(want), &wirepb.BatchPage{})), want)
	})
	t.Run("what was generated", func(t *testing.T) {
		want := []batch.Rest{{Item: "a", From: 1, Last: 4, Whole: true, Texts: []string{"x", "\xff"}, Versions: []int{7}}}
		check.Equal(t, "rests", decodeRests(overWire(t, encodeRests(want), &wirepb.BatchRests{})), want)
	})
	t.Run("news of the store", func(t *testing.T) {
		want := []mirror.News{{Kind: "k", At: 5, Away: true, Changes: []object.Change{
			{Entry: object.Entry{Name: "n", Revision: 6, Spec: []byte("{}")}},
			{Entry: object.Entry{Name: "o", Revision: 7}, Removed: true},
		}}}
		check.Equal(t, "news", decodeNews(overWire(t, encodeNews(want), &wirepb.StoreNews{})), want)
	})
	t.Run("requests that crash", func(t *testing.T) {
		want := []poison.Suspicion{{Fingerprint: 1 << 63, Crashes: 3, Left: time.Minute}, {Fingerprint: 1}}
		sent := &wirepb.Suspects{List: encodeSuspects(want)}
		check.Equal(t, "suspects", decodeSuspects(overWire(t, sent, &wirepb.Suspects{}).GetList()), want)
	})
}
