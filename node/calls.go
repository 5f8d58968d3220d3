package node

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/wirepb"
)

// serve answers one call of a peer.
func (n *Node) serve(ctx context.Context, call *wirepb.Frame, stream *peers.Stream) {
	switch body := call.GetBody().(type) {
	case *wirepb.Frame_Exchange:
		reply := n.members.ServeExchange(body.Exchange)
		_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_ExchangeReply{ExchangeReply: reply}})
	case *wirepb.Frame_Probe:
		reply := n.members.ServeProbe(ctx, body.Probe)
		_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_ProbeReply{ProbeReply: reply}})
	case *wirepb.Frame_PullConfig:
		n.servePull(body.PullConfig, stream)
	case *wirepb.Frame_PermitCall:
		n.dispatcher.Serve(ctx, body.PermitCall, stream)
	case *wirepb.Frame_PlatformCall:
		reply := n.platform.Serve(ctx, body.PlatformCall)
		_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_PlatformReply{PlatformReply: reply}})
	case *wirepb.Frame_RunGroup:
		n.peerCalls.During(func() { n.worker.Serve(ctx, body.RunGroup, stream) })
	case *wirepb.Frame_StepCall:
		n.peerCalls.During(func() { n.entry.ServeStep(ctx, body.StepCall, stream) })
	default:
		_ = stream.Refuse(&wirepb.Problem{Text: "unknown kind of call", NotRun: true})
	}
}

func (n *Node) servePull(pull *wirepb.PullConfig, stream *peers.Stream) {
	body, ok := n.config.ServePull(pull)
	if !ok {
		_ = stream.Refuse(&wirepb.Problem{Text: "this node lacks that configuration too", NotRun: true})
		return
	}
	_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_ConfigBody{ConfigBody: body}})
}

// peerFallback makes a platform call through a random peer, in another failure
// domain if there is one.
func (n *Node) peerFallback(ctx context.Context, call *wirepb.PlatformCall) (*wirepb.PlatformReply, error) {
	var candidates, remote []member.Node
	for _, candidate := range n.members.View().Alive() {
		if candidate.Name() == n.settings.Name() {
			continue
		}
		candidates = append(candidates, candidate)
		if candidate.Domain() != n.settings.Domain() {
			remote = append(remote, candidate)
		}
	}
	if len(remote) > 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		return nil, errors.New("no other node is alive")
	}
	peer := candidates[rand.IntN(len(candidates))]
	frame := &wirepb.Frame{Body: &wirepb.Frame_PlatformCall{PlatformCall: call}}
	answer, err := n.pool.Do(ctx, peer.PeerAddress(), frame)
	if err != nil {
		return nil, err
	}
	return answer.GetPlatformReply(), nil
}
