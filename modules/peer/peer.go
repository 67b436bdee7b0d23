// Package peer is the module "peer": the gRPC service through which routers,
// agents and operators ask each other for state.
package peer

import (
	"context"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/rules"
)

// Name is the name of the module.
const Name = "peer"

func init() { arbutusline.Register(func() arbutusline.Module { return &Peer{} }) }

// Rules is the module "rules".
type Rules interface {
	Current() *rules.View
	// FetchRules answers the call of that name with deltas or the whole text.
	FetchRules(ctx context.Context, req *arbutuspb.FetchRulesRequest) (*arbutuspb.RulesSnapshot, error)
}

// Explainer is implemented by the module "trace".
type Explainer interface {
	Explain(id string) *arbutuspb.ExplainResponse
}

// Members is implemented by the module that knows the other processes.
type Members interface {
	AllMembers() []*arbutuspb.Member
}

// Loads is implemented by the module "runner" of an agent.
type Loads interface {
	LoadReport() *arbutuspb.LoadReport
}

// Claims is implemented by the module "ledger" of a router.
type Claims interface {
	HandleForwarded(ctx context.Context, req *arbutuspb.ClaimRequest) *arbutuspb.ClaimResponse
}

// Peer answers the Peer service.
type Peer struct {
	arbutuspb.UnimplementedPeerServer

	node    *node.Node
	server  *grpcserver.Server
	rules   Rules
	explain Explainer
	members Members
	loads   Loads
	claims  Claims
}

// ModuleName returns "peer".
func (p *Peer) ModuleName() string { return Name }

// Provision looks up the modules it reports on. Those that a process does not
// run stay unset.
func (p *Peer) Provision(k *arbutusline.Kernel) error {
	var err error
	if p.server, err = arbutusline.Lookup[*grpcserver.Server](k, grpcserver.Name); err != nil {
		return err
	}
	if p.node, err = arbutusline.Lookup[*node.Node](k, node.Name); err != nil {
		return err
	}
	if p.rules, err = arbutusline.Lookup[Rules](k, "rules"); err != nil {
		return err
	}
	p.explain, _ = arbutusline.Lookup[Explainer](k, "trace")
	p.members, _ = arbutusline.Lookup[Members](k, "gossip")
	p.claims, _ = arbutusline.Lookup[Claims](k, "ledger")
	p.loads, _ = arbutusline.Lookup[Loads](k, "runner")
	arbutuspb.RegisterPeerServer(p.server.Registrar(), p)
	return nil
}

// FetchRules returns what the caller lacks of the rules.
func (p *Peer) FetchRules(ctx context.Context, req *arbutuspb.FetchRulesRequest) (*arbutuspb.RulesSnapshot, error) {
	return p.rules.FetchRules(ctx, req)
}

// Status returns the state of this process and, if asked, of its members.
func (p *Peer) Status(_ context.Context, req *arbutuspb.StatusRequest) (*arbutuspb.StatusResponse, error) {
	version := p.rules.Current().Version
	resp := &arbutuspb.StatusResponse{
		RulesVersion: version,
		Self: &arbutuspb.Member{
			Name: p.node.ID, Role: p.node.Role, Zone: p.node.Zone, Address: p.server.Address(),
			Incarnation: p.node.Incarnation(), State: "alive", RulesVersion: version,
		},
	}
	if p.loads != nil {
		resp.Load = p.loads.LoadReport()
	}
	if req.Members && p.members != nil {
		resp.Members = p.members.AllMembers()
	}
	return resp, nil
}

// Explain returns what this router decided about a request.
func (p *Peer) Explain(_ context.Context, req *arbutuspb.ExplainRequest) (*arbutuspb.ExplainResponse, error) {
	if p.explain == nil {
		return nil, status.Error(codes.Unimplemented, "this process keeps no request records")
	}
	id, _, _ := strings.Cut(req.RequestId, "@")
	return p.explain.Explain(id), nil
}

// Claim carries out a ledger operation that another router forwards.
func (p *Peer) Claim(ctx context.Context, req *arbutuspb.ClaimRequest) (*arbutuspb.ClaimResponse, error) {
	if p.claims == nil {
		return nil, status.Error(codes.Unimplemented, "this process keeps no ledger")
	}
	return p.claims.HandleForwarded(ctx, req), nil
}
