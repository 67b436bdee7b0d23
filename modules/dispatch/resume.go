package dispatch

import (
	"context"

	"google.golang.org/grpc"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/rules"
)

// Resume continues the stream of a request at an offset. The request may have been
// sent to another router: the agent returns the original request, and newSink is
// then called with its completion. If the agent does not know the request, newSink
// is not called.
func (d *Dispatcher) Resume(ctx context.Context, id string, team *rules.Team, endpoint string, offset int,
	newSink func(*arbutuspb.Completion) TokenSink) Result {
	streamGone := Result{Finish: attempt.Finish{Outcome: attempt.OutcomeUnknown, Code: attempt.CodeUpstreamFailed, Reason: "stream is gone"}}
	agent, ok := d.gossip.AgentByEndpoint(endpoint)
	if !ok {
		return streamGone
	}
	conn, err := d.connPool.Conn(agent.GRPCAddress)
	if err != nil {
		return streamGone
	}
	x := d.newExecution(ctx, &Request{ID: id, Team: team, Kind: rules.KindModel}, nil)
	defer x.cancel()
	stream, err := arbutuspb.NewAgentClient(conn).Attach(x.ctx, &arbutuspb.AttachRequest{RequestId: id, Team: team.Name, Offset: -1, Router: d.node.ID})
	if err != nil {
		return streamGone
	}
	firstEvent, err := stream.Recv()
	if err != nil || firstEvent.GetAdmitted().GetRequest().GetCompletion() == nil {
		return streamGone
	}
	original := firstEvent.GetAdmitted().Request
	x.setOriginalRequest(original, newSink(original.Completion))
	startAttempt := attempt.StartAttempt{AttemptID: original.AttemptId, Endpoint: endpoint, AgentIncarnation: agent.Incarnation, ResumeOffset: offset}
	x.currentAttempt, x.resumeOffset = startAttempt, offset
	x.stateMachine = attempt.Attach(attemptConfig, d.newAttemptRequest(x.req), d.now(), startAttempt)
	go x.receiveEvents(startAttempt, agent.GRPCAddress, func(context.Context, arbutuspb.AgentClient, ...grpc.CallOption) (eventStream, error) {
		return stream, nil
	})
	return x.run(nil)
}

// setOriginalRequest sets the fields of a resumed request from the original request
// that the agent returned.
func (x *execution) setOriginalRequest(original *arbutuspb.RunRequest, sink TokenSink) {
	x.sink = sink
	x.req.Target = original.Completion.Model
	x.req.Completion = original.Completion
	x.req.Fingerprint = original.Fingerprint
	x.req.AtMostOnce = original.ClaimKey != ""
	x.req.IdempotencyKey = original.ClaimKey
	x.placementRequest = x.d.newPlacementRequest(x.req)
}
