// Command arbutus-router accepts callers' requests on an entry host and routes them to
// endpoints.
package main

import (
	"os"

	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/agentclient"
	"github.com/arbutusline/arbutusline/modules/callerapi"
	"github.com/arbutusline/arbutusline/modules/dispatch"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
	"github.com/arbutusline/arbutusline/modules/ledger"
	"github.com/arbutusline/arbutusline/modules/logging"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/objectstore"
	"github.com/arbutusline/arbutusline/modules/orders"
	"github.com/arbutusline/arbutusline/modules/peer"
	"github.com/arbutusline/arbutusline/modules/rulespread"
	"github.com/arbutusline/arbutusline/modules/trace"
	"github.com/arbutusline/arbutusline/process"
)

func main() {
	os.Exit(process.Main("arbutus-router", "Routes callers' requests to endpoints.",
		logging.Name, node.Name, admin.Name, objectstore.Name, grpcserver.Name, agentclient.Name,
		gossip.Name, rulespread.Name, trace.Name, ledger.Name,
		orders.Name, peer.Name, dispatch.Name, callerapi.Name))
}
