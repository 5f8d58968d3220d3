package detour

import (
	"context"
	"errors"
	"io"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/reach"
	"github.com/currantloft/currantloft/relay"
)

// scriptedTransport answers requests by the host of their path.
type scriptedTransport struct {
	Transport
	replies map[string]func(ctx context.Context) relay.Reply
}

func (s *scriptedTransport) SendOver(ctx context.Context, path reach.Path, _ fleet.Target, _ relay.Request) relay.Reply {
	return s.replies[path.Host](ctx)
}

func (*scriptedTransport) CloseIdle(reach.Path) {}

// connect tells the sender that the request has a connection.
func connect(ctx context.Context) { httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{}) }

func answered(ctx context.Context) relay.Reply {
	connect(ctx)
	return relay.Answer{Status: 200, Body: io.NopCloser(strings.NewReader("x"))}
}

func notConnected(context.Context) relay.Reply {
	return relay.NotRun{Cause: reach.ErrNotConnected}
}

func newScriptedSender(replies map[string]func(context.Context) relay.Reply) (*Sender, *reach.Book) {
	book := reach.NewBook(time.Now)
	return NewSender(SenderDeps{
		Book: book, Transport: &scriptedTransport{replies: replies}, Dialer: NewDialer(DialerDeps{Book: book}),
		Hosts: func() []reach.Host { return []reach.Host{{Name: "b"}} }, Scope: tally.NoopScope, Logger: zap.NewNop(),
	}), book
}

// TestUnclosedAnswerKeepsPathBusy leaves the body of an answer open, as that of a hedge
// which lost: the path must not count as used for ever.
func TestUnclosedAnswerKeepsPathBusy(t *testing.T) {
	s, book := newScriptedSender(map[string]func(context.Context) relay.Reply{"": answered})
	ctx, cancel := context.WithCancel(t.Context())
	s.Send(ctx, fleet.NewTarget("e", "a", "d"), relay.Request{ID: "r"})
	check.Equal(t, "the path is watched", book.Watching(), true)
	cancel()
	for deadline := time.Now().Add(5 * time.Second); book.Watching() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	check.Equal(t, "the path is watched after the request", book.Watching(), false)
}

// TestRequestThatMayHaveRunIsReportedAsNotRun breaks the path of a request that was
// written, and refuses it over the next path.
func TestRequestThatMayHaveRunIsReportedAsNotRun(t *testing.T) {
	refused := func(ctx context.Context) relay.Reply {
		connect(ctx)
		return relay.NotRun{Sent: true, Cause: errors.New("full")}
	}
	for name, last := range map[string]func(context.Context) relay.Reply{"refused": refused, "not connected": notConnected} {
		t.Run(name, func(t *testing.T) {
			lost := func(ctx context.Context) relay.Reply {
				connect(ctx)
				<-ctx.Done()
				return relay.Lost{Cause: ctx.Err()}
			}
			s, book := newScriptedSender(map[string]func(context.Context) relay.Reply{"": lost, "b": last})
			go func() {
				time.Sleep(2 * minSilence)
				// Connecting fails directly, and works through the host.
				book.Failed(reach.Direct("a"), reach.Failure{})
				book.Connected(reach.Path{Host: "b", Address: "a"})
				s.giveUpSilent()
			}()
			reply := s.Send(t.Context(), fleet.NewTarget("e", "a", "d"), relay.Request{
				ID: "r", Repeatable: true, Deadline: time.Now().Add(time.Second),
			})
			if _, ok := reply.(relay.Lost); !ok {
				t.Errorf("the reply is %T, want relay.Lost", reply)
			}
		})
	}
}

// TestRequestWithoutPermissionTriesNoOtherPath checks that a request that was not permitted
// at the write is not sent over another path, and that the one it had counts as working.
func TestRequestWithoutPermissionTriesNoOtherPath(t *testing.T) {
	s, book := newScriptedSender(map[string]func(context.Context) relay.Reply{"": func(ctx context.Context) relay.Reply {
		connect(ctx)
		return relay.NotRun{Cause: relay.ErrNotPermitted}
	}, "b": answered})
	reply := s.Send(t.Context(), fleet.NewTarget("e", "a", "d"), relay.Request{ID: "r", Repeatable: true})
	notRun, ok := reply.(relay.NotRun)
	check.Equal(t, "the request has not run", ok && errors.Is(notRun.Cause, relay.ErrNotPermitted), true)
	check.Equal(t, "the path has failed", book.JustFailed(reach.Direct("a")), false)
}
