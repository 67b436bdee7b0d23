// Package demo generates the input files of a demo of one deployment on
// loopback addresses: settings of the stand-ins, the rules, and the settings of
// each router and agent.
package demo

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/workload"
)

// ErrInvalid means that options can't be used.
var ErrInvalidOptions = errors.New("invalid demo options")

// Options are the parameters of the files. Zero values mean defaults.
type Options struct {
	Deployment workload.Deployment
	// BasePort is the first of portSpan ports that the demo uses. Default
	// 21000.
	BasePort int
	// RoutersPerZone is the number of routers in each zone. Default 1.
	RoutersPerZone int
	// Workers and ServiceWorkers replace the numbers of the deployment.
	Engines, ServiceInstances int
}

// Offsets of the ports of a demo from its base port.
const (
	portStandInAdmin    = 0
	portStore           = 1
	portWeights         = 2
	portKVStore         = 3
	portEngines         = 100
	portServices        = 200
	portAgentPeer       = 300
	portAgentAdmin      = 400
	portRouterCallerAPI = 500
	portRouterPeer      = 600
	portRouterAdmin     = 700
	// portSpan is the number of ports of a demo; maxEach bounds the processes
	// of a kind.
	portCount  = 800
	maxPerKind = 100
)

const (
	defaultBasePort = 21000
	loopback        = "127.0.0.1"
	// seeds is the number of routers that the others join through.
	seedRouters = 3
)

// Endpoint is one engine or service instance with its agent.
type Endpoint struct {
	Name, Host, Zone string
	Service          bool
	// Half is the half that owns the host after the split.
	Half  string
	index int
	port  int
}

type router struct {
	name, zone string
	index      int
}

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
		// Higher ports may be taken by outgoing connections.
		return nil, errors.Wrapf(ErrInvalidOptions, "base port %d, expected 1024 to %d", opts.BasePort, 32768-portCount)
	case opts.Engines < 1 || opts.ServiceInstances < 1 || opts.Engines+opts.ServiceInstances > maxPerKind:
		return nil, errors.Wrapf(ErrInvalidOptions, "%d workers and %d service workers, expected 1 each and at most %d together", opts.Engines, opts.ServiceInstances, maxPerKind)
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
			Zone: d.Zones[i%len(d.Zones)], index: i, port: l.BasePort + portEngines + i,
			// Each zone has hosts of both halves.
			Half: halves[i/len(d.Zones)%len(halves)],
		}
		if n := i - l.Engines; n >= 0 {
			e.Service = true
			e.Name = fmt.Sprintf("%s-%02d", d.ServiceNamePrefix, n+1)
			e.Zone = d.Zones[n%len(d.Zones)]
			e.port = l.BasePort + portServices + n
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

func (l *layout) address(port int) string { return fmt.Sprintf("%s:%d", loopback, port) }

func (l *layout) url(offset int) string { return "http://" + l.address(l.BasePort+offset) }

// Files returns the content of each file by its path below the demo's folder:
//
//	standin.json            settings of arbutus-standin
//	site.rules              rules before the split
//	split.rules             rules with halves and owners of hosts
//	settings/router-*.json  one per router
//	settings/agent-*.json   one per endpoint
//	demo.env                addresses as shell variables
//
// It fails with ErrInvalid.
func Files(opts Options) (map[string][]byte, error) {
	s, err := newLayout(opts)
	if err != nil {
		return nil, err
	}
	files := map[string][]byte{
		"standin.json": encodeSettings("Stand-ins of "+s.Deployment.Title, s.standInSettings()),
		"site.rules":   []byte(s.rulesFile(false)),
		"split.rules":  []byte(s.rulesFile(true)),
		"demo.env":     []byte(s.shellVariables()),
	}
	for _, r := range s.routers {
		files["settings/"+r.name+".json"] = encodeSettings("Router in "+r.zone, s.routerSettings(r))
	}
	for _, e := range s.endpoints {
		files["settings/agent-"+e.Name+".json"] = encodeSettings("Agent of "+e.Name, s.agentSettings(e))
	}
	return files, nil
}

// object is one JSON object of a settings file.
type jsonObject map[string]any

func encodeSettings(comment string, v any) []byte {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		// Objects of strings and numbers always encode.
		panic(err)
	}
	return []byte("// " + comment + ".\n" + string(text) + "\n")
}

// environment lists the addresses for scripts.
func (l *layout) shellVariables() string {
	var callers, admins []string
	for _, r := range l.routers {
		callers = append(callers, l.url(portRouterCallerAPI+r.index))
		admins = append(admins, l.url(portRouterAdmin+r.index))
	}
	team := l.Deployment.Teams[0].Name
	lines := []string{
		"# Addresses of the demo of " + l.Deployment.Title + ".",
		"DEPLOYMENT=" + l.Deployment.Name,
		"ROUTERS=" + strings.Join(callers, ","),
		"ROUTER_ADMINS=" + strings.Join(admins, ","),
		"ROUTER_GRPC=" + l.address(l.BasePort+portRouterPeer),
		"STORE=" + l.url(portStore),
		"STANDIN_ADMIN=" + l.url(portStandInAdmin),
		"TEAM=" + team,
		"TOKEN=" + workload.BearerToken(team),
		"MODEL=" + l.Deployment.Model,
		"SERVICE=" + l.Deployment.Service,
		"ONCE_PATH=" + l.Deployment.NonIdempotentPath,
	}
	return strings.Join(lines, "\n") + "\n"
}
