package edge

import (
	"context"
	"math/rand/v2"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/mirror"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/roster"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// noticeLimit is how long a notice may take; a lost one is made up for by the
	// list of batches.
	noticeLimit = time.Second
	// detourLimit bounds a store call for another node.
	detourLimit = 12 * time.Second
)

// leaderKey is what the nodes are ranked by for duties of one node.
const leaderKey = "leader"

// others is what the batches' keeper does with other nodes.
type others struct {
	*roster.Roster
	pool   *peers.Pool
	logger *zap.Logger
}

var _ batch.Peers = (*others)(nil)

// counting returns what counts calls of other nodes and their bytes, both ways, by
// kind of call.
func counting(scope tally.Scope) func(call, reply *wirepb.Frame) {
	type counters struct{ calls, bytes tally.Counter }
	var kinds sync.Map
	return func(call, reply *wirepb.Frame) {
		kind := reflect.TypeOf(call.GetBody())
		found, ok := kinds.Load(kind)
		if !ok {
			tagged := scope.Tagged(map[string]string{"kind": strings.TrimPrefix(kind.Elem().Name(), "Frame_")})
			found, _ = kinds.LoadOrStore(kind, counters{tagged.Counter("peer_calls"), tagged.Counter("peer_bytes")})
		}
		c, _ := found.(counters)
		c.calls.Inc(1)
		c.bytes.Inc(int64(proto.Size(call) + proto.Size(reply)))
	}
}

// Tell sends a notice to all other nodes.
func (o *others) Tell(notice batch.Notice) {
	o.toAll(&wirepb.Frame{Body: &wirepb.Frame_BatchNotice{BatchNotice: encodeNotice(notice)}})
}

// lost tells all other nodes of one that does not answer.
func (o *others) lost(h roster.Host) {
	o.toAll(&wirepb.Frame{Body: &wirepb.Frame_HostLost{HostLost: &wirepb.HostLost{Name: h.Name, Incarnation: h.Incarnation}}})
}

// Pass sends what was read from the store to all other nodes.
func (o *others) Pass(news []mirror.News) {
	o.toAll(&wirepb.Frame{Body: &wirepb.Frame_StoreNews{StoreNews: encodeNews(news)}})
}

// Rank returns the node's place among those that stay.
func (o *others) Rank() (rank, nodes int) {
	names := o.Keepers()
	self := o.Self().Name
	if !o.Settled() {
		return len(names), max(1, len(names))
	}
	for i, name := range rendez.Top(leaderKey, names, len(names)) {
		if name == self {
			return i, len(names)
		}
	}
	return len(names), max(1, len(names))
}

// toAll sends a frame to all other nodes; what it returns waits for their answers.
func (o *others) toAll(call *wirepb.Frame) *sync.WaitGroup {
	var calls sync.WaitGroup
	for _, h := range o.Others() {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeLimit)
			defer cancel()
			_, err := o.pool.Do(ctx, h.Peers, call)
			if err != nil && ctx.Err() == nil {
				_, err = o.pool.Do(ctx, h.Peers, call)
			}
			if err != nil {
				event.HostNotTold.Log(o.logger, zap.String("host", h.Name), zap.Error(err))
			}
		})
	}
	return &calls
}

// ReadAt reads results at another node.
func (o *others) ReadAt(ctx context.Context, name, id string, after int, wait time.Duration) (batch.Page, error) {
	frame, err := o.do(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchRead{BatchRead: &wirepb.BatchRead{
		Id: id, After: int64(after), WaitMs: wait.Milliseconds(),
	}}})
	if err != nil {
		return batch.Page{}, err
	}
	reply := frame.GetBatchPage()
	if !reply.GetKept() {
		return batch.Page{}, batch.ErrNotKept
	}
	return decodePage(reply), nil
}

// BodyAt reads an item's body at another node.
func (o *others) BodyAt(ctx context.Context, name, id, item string) ([]byte, error) {
	frame, err := o.do(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchBody{BatchBody: &wirepb.BatchBody{Id: id, Item: item}}})
	if err != nil {
		return nil, err
	}
	reply := frame.GetBatchBodyReply()
	switch {
	case !reply.GetKept():
		return nil, batch.ErrNotKept
	case !reply.GetFound():
		return nil, batch.ErrUnknown
	default:
		return reply.GetBody(), nil
	}
}

// OfferTo gives a batch to the node that is to keep it.
func (o *others) OfferTo(ctx context.Context, name string, s batch.Submission) error {
	frame, err := o.do(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchOffer{BatchOffer: &wirepb.BatchOffer{
		Id: s.ID, Host: s.Host, Path: s.Path, Raw: s.Raw,
	}}})
	if err == nil && !frame.GetBatchPage().GetKept() {
		return batch.ErrNotKept
	}
	return err
}

// RestsTo sends what was generated to the node that would take over.
func (o *others) RestsTo(ctx context.Context, name string, rests []batch.Rest) error {
	frame, err := o.do(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchRests{BatchRests: encodeRests(rests)}})
	if err == nil && !frame.GetBatchPage().GetKept() {
		return batch.ErrNotKept
	}
	return err
}

// EndAt ends a batch at another node.
func (o *others) EndAt(ctx context.Context, name string, head batch.Head) error {
	notice := encodeNotice(batch.Notice{Head: head, Ended: true})
	_, err := o.do(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchNotice{BatchNotice: notice}})
	return err
}

func (o *others) do(ctx context.Context, name string, call *wirepb.Frame) (*wirepb.Frame, error) {
	h, ok := o.Host(name)
	if !ok {
		return nil, batch.ErrNotKept
	}
	return o.pool.Do(ctx, h.Peers, call)
}

// detour makes a store call through a random other node.
func (o *others) detour(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	hosts := o.Others()
	if len(hosts) == 0 {
		return 0, nil, nil
	}
	h := hosts[rand.IntN(len(hosts))]
	limit := detourLimit
	if deadline, ok := ctx.Deadline(); ok {
		limit = time.Until(deadline)
	}
	frame, err := o.pool.Do(ctx, h.Peers, &wirepb.Frame{Body: &wirepb.Frame_StoreCall{StoreCall: &wirepb.StoreCall{
		Method: method, Target: target, Body: body, LimitMs: limit.Milliseconds(),
	}}})
	if err != nil {
		return 0, nil, err
	}
	reply := frame.GetStoreReply()
	return int(reply.GetStatus()), reply.GetBody(), nil
}

// serve answers one call of another node.
func (e *Edge) serve(ctx context.Context, call *wirepb.Frame, stream *peers.Stream) {
	var reply *wirepb.Frame
	switch body := call.GetBody().(type) {
	case *wirepb.Frame_Hello:
		reply = &wirepb.Frame{Body: &wirepb.Frame_HelloReply{HelloReply: e.roster.Serve(body.Hello)}}
	case *wirepb.Frame_HostLost:
		e.roster.Lost(ctx, body.HostLost.GetName(), body.HostLost.GetIncarnation())
		reply = &wirepb.Frame{Body: &wirepb.Frame_HelloReply{HelloReply: &wirepb.HelloReply{}}}
	case *wirepb.Frame_Suspects:
		e.suspects.Learn(body.Suspects.GetList())
		reply = &wirepb.Frame{Body: &wirepb.Frame_HelloReply{HelloReply: &wirepb.HelloReply{}}}
	case *wirepb.Frame_BatchNotice:
		e.keeper.Learn(decodeNotice(body.BatchNotice))
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchPage{BatchPage: &wirepb.BatchPage{}}}
	case *wirepb.Frame_StoreNews:
		e.mirror.Take(decodeNews(body.StoreNews))
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchPage{BatchPage: &wirepb.BatchPage{}}}
	case *wirepb.Frame_BatchRests:
		kept := e.keeper.Backup(decodeRests(body.BatchRests))
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchPage{BatchPage: &wirepb.BatchPage{Kept: kept}}}
	case *wirepb.Frame_BatchOffer:
		offer := body.BatchOffer
		kept := e.keeper.Offered(offer.GetId(), offer.GetHost(), offer.GetPath(), offer.GetRaw())
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchPage{BatchPage: &wirepb.BatchPage{Kept: kept}}}
	case *wirepb.Frame_BatchRead:
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchPage{BatchPage: e.serveRead(ctx, body.BatchRead)}}
	case *wirepb.Frame_BatchBody:
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchBodyReply{BatchBodyReply: e.serveBody(body.BatchBody)}}
	case *wirepb.Frame_StoreCall:
		reply = &wirepb.Frame{Body: &wirepb.Frame_StoreReply{StoreReply: e.serveStore(ctx, body.StoreCall)}}
	default:
		if err := stream.Refuse(&wirepb.Problem{Text: "unknown kind of call", NotRun: true}); err != nil {
			e.logger.Debug("refusing a call", zap.Error(err))
		}
		return
	}
	if err := stream.Send(reply); err != nil {
		e.logger.Debug("answering a call", zap.Error(err))
	}
}

func (e *Edge) serveRead(ctx context.Context, read *wirepb.BatchRead) *wirepb.BatchPage {
	page, err := e.keeper.ReadHere(ctx, read.GetId(), int(read.GetAfter()), time.Duration(read.GetWaitMs())*time.Millisecond)
	if err != nil {
		return &wirepb.BatchPage{}
	}
	return encodePage(page)
}

func (e *Edge) serveBody(call *wirepb.BatchBody) *wirepb.BatchBodyReply {
	body, err := e.keeper.BodyHere(call.GetId(), call.GetItem())
	switch err {
	case nil:
		return &wirepb.BatchBodyReply{Kept: true, Found: true, Body: body}
	case batch.ErrUnknown:
		return &wirepb.BatchBodyReply{Kept: true}
	default:
		return &wirepb.BatchBodyReply{}
	}
}

func (e *Edge) serveStore(ctx context.Context, call *wirepb.StoreCall) *wirepb.StoreReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetLimitMs())*time.Millisecond)
	defer cancel()
	var body []byte
	if len(call.GetBody()) > 0 {
		body = call.GetBody()
	}
	status, reply, err := e.store.Direct(ctx, call.GetMethod(), call.GetTarget(), body)
	if err != nil {
		return &wirepb.StoreReply{}
	}
	return &wirepb.StoreReply{Status: uint32(status), Body: reply}
}
