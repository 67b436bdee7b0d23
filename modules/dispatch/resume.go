package dispatch

import (
	"context"

	"google.golang.org/grpc"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/rules"
)

// Resume continues the stream of a request at an offset, at whichever router
// the caller asks. makeSink is called once the agent has given the original
// request, and not at all if it does not know it.
func (d *Dispatcher) Resume(ctx context.Context, id string, team *rules.Team, endpoint string, offset int,
	makeSink func(*arbutuspb.Completion) Sink) Result {
	gone := Result{Finish: attempt.Finish{Outcome: attempt.OutcomeUnknown, Code: attempt.CodeUpstreamFailed, Reason: "stream is gone"}}
	instance, ok := d.directory.AgentByEndpoint(endpoint)
	if !ok {
		return gone
	}
	conn, err := d.client.Conn(instance.GRPCAddress)
	if err != nil {
		return gone
	}
	x := d.newExecution(ctx, &Request{ID: id, Team: team, Kind: rules.KindModel}, nil)
	defer x.cancel()
	stream, err := arbutuspb.NewAgentClient(conn).Attach(x.ctx, &arbutuspb.AttachRequest{RequestId: id, Team: team.Name, Offset: -1, Router: d.node.ID})
	if err != nil {
		return gone
	}
	first, err := stream.Recv()
	if err != nil || first.GetAdmitted().GetRequest().GetCompletion() == nil {
		return gone
	}
	original := first.GetAdmitted().Request
	x.adopt(original, makeSink(original.Completion))
	send := attempt.StartAttempt{AttemptID: original.AttemptId, Endpoint: endpoint, AgentIncarnation: instance.Incarnation, ResumeOffset: offset}
	x.current, x.resumed = send, offset
	x.machine = attempt.Attach(attemptConfig, d.limits(x.req), d.now(), send)
	go x.receive(send, instance.GRPCAddress, func(context.Context, arbutuspb.AgentClient, ...grpc.CallOption) (eventStream, error) {
		return stream, nil
	})
	return x.run(nil)
}

// adopt takes over a request that another router began.
func (x *execution) adopt(original *arbutuspb.RunRequest, sink Sink) {
	x.sink = sink
	x.req.Target = original.Completion.Model
	x.req.Completion = original.Completion
	x.req.Fingerprint = original.Fingerprint
	x.req.Once = original.ClaimKey != ""
	x.req.Key = original.ClaimKey
	x.placing = x.d.placementOf(x.req)
}
