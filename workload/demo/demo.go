// Package demo generates the input files for a demo of one deployment on loopback
// addresses: the settings of the stand-ins (simulated engines, services and stores),
// the rules, and the settings of each router and agent.
package demo

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/workload"
)

// ErrInvalidOptions is returned for options that are out of range.
var ErrInvalidOptions = errors.New("invalid demo options")

// Options holds the parameters of the generated files. Zero values mean defaults.
type Options struct {
	Deployment workload.Deployment
	// BasePort is the first of the portCount ports of the demo. Default 21000.
	BasePort int
	// RoutersPerZone is the number of routers in each zone. Default 1.
	RoutersPerZone int
	// Engines and ServiceInstances default to the numbers of the deployment.
	Engines, ServiceInstances int
}

// Port offsets from the base port. When there are several processes of a kind, the
// offset is that of the first one, and the others use the ports that follow.
const (
	portOffsetStandInAdmin    = 0
	portOffsetStore           = 1
	portOffsetWeights         = 2
	portOffsetKVStore         = 3
	portOffsetEngines         = 100
	portOffsetServices        = 200
	portOffsetAgentPeer       = 300
	portOffsetAgentAdmin      = 400
	portOffsetRouterCallerAPI = 500
	portOffsetRouterPeer      = 600
	portOffsetRouterAdmin     = 700
	// portCount is the number of ports reserved for a demo.
	portCount = 800
	// maxPerKind bounds the number of routers, and the number of endpoints.
	maxPerKind = 100
)

const (
	defaultBasePort = 21000
	loopbackIP      = "127.0.0.1"
	// maxSeedRouters bounds the number of routers that are gossip seeds.
	maxSeedRouters = 3
)

// Endpoint is an engine or service instance together with its agent.
type Endpoint struct {
	Name, Host, Zone string
	// PlainService is false for an engine.
	PlainService bool
	// Half is the half of the organisation that owns the host once the split rules
	// apply.
	Half string
	// index is the zero-based number among all endpoints.
	index int
	port  int
}

type router struct {
	name, zone string
	index      int
}

// layout holds the routers and endpoints of a demo with their names and ports.
type layout struct {
	Options
	endpoints []Endpoint
	routers   []router
}

func newLayout(opts Options) (*layout, error) {
	setDefault(&opts.BasePort, defaultBasePort)
	setDefault(&opts.RoutersPerZone, 1)
	setDefault(&opts.Engines, opts.Deployment.Engines)
	setDefault(&opts.ServiceInstances, opts.Deployment.ServiceInstances)
	l := &layout{Options: opts}
	switch {
	case opts.BasePort < 1024 || opts.BasePort+portCount > 32768:
		// From 32768 on, Linux assigns ports to outgoing connections by default.
		return nil, errors.Wrapf(ErrInvalidOptions, "base port %d, expected 1024 to %d", opts.BasePort, 32768-portCount)
	case opts.Engines < 1 || opts.ServiceInstances < 1 || opts.Engines+opts.ServiceInstances > maxPerKind:
		return nil, errors.Wrapf(ErrInvalidOptions, "%d engines and %d service instances, expected at least 1 of each and at most %d together", opts.Engines, opts.ServiceInstances, maxPerKind)
	case opts.RoutersPerZone < 1 || opts.RoutersPerZone*len(opts.Deployment.Zones) > maxPerKind:
		return nil, errors.Wrapf(ErrInvalidOptions, "%d routers per zone, expected 1 to %d", opts.RoutersPerZone, maxPerKind/len(opts.Deployment.Zones))
	}
	l.addEndpoints()
	for i := range opts.RoutersPerZone * len(opts.Deployment.Zones) {
		zone := opts.Deployment.Zones[i%len(opts.Deployment.Zones)]
		l.routers = append(l.routers, router{fmt.Sprintf("router-%s-%d", zone, i/len(opts.Deployment.Zones)+1), zone, i})
	}
	return l, nil
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func (l *layout) addEndpoints() {
	d := l.Deployment
	halves := l.halfNames()
	for i := range l.Engines + l.ServiceInstances {
		e := Endpoint{
			Name: fmt.Sprintf("%s-%02d", d.EngineNamePrefix, i+1), Host: fmt.Sprintf("h-%02d", i+1),
			Zone: d.Zones[i%len(d.Zones)], index: i, port: l.BasePort + portOffsetEngines + i,
			// Both halves get engine hosts in each zone.
			Half: halves[i/len(d.Zones)%len(halves)],
		}
		if n := i - l.Engines; n >= 0 {
			e.PlainService = true
			e.Name = fmt.Sprintf("%s-%02d", d.ServiceNamePrefix, n+1)
			e.Zone = d.Zones[n%len(d.Zones)]
			e.port = l.BasePort + portOffsetServices + n
			e.Half = halves[n%len(halves)]
		}
		l.endpoints = append(l.endpoints, e)
	}
}

func (l *layout) halfNames() []string {
	seen := map[string]bool{}
	var halves []string
	for _, t := range l.Deployment.Teams {
		if !seen[t.Half] {
			seen[t.Half] = true
			halves = append(halves, t.Half)
		}
	}
	sort.Strings(halves)
	return halves
}

func (l *layout) address(port int) string { return fmt.Sprintf("%s:%d", loopbackIP, port) }

func (l *layout) url(portOffset int) string { return "http://" + l.address(l.BasePort+portOffset) }

// Files returns the content of each file, keyed by its path below the demo folder:
//
//	standin.json            settings of arbutus-standin
//	site.rules              rules before the organisation is split
//	split.rules             the same with halves and owners of hosts
//	settings/router-*.json  settings of each router
//	settings/agent-*.json   settings of each endpoint's agent
//	demo.env                addresses as shell variables
//
// It returns ErrInvalidOptions for options that are out of range.
func Files(opts Options) (map[string][]byte, error) {
	l, err := newLayout(opts)
	if err != nil {
		return nil, err
	}
	files := map[string][]byte{
		"standin.json": encodeSettings("Stand-ins of "+l.Deployment.Title, l.standInSettings()),
		"site.rules":   []byte(l.rulesFile(false)),
		"split.rules":  []byte(l.rulesFile(true)),
		"demo.env":     []byte(l.shellVariables()),
	}
	for _, r := range l.routers {
		files["settings/"+r.name+".json"] = encodeSettings("Router in "+r.zone, l.routerSettings(r))
	}
	for _, e := range l.endpoints {
		files["settings/agent-"+e.Name+".json"] = encodeSettings("Agent of "+e.Name, l.agentSettings(e))
	}
	return files, nil
}

// jsonObject is a JSON object in a settings file.
type jsonObject map[string]any

// encodeSettings returns v as indented JSON below a comment line.
func encodeSettings(comment string, v any) []byte {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		// Values of strings, numbers and booleans can always be encoded.
		panic(err)
	}
	return []byte("// " + comment + ".\n" + string(text) + "\n")
}

// shellVariables returns the content of demo.env.
func (l *layout) shellVariables() string {
	var callers, admins []string
	for _, r := range l.routers {
		callers = append(callers, l.url(portOffsetRouterCallerAPI+r.index))
		admins = append(admins, l.url(portOffsetRouterAdmin+r.index))
	}
	team := l.Deployment.Teams[0].Name
	lines := []string{
		"# Addresses of the demo of " + l.Deployment.Title + ".",
		"DEPLOYMENT=" + l.Deployment.Name,
		"ROUTERS=" + strings.Join(callers, ","),
		"ROUTER_ADMINS=" + strings.Join(admins, ","),
		"ROUTER_GRPC=" + l.address(l.BasePort+portOffsetRouterPeer),
		"STORE=" + l.url(portOffsetStore),
		"STANDIN_ADMIN=" + l.url(portOffsetStandInAdmin),
		"TEAM=" + team,
		"TOKEN=" + workload.BearerToken(team),
		"MODEL=" + l.Deployment.Model,
		"SERVICE=" + l.Deployment.Service,
		"ONCE_PATH=" + l.Deployment.NonIdempotentPath,
	}
	return strings.Join(lines, "\n") + "\n"
}
