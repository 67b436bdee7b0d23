// Command arbutusctl checks and applies rules, drains endpoints, shows the state of
// routers and agents, and explains how a request was routed. docs/arbutusctl.md lists
// its commands and exit codes.
package main

import (
	"os"

	"github.com/arbutusline/arbutusline/modules/objectstore"
	store "github.com/arbutusline/arbutusline/objectstore"
)

func main() {
	os.Exit(run(os.Args[1:], environment{
		stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, exit: os.Exit,
		openStore: func(addresses []string) (store.Store, error) { return objectstore.NewClient(addresses) },
	}))
}
