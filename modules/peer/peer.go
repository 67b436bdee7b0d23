// Package peer is the module "peer": the gRPC service Peer, through which routers,
// agents and operators read the state of a process.
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

// RulesSource is implemented by the module "rules".
type RulesSource interface {
	Current() *rules.View
	// FetchRules returns the deltas from the caller's version or the whole text.
	FetchRules(ctx context.Context, req *arbutuspb.FetchRulesRequest) (*arbutuspb.RulesSnapshot, error)
}

// Explainer is implemented by the module "trace".
type Explainer interface {
	Explain(id string) *arbutuspb.ExplainResponse
}

// MemberLister is implemented by the module "gossip".
type MemberLister interface {
	AllMembers() []*arbutuspb.Member
}

// LoadReporter is implemented by the module "runner" of an agent.
type LoadReporter interface {
	LoadReport() *arbutuspb.LoadReport
}

// ClaimServer is implemented by the module "ledger" of a router.
type ClaimServer interface {
	HandleForwarded(ctx context.Context, req *arbutuspb.ClaimRequest) *arbutuspb.ClaimResponse
}

// Peer implements the gRPC service Peer.
type Peer struct {
	arbutuspb.UnimplementedPeerServer

	node         *node.Node
	server       *grpcserver.Server
	rules        RulesSource
	explainer    Explainer
	memberLister MemberLister
	loadReporter LoadReporter
	claimServer  ClaimServer
}

// ModuleName returns "peer".
func (p *Peer) ModuleName() string { return Name }

// Provision looks up the modules that process the calls. Optional modules that the
// process does not run stay nil.
func (p *Peer) Provision(k *arbutusline.Kernel) error {
	var err error
	if p.server, err = arbutusline.Lookup[*grpcserver.Server](k, grpcserver.Name); err != nil {
		return err
	}
	if p.node, err = arbutusline.Lookup[*node.Node](k, node.Name); err != nil {
		return err
	}
	if p.rules, err = arbutusline.Lookup[RulesSource](k, "rules"); err != nil {
		return err
	}
	p.explainer, _ = arbutusline.Lookup[Explainer](k, "trace")
	p.memberLister, _ = arbutusline.Lookup[MemberLister](k, "gossip")
	p.claimServer, _ = arbutusline.Lookup[ClaimServer](k, "ledger")
	p.loadReporter, _ = arbutusline.Lookup[LoadReporter](k, "runner")
	arbutuspb.RegisterPeerServer(p.server.Registrar(), p)
	return nil
}

// FetchRules returns the current rules, as deltas from the caller's version if possible.
func (p *Peer) FetchRules(ctx context.Context, req *arbutuspb.FetchRulesRequest) (*arbutuspb.RulesSnapshot, error) {
	return p.rules.FetchRules(ctx, req)
}

// Status returns the state of this process and, if requested, the members that it
// knows.
func (p *Peer) Status(_ context.Context, req *arbutuspb.StatusRequest) (*arbutuspb.StatusResponse, error) {
	version := p.rules.Current().Version
	resp := &arbutuspb.StatusResponse{
		RulesVersion: version,
		Self: &arbutuspb.Member{
			Name: p.node.ID, Role: p.node.Role, Zone: p.node.Zone, Address: p.server.Address(),
			Incarnation: p.node.Incarnation(), State: "alive", RulesVersion: version,
		},
	}
	if p.loadReporter != nil {
		resp.Load = p.loadReporter.LoadReport()
	}
	if req.Members && p.memberLister != nil {
		resp.Members = p.memberLister.AllMembers()
	}
	return resp, nil
}

// Explain returns the decisions that this router made about a request. It ignores the
// "@ENDPOINT" suffix of the request ID.
func (p *Peer) Explain(_ context.Context, req *arbutuspb.ExplainRequest) (*arbutuspb.ExplainResponse, error) {
	if p.explainer == nil {
		return nil, status.Error(codes.Unimplemented, "this process keeps no request records")
	}
	id, _, _ := strings.Cut(req.RequestId, "@")
	return p.explainer.Explain(id), nil
}

// Claim executes a ledger operation that another router forwards.
func (p *Peer) Claim(ctx context.Context, req *arbutuspb.ClaimRequest) (*arbutuspb.ClaimResponse, error) {
	if p.claimServer == nil {
		return nil, status.Error(codes.Unimplemented, "this process keeps no ledger")
	}
	return p.claimServer.HandleForwarded(ctx, req), nil
}
