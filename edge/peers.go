package edge

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/mirror"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/roster"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// notifyTimeout limits a notification. A node that misses one about a batch
	// learns of the change from the list of batches.
	notifyTimeout = time.Second
	// peerFallbackTimeout limits a store call through a peer if the caller's
	// context has no deadline.
	peerFallbackTimeout = 12 * time.Second
)

// leaderKey is the rendezvous key that ranks the nodes for duties that only one
// node has.
const leaderKey = "leader"

// peerClient calls the peers for the keeper of batches, the mirror of the store
// and the suspects.
type peerClient struct {
	*roster.Roster
	pool   *peers.Pool
	logger *zap.Logger
	// updates holds the changes that are to be passed on to this hub's children.
	updates *childUpdates
	clocks  hostClocks
}

var _ batch.Peers = (*peerClient)(nil)

// countCalls returns an observer that counts this node's answered calls to peers,
// and the bytes of the calls and their replies, by kind of call.
func countCalls(scope tally.Scope) func(call, reply *wirepb.Frame) {
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

// Notify sends a notification to the hubs. Other hosts ask a hub for a batch.
func (p *peerClient) Notify(notification batch.Notification) {
	p.send(p.Hubs(), &wirepb.Frame{Body: &wirepb.Frame_BatchNotice{BatchNotice: encodeNotification(notification)}})
}

// Find asks a hub for a batch that this node does not know.
func (p *peerClient) Find(ctx context.Context, id string) (batch.Notification, bool) {
	name, ok := rendez.First(id, p.Keepers())
	if !ok || p.IsHub() {
		return batch.Notification{}, false
	}
	frame, err := p.callHost(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchFind{BatchFind: &wirepb.BatchFind{Id: id}}})
	if err != nil {
		event.BatchKeeperUnreachable.Log(p.logger, zap.String("batch", id), zap.String("keeper", name), zap.Error(err))
		return batch.Notification{}, false
	}
	found := decodeNotification(frame.GetBatchNotice())
	return found, found.Head.ID != ""
}

// FindAt asks a named host for a batch.
func (p *peerClient) FindAt(ctx context.Context, name, id string) (batch.Notification, error) {
	frame, err := p.callHost(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchFind{BatchFind: &wirepb.BatchFind{Id: id}}})
	if err != nil {
		return batch.Notification{}, err
	}
	return decodeNotification(frame.GetBatchNotice()), nil
}

// notifyLost notifies the hubs of a host that does not answer, and the hosts that
// belong to this one if it may own batches. Of another host they learn by their next
// hello: when hundreds of hosts start again at the same time, many seem dead for a
// moment.
func (p *peerClient) notifyLost(h roster.Host) {
	call := &wirepb.Frame{Body: &wirepb.Frame_HostLost{HostLost: &wirepb.HostLost{Name: h.Name, Incarnation: h.Incarnation}}}
	p.send(p.Hubs(), call)
	if p.CouldBeHub(h) {
		p.passOn(call)
	}
}

// notifyLeaving passes it on to the hosts that belong to this one that a host is
// leaving. The leaving host itself notifies the hubs.
func (p *peerClient) notifyLeaving(h roster.Host) {
	p.passOn(&wirepb.Frame{Body: &wirepb.Frame_HostLost{HostLost: &wirepb.HostLost{
		Name: h.Name, Incarnation: h.Incarnation, Leaving: true,
	}}})
}

// Broadcast sends changes that were read from the store to all peers, to those that
// are not hubs through the hubs. A host that is not a hub reads for itself only.
func (p *peerClient) Broadcast(updates []mirror.Update) {
	if !p.IsHub() {
		return
	}
	p.sendUpdates(p.Hubs(), updates)
	p.updates.add(updates)
}

// sendUpdates sends changes of the store to the hosts, with the time at which the store was
// read by the clock of each.
func (p *peerClient) sendUpdates(hosts []roster.Host, updates []mirror.Update) {
	var pending sync.WaitGroup
	for _, h := range hosts {
		pending.Go(func() { p.sendUpdatesTo(h, updates) })
	}
}

// sendUpdatesTo sends changes to a host. If the host's clock becomes known by the answer only,
// a second message tells it the time: without that, a host that has just started would list
// for itself before the next update comes.
func (p *peerClient) sendUpdatesTo(h roster.Host, updates []mirror.Update) {
	send := func(updates []mirror.Update) (timed bool) {
		ahead, known := p.clocks.ahead(h)
		call := &wirepb.Frame{Body: &wirepb.Frame_StoreNews{StoreNews: encodeUpdates(updates, ahead, known)}}
		p.clocks.record(h, p.notify(h, call).GetBatchPage().GetClockMs())
		return known
	}
	if send(updates) {
		return
	}
	var times []mirror.Update
	for _, update := range updates {
		if update.ReadAt > 0 {
			update.Changes = nil
			times = append(times, update)
		}
	}
	if _, known := p.clocks.ahead(h); known && len(times) > 0 {
		send(times)
	}
}

// passOn sends a message of a peer to the hosts that belong to this one.
func (p *peerClient) passOn(call *wirepb.Frame) { p.send(p.Children(), call) }

// Rank returns the node's position among those that may own batches, and how
// many there are. A node that isn't one of them, or whose roster hasn't discovered
// its peers yet, ranks last.
func (p *peerClient) Rank() (rank, nodes int) {
	names := p.Keepers()
	self := p.Self().Name
	if !p.Discovered() {
		return len(names), max(1, len(names))
	}
	for i, name := range rendez.Top(leaderKey, names, len(names)) {
		if name == self {
			return i, len(names)
		}
	}
	return len(names), max(1, len(names))
}

// SendsOrders reports whether this node is the one that sends orders to endpoints: of the
// nodes that may own batches and that reach most endpoints, the first one.
func (p *peerClient) SendsOrders() bool {
	if !p.Discovered() {
		return false
	}
	names, fewest := p.Keepers(), uint32(math.MaxUint32)
	for _, name := range names {
		fewest = min(fewest, p.Unreached(name))
	}
	names = slices.DeleteFunc(names, func(name string) bool { return p.Unreached(name) > fewest })
	first, ok := rendez.First(leaderKey, names)
	return ok && first == p.Self().Name
}

// send sends a frame to the hosts. The returned group is done once each host has answered
// or failed.
func (p *peerClient) send(hosts []roster.Host, call *wirepb.Frame) *sync.WaitGroup {
	var pending sync.WaitGroup
	for _, h := range hosts {
		pending.Go(func() { p.notify(h, call) })
	}
	return &pending
}

// notify sends a frame to a host, and retries a failed call once within notifyTimeout. The
// result is nil if the host has not answered.
func (p *peerClient) notify(h roster.Host, call *wirepb.Frame) *wirepb.Frame {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	reply, err := p.pool.DoTwice(ctx, h.PeerAddress, call)
	if err != nil {
		event.HostNotNotified.Log(p.logger, zap.String("host", h.Name), zap.Error(err))
		return nil
	}
	return reply
}

// ReadAt reads results of a batch at the node that owns it.
func (p *peerClient) ReadAt(ctx context.Context, name, id string, after int, wait time.Duration) (batch.Page, error) {
	frame, err := p.callHost(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchRead{BatchRead: &wirepb.BatchRead{
		Id: id, After: int64(after), WaitMs: wait.Milliseconds(),
	}}})
	if err != nil {
		return batch.Page{}, err
	}
	reply := frame.GetBatchPage()
	if !reply.GetKept() {
		return batch.Page{}, batch.ErrNotOwner
	}
	return decodePage(reply), nil
}

// BodyAt reads an item's body at the node that owns the batch.
func (p *peerClient) BodyAt(ctx context.Context, name, id, item string) ([]byte, error) {
	frame, err := p.callHost(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchBody{BatchBody: &wirepb.BatchBody{Id: id, Item: item}}})
	if err != nil {
		return nil, err
	}
	reply := frame.GetBatchBodyReply()
	switch {
	case !reply.GetKept():
		return nil, batch.ErrNotOwner
	case !reply.GetFound():
		return nil, batch.ErrUnknown
	default:
		return reply.GetBody(), nil
	}
}

// Offer sends a batch to the node that is to own it.
func (p *peerClient) Offer(ctx context.Context, name string, s batch.Submission) error {
	frame, err := p.callHost(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchOffer{BatchOffer: &wirepb.BatchOffer{
		Id: s.ID, Host: s.Host, Path: s.Path, Raw: s.Raw,
	}}})
	if err == nil && !frame.GetBatchPage().GetKept() {
		return batch.ErrNotOwner
	}
	return err
}

// SendPartials sends partial outputs to the node that would take over their batch.
func (p *peerClient) SendPartials(ctx context.Context, name string, partials []batch.PartialOutput) error {
	frame, err := p.callHost(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchRests{BatchRests: encodePartials(partials)}})
	if err == nil && !frame.GetBatchPage().GetKept() {
		return batch.ErrNotOwner
	}
	return err
}

// EndAt ends a batch at the node that owns it.
func (p *peerClient) EndAt(ctx context.Context, name string, head batch.Head) error {
	notification := encodeNotification(batch.Notification{Head: head, Ended: true})
	_, err := p.callHost(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_BatchNotice{BatchNotice: notification}})
	return err
}

func (p *peerClient) callHost(ctx context.Context, name string, call *wirepb.Frame) (*wirepb.Frame, error) {
	h, ok := p.Host(name)
	if !ok {
		return nil, batch.ErrNotOwner
	}
	return p.pool.Do(ctx, h.PeerAddress, call)
}

// peerFallback makes a store call through a random hub. Status 0 means that it
// got no answer. The error wraps object.ErrRefused if no hub got the call.
func (p *peerClient) peerFallback(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	hosts := p.Hubs()
	if len(hosts) == 0 {
		return 0, nil, fmt.Errorf("%w: there is no hub", object.ErrRefused)
	}
	h := hosts[rand.IntN(len(hosts))]
	limit := peerFallbackTimeout
	if deadline, ok := ctx.Deadline(); ok {
		limit = time.Until(deadline)
	}
	frame, err := p.pool.Do(ctx, h.PeerAddress, &wirepb.Frame{Body: &wirepb.Frame_StoreCall{StoreCall: &wirepb.StoreCall{
		Method: method, Target: target, Body: body, LimitMs: limit.Milliseconds(),
	}}})
	var connecting *net.OpError
	if errors.As(err, &connecting) && connecting.Op == "dial" {
		return 0, nil, fmt.Errorf("%w: %w", object.ErrRefused, err)
	}
	if err != nil {
		return 0, nil, err
	}
	reply := frame.GetStoreReply()
	return int(reply.GetStatus()), reply.GetBody(), nil
}

// serve answers one call of a peer.
func (e *Edge) serve(ctx context.Context, call *wirepb.Frame, stream *peers.Stream) {
	var reply *wirepb.Frame
	switch body := call.GetBody().(type) {
	case *wirepb.Frame_DetourCall:
		e.detours.Serve(ctx, body.DetourCall, stream)
		return
	case *wirepb.Frame_Hello:
		reply = &wirepb.Frame{Body: &wirepb.Frame_HelloReply{HelloReply: e.roster.Serve(body.Hello)}}
	case *wirepb.Frame_HostLost:
		lost := body.HostLost
		h, _ := e.roster.Host(lost.GetName())
		if lost.GetLeaving() {
			e.roster.RecordLeaving(lost.GetName(), lost.GetIncarnation())
		} else if e.roster.CheckHost(ctx, lost.GetName(), lost.GetIncarnation()) && e.roster.CouldBeHub(h) {
			e.peers.passOn(call)
		}
		reply = &wirepb.Frame{Body: &wirepb.Frame_HelloReply{HelloReply: &wirepb.HelloReply{}}}
	case *wirepb.Frame_Suspects:
		e.suspects.Merge(body.Suspects.GetList())
		e.peers.passOn(call)
		reply = &wirepb.Frame{Body: &wirepb.Frame_HelloReply{HelloReply: &wirepb.HelloReply{}}}
	case *wirepb.Frame_LimitCall:
		reply = &wirepb.Frame{Body: &wirepb.Frame_LimitReply{LimitReply: e.limits.serve(body.LimitCall)}}
		if isReport(body.LimitCall) {
			e.peers.passOn(call)
		}
	case *wirepb.Frame_EndpointLeaving:
		leaving := body.EndpointLeaving
		e.fleet.RecordLeaving(fleet.NewTarget(leaving.GetEndpoint(), "", "").WithStart(leaving.GetStartedMs()), originPeer)
		e.peers.passOn(call)
		reply = &wirepb.Frame{Body: &wirepb.Frame_HelloReply{HelloReply: &wirepb.HelloReply{}}}
	case *wirepb.Frame_OriginCall:
		reply = &wirepb.Frame{Body: &wirepb.Frame_OriginReply{OriginReply: e.origins.serve(body.OriginCall)}}
	case *wirepb.Frame_UsageCall:
		usageReply := &wirepb.UsageReply{}
		switch {
		case len(body.UsageCall.GetDemand()) == 0:
			usageReply = e.serveUsage(body.UsageCall)
		case !e.scaling.serve(body.UsageCall):
			if err := stream.Refuse(&wirepb.Problem{Text: "another host decides on endpoints", NotRun: true}); err != nil {
				e.logger.Debug("rejecting a call of a peer", zap.Error(err))
			}
			return
		}
		reply = &wirepb.Frame{Body: &wirepb.Frame_UsageReply{UsageReply: usageReply}}
	case *wirepb.Frame_BatchNotice:
		e.keeper.Apply(decodeNotification(body.BatchNotice))
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchPage{BatchPage: &wirepb.BatchPage{}}}
	case *wirepb.Frame_StoreNews:
		updates := decodeUpdates(body.StoreNews)
		e.mirror.Apply(updates)
		if e.roster.IsHub() {
			e.peers.updates.add(updates)
		}
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchPage{BatchPage: &wirepb.BatchPage{ClockMs: waits.Boottime().Milliseconds()}}}
	case *wirepb.Frame_BatchRests:
		owned := e.keeper.StoreBackup(decodePartials(body.BatchRests))
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchPage{BatchPage: &wirepb.BatchPage{Kept: owned}}}
	case *wirepb.Frame_BatchOffer:
		offer := body.BatchOffer
		owned := e.keeper.HoldOffer(offer.GetId(), offer.GetHost(), offer.GetPath(), offer.GetRaw())
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchPage{BatchPage: &wirepb.BatchPage{Kept: owned}}}
	case *wirepb.Frame_BatchFind:
		// An unknown batch has no ID.
		found, _ := e.keeper.Find(body.BatchFind.GetId())
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchNotice{BatchNotice: encodeNotification(found)}}
	case *wirepb.Frame_BatchRead:
		page, release := e.serveRead(ctx, body.BatchRead)
		defer release()
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchPage{BatchPage: page}}
	case *wirepb.Frame_BatchBody:
		found, release := e.serveBody(ctx, body.BatchBody)
		defer release()
		reply = &wirepb.Frame{Body: &wirepb.Frame_BatchBodyReply{BatchBodyReply: found}}
	case *wirepb.Frame_StoreCall:
		reply = &wirepb.Frame{Body: &wirepb.Frame_StoreReply{StoreReply: e.serveStore(ctx, body.StoreCall)}}
	default:
		if err := stream.Refuse(&wirepb.Problem{Text: "unknown kind of call", NotRun: true}); err != nil {
			e.logger.Debug("rejecting a call of a peer", zap.Error(err))
		}
		return
	}
	if err := stream.Send(reply); err != nil {
		e.logger.Debug("answering a call of a peer", zap.Error(err))
	}
}

// serveRead returns results to a peer. The reply takes memory until the returned function is called.
func (e *Edge) serveRead(ctx context.Context, read *wirepb.BatchRead) (page *wirepb.BatchPage, release func()) {
	found, err := e.keeper.ReadLocal(ctx, read.GetId(), int(read.GetAfter()), time.Duration(read.GetWaitMs())*time.Millisecond)
	if err == nil {
		release, err = e.keeper.HoldReply(ctx, found.Bytes())
	}
	if err != nil {
		return &wirepb.BatchPage{}, func() {}
	}
	return encodePage(found), release
}

// serveBody returns an item's body to a peer. The reply takes memory until the returned function is called.
func (e *Edge) serveBody(ctx context.Context, call *wirepb.BatchBody) (reply *wirepb.BatchBodyReply, release func()) {
	release, err := e.keeper.HoldBodyReply(ctx, call.GetId())
	if err != nil {
		return &wirepb.BatchBodyReply{}, func() {}
	}
	body, err := e.keeper.BodyLocal(ctx, call.GetId(), call.GetItem())
	switch {
	case err == nil:
		return &wirepb.BatchBodyReply{Kept: true, Found: true, Body: body}, release
	case errors.Is(err, batch.ErrUnknown):
		return &wirepb.BatchBodyReply{Kept: true}, release
	default:
		return &wirepb.BatchBodyReply{}, release
	}
}

func (e *Edge) serveStore(ctx context.Context, call *wirepb.StoreCall) *wirepb.StoreReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetLimitMs())*time.Millisecond)
	defer cancel()
	var body []byte
	if len(call.GetBody()) > 0 {
		body = call.GetBody()
	}
	status, reply, err := e.store.CallDirect(ctx, call.GetMethod(), call.GetTarget(), body)
	if err != nil {
		return &wirepb.StoreReply{}
	}
	return &wirepb.StoreReply{Status: uint32(status), Body: reply}
}
