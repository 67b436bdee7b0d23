package demo

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/callerapi"
	"github.com/arbutusline/arbutusline/modules/engine"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
	"github.com/arbutusline/arbutusline/modules/logging"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/objectstore"
	"github.com/arbutusline/arbutusline/rules"
	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/fleet"
	"github.com/arbutusline/arbutusline/workload"
)

// Guards against demo files that the programs reject, and against rules that give a
// team no reachable endpoint, before and after the split.
func TestFilesAreUsable(t *testing.T) {
	for _, d := range []workload.Deployment{workload.Kaayal(), workload.PichaYetu()} {
		files, err := Files(Options{Deployment: d})
		assert.NilError(t, err)
		f, err := settings.Parse(files["standin.json"])
		assert.NilError(t, err)
		cfg, err := fleet.Decode(f)
		assert.NilError(t, err)
		assert.Equal(t, len(cfg.Engines), d.Engines)
		assert.Equal(t, len(cfg.Services), d.ServiceInstances)
		_, err = fleet.New(cfg)
		assert.NilError(t, err)

		for _, name := range []string{"site.rules", "split.rules"} {
			view, err := rules.Compile(name, 1, string(files[name]))
			assert.NilError(t, err)
			checkTeamAccess(t, d, view)
		}
		addresses := map[string]string{}
		for name, text := range files {
			if strings.HasPrefix(name, "settings/") {
				checkSettings(t, name, text, addresses)
			}
		}
		assert.Equal(t, len(files), 4+len(d.Zones)+d.Engines+d.ServiceInstances)
	}
}

func checkTeamAccess(t *testing.T, d workload.Deployment, view *rules.View) {
	t.Helper()
	for _, team := range d.Teams {
		authenticated, ok := view.Authenticate(workload.BearerToken(team.Name))
		assert.Assert(t, ok)
		assert.Equal(t, authenticated.Name, team.Name)
		for kind, target := range map[rules.Kind]string{rules.KindModel: d.Model, rules.KindService: d.Service} {
			reachable := 0
			for _, e := range view.EndpointsOf(kind, target) {
				if view.MayUse(authenticated, e) {
					reachable++
				}
			}
			assert.Assert(t, reachable > 0, "%s reaches no endpoint of %s", team.Name, target)
		}
	}
	assert.Assert(t, view.AtMostOnce(rules.KindService, d.Service, "POST", d.NonIdempotentPath))
}

// checkSettings decodes each section as its module does, which rejects unknown
// fields, and checks that no address in addresses is used twice.
func checkSettings(t *testing.T, name string, text []byte, addresses map[string]string) {
	t.Helper()
	f, err := settings.Parse(text)
	assert.NilError(t, err)
	var (
		log       logging.Logging
		n         node.Node
		adm       admin.Admin
		store     objectstore.Client
		grpc      grpcserver.Server
		callerAPI callerapi.API
		eng       engine.Engine
	)
	g := gossip.NewModule()
	sections := map[string]any{
		logging.Name: &log, node.Name: &n, admin.Name: &adm, objectstore.Name: &store,
		grpcserver.Name: &grpc, gossip.Name: g, callerapi.Name: &callerAPI, engine.Name: &eng,
	}
	names := []string{}
	for section, dst := range sections {
		assert.NilError(t, f.Decode(section, dst), name)
		names = append(names, section)
	}
	assert.NilError(t, f.RejectUnknownModules(names))
	assert.NilError(t, n.Validate())
	assert.NilError(t, g.Validate())
	assert.Equal(t, g.Listen, grpc.Listen)
	for _, a := range []string{adm.Listen, grpc.Listen, callerAPI.Listen, strings.TrimPrefix(eng.URL, "http://")} {
		if a != "" {
			assert.Equal(t, addresses[a], "", "%s of %s", a, name)
			addresses[a] = name
		}
	}
}

// Guards against accepting options that give overlapping or unusable ports.
func TestOptionsAreBounded(t *testing.T) {
	for _, o := range []Options{{BasePort: 80}, {BasePort: 32700}, {Engines: 101}, {RoutersPerZone: 26}, {Engines: -1}} {
		o.Deployment = workload.Kaayal()
		_, err := Files(o)
		assert.ErrorIs(t, err, ErrInvalidOptions)
	}
}
