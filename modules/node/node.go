// Package node is the module "node": the identity and location of this process.
package node

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline"
)

// Name is the name of the module.
const Name = "node"

// Roles of a process.
const (
	RoleRouter = "router"
	RoleAgent  = "agent"
)

func init() { arbutusline.Register(func() arbutusline.Module { return &Node{} }) }

// Node identifies the process. All fields except the incarnation are settings.
type Node struct {
	// ID is the unique name of the process. Required.
	ID string `json:"id"`
	// Role is "router" or "agent". Required.
	Role string `json:"role"`
	// Host is the name by which the rules refer to the host. Required for agents.
	Host string `json:"host"`
	// Zone is the availability zone. Required.
	Zone string `json:"zone"`
	// Region is the region of the availability zone. Default "".
	Region string `json:"region"`
	// Endpoint is the name of the endpoint that the agent serves. Required for agents.
	Endpoint string `json:"endpoint"`

	incarnation uint64
}

// ModuleName returns "node".
func (n *Node) ModuleName() string { return Name }

// Provision sets the incarnation to the current time in Unix nanoseconds, so that a
// restarted process has a higher one.
func (n *Node) Provision(*arbutusline.Kernel) error {
	n.incarnation = uint64(time.Now().UnixNano())
	return nil
}

// Validate checks that the required settings are present.
func (n *Node) Validate() error {
	switch {
	case n.ID == "":
		return errors.New("id is required")
	case n.Role != RoleRouter && n.Role != RoleAgent:
		return errors.Newf("role %q is neither %q nor %q", n.Role, RoleRouter, RoleAgent)
	case n.Zone == "":
		return errors.New("zone is required")
	case n.Role == RoleAgent && (n.Endpoint == "" || n.Host == ""):
		return errors.New("endpoint and host are required for an agent")
	}
	return nil
}

// Incarnation returns the number that identifies this run of the process. It increases
// with each restart.
func (n *Node) Incarnation() uint64 { return n.incarnation }
