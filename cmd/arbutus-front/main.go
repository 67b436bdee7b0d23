// Command arbutus-front accepts callers' requests in a deployment whose endpoints have
// no agents, and sends them to the endpoints directly.
package main

import (
	"os"

	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/cacheevents"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/exchange"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
	"github.com/arbutusline/arbutusline/modules/ingress"
	"github.com/arbutusline/arbutusline/modules/logging"
	"github.com/arbutusline/arbutusline/modules/memory"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/relay"
	"github.com/arbutusline/arbutusline/modules/scheduling"
	"github.com/arbutusline/arbutusline/modules/status"
	"github.com/arbutusline/arbutusline/modules/streamversions"
	"github.com/arbutusline/arbutusline/modules/upgrade"
	"github.com/arbutusline/arbutusline/modules/upstream"
	"github.com/arbutusline/arbutusline/process"
)

// modules lists the modules of the program in the order in which they start. The server
// for callers starts last and stops first.
var modules = []string{
	logging.Name, node.Name, admin.Name, memory.Name, grpcserver.Name, upstream.Name, directory.Name,
	streamversions.Name, relay.Name, cacheevents.Name, exchange.Name, upgrade.Name, status.Name, scheduling.Name, ingress.Name,
}

func main() {
	os.Exit(process.Main("arbutus-front", "Routes callers' requests to endpoints without agents.", modules...))
}
