// Package status is the module "status": it shows operators this router's view of the
// deployment and why it does not use an endpoint.
package status

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/exchange"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/relay"
	"github.com/arbutusline/arbutusline/modules/upgrade"
)

// Name is the name of the module.
const Name = "status"

func init() { arbutusline.Register(func() arbutusline.Module { return &Status{} }) }

// Status implements the gRPC service RouterStatus. It has no settings.
type Status struct {
	arbutuspb.UnimplementedRouterStatusServer `json:"-"`

	node      *node.Node
	server    *grpcserver.Server
	directory *directory.Directory
	relay     *relay.Relay
	exchange  *exchange.Exchange
	upgrade   *upgrade.Upgrade
}

// ModuleName returns "status".
func (s *Status) ModuleName() string { return Name }

// Provision looks up the modules that the status is read from and registers the gRPC
// service.
func (s *Status) Provision(k *arbutusline.Kernel) error {
	var err error
	if s.node, err = arbutusline.Lookup[*node.Node](k, node.Name); err != nil {
		return err
	}
	if s.server, err = arbutusline.Lookup[*grpcserver.Server](k, grpcserver.Name); err != nil {
		return err
	}
	if s.directory, err = arbutusline.Lookup[*directory.Directory](k, directory.Name); err != nil {
		return err
	}
	if s.relay, err = arbutusline.Lookup[*relay.Relay](k, relay.Name); err != nil {
		return err
	}
	if s.exchange, err = arbutusline.Lookup[*exchange.Exchange](k, exchange.Name); err != nil {
		return err
	}
	if s.upgrade, err = arbutusline.Lookup[*upgrade.Upgrade](k, upgrade.Name); err != nil {
		return err
	}
	arbutuspb.RegisterRouterStatusServer(s.server.Registrar(), s)
	return nil
}

// Describe returns the router's current view of the deployment.
func (s *Status) Describe(context.Context, *arbutuspb.DescribeRequest) (*arbutuspb.RouterDescription, error) {
	view := s.directory.View()
	description := &arbutuspb.RouterDescription{
		Name: s.node.ID, Zone: s.node.Zone, Address: s.server.Address(),
		StoreLost: s.directory.StoreUnreachable(), Weights: latestWeightsVersions(view), Lease: s.upgrade.Lease(), Peers: s.exchange.Peers(),
	}
	if view.Config != nil {
		description.ConfigurationVersion = view.Config.Version
	}
	for _, e := range view.EndpointsByID {
		description.Endpoints = append(description.Endpoints, s.endpointUse(e))
	}
	slices.SortFunc(description.Endpoints, func(a, b *arbutuspb.EndpointUse) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return description, nil
}

func (s *Status) endpointUse(e *fleet.Endpoint) *arbutuspb.EndpointUse {
	availability, running, pendingPrefillTokens := s.relay.EndpointStatus(e)
	return &arbutuspb.EndpointUse{
		Endpoint: e.ID, Service: e.Service, Zone: e.Zone, Address: e.Address, Weights: e.WeightsVersions,
		Use: string(availability), Running: uint32(running), Unread: uint32(pendingPrefillTokens),
	}
}

// latestWeightsVersions returns the newest published weights version of each model and
// the time since its publication.
func latestWeightsVersions(view *fleet.View) []*arbutuspb.NamedWeights {
	var out []*arbutuspb.NamedWeights
	for model, version := range view.LatestWeightsVersions {
		n := &arbutuspb.NamedWeights{Model: model, Version: version}
		for _, published := range view.PublishedWeightsVersions[model] {
			if published.Version == version {
				n.AgeMs = uint32(time.Since(published.PublishedAt).Milliseconds())
			}
		}
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b *arbutuspb.NamedWeights) int { return strings.Compare(a.Model, b.Model) })
	return out
}
