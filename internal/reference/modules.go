package reference

// The modules that the page lists. A test fails when a directory below modules/
// registers a module and is not imported here.
import (
	_ "github.com/arbutusline/arbutusline/modules/admin"
	_ "github.com/arbutusline/arbutusline/modules/agentclient"
	_ "github.com/arbutusline/arbutusline/modules/cacheevents"
	_ "github.com/arbutusline/arbutusline/modules/callerapi"
	_ "github.com/arbutusline/arbutusline/modules/directory"
	_ "github.com/arbutusline/arbutusline/modules/dispatch"
	_ "github.com/arbutusline/arbutusline/modules/engine"
	_ "github.com/arbutusline/arbutusline/modules/exchange"
	_ "github.com/arbutusline/arbutusline/modules/gossip"
	_ "github.com/arbutusline/arbutusline/modules/grpcserver"
	_ "github.com/arbutusline/arbutusline/modules/ingress"
	_ "github.com/arbutusline/arbutusline/modules/ledger"
	_ "github.com/arbutusline/arbutusline/modules/logging"
	_ "github.com/arbutusline/arbutusline/modules/memory"
	_ "github.com/arbutusline/arbutusline/modules/node"
	_ "github.com/arbutusline/arbutusline/modules/objectstore"
	_ "github.com/arbutusline/arbutusline/modules/orders"
	_ "github.com/arbutusline/arbutusline/modules/peer"
	_ "github.com/arbutusline/arbutusline/modules/relay"
	_ "github.com/arbutusline/arbutusline/modules/rulespread"
	_ "github.com/arbutusline/arbutusline/modules/runner"
	_ "github.com/arbutusline/arbutusline/modules/scheduling"
	_ "github.com/arbutusline/arbutusline/modules/status"
	_ "github.com/arbutusline/arbutusline/modules/streamversions"
	_ "github.com/arbutusline/arbutusline/modules/trace"
	_ "github.com/arbutusline/arbutusline/modules/upgrade"
	_ "github.com/arbutusline/arbutusline/modules/upstream"
)
