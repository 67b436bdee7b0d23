// Command arbutus-agent is the sidecar of an endpoint. It admits requests and runs
// them on the endpoint.
package main

import (
	"os"

	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/engine"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
	"github.com/arbutusline/arbutusline/modules/logging"
	"github.com/arbutusline/arbutusline/modules/memory"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/objectstore"
	"github.com/arbutusline/arbutusline/modules/orders"
	"github.com/arbutusline/arbutusline/modules/peer"
	"github.com/arbutusline/arbutusline/modules/rulespread"
	"github.com/arbutusline/arbutusline/modules/runner"
	"github.com/arbutusline/arbutusline/process"
)

func main() {
	os.Exit(process.Main("arbutus-agent", "Sidecar of an endpoint: admits requests and runs them on the endpoint.",
		logging.Name, node.Name, admin.Name, objectstore.Name, grpcserver.Name,
		// After grpc, so that messages with whole prompts stay possible.
		memory.Name, gossip.Name, rulespread.Name, engine.Name, runner.Name, orders.Name, peer.Name))
}
