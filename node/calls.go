package node

import (
	"context"

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
