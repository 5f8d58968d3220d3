package node

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/wirepb"
)

// serve answers one call of another node.
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
		n.desk.Serve(ctx, body.PermitCall, stream)
	case *wirepb.Frame_PlatformCall:
		reply := n.platform.Serve(ctx, body.PlatformCall)
		_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_PlatformReply{PlatformReply: reply}})
	case *wirepb.Frame_RunGroup:
		n.calls.During(func() { n.worker.Serve(ctx, body.RunGroup, stream) })
	case *wirepb.Frame_StepCall:
		n.calls.During(func() { n.entry.ServeStep(ctx, body.StepCall, stream) })
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

// detour asks another node, one of those in other failure domains if it can, to
// call the platform for this one.
func (n *Node) detour(ctx context.Context, call *wirepb.PlatformCall) (*wirepb.PlatformReply, error) {
	var others, far []member.Node
	for _, m := range n.members.View().Alive() {
		if m.Name() == n.settings.Name() {
			continue
		}
		others = append(others, m)
		if m.Domain() != n.settings.Domain() {
			far = append(far, m)
		}
	}
	if len(far) > 0 {
		others = far
	}
	if len(others) == 0 {
		return nil, errors.New("no other node is alive")
	}
	helper := others[rand.IntN(len(others))]
	frame := &wirepb.Frame{Body: &wirepb.Frame_PlatformCall{PlatformCall: call}}
	answer, err := n.pool.Do(ctx, helper.PeerAddress(), frame)
	if err != nil {
		return nil, err
	}
	return answer.GetPlatformReply(), nil
}
