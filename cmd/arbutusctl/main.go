// Command arbutusctl checks, applies and explains rules, and shows the state of
// routers and agents. docs/arbutusctl.md lists its commands and exit codes.
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
