// Package sharing decides which teams may use the prompt parts that others have cached.
//
// A part that was cached in a namespace stays there until the engine evicts it. The namespace of
// the teams that share parts is therefore a function of the names of the isolated teams: each part
// in it was made by a team that is not among them. Routers with the same configuration derive the
// same namespaces without any history, and a set of isolated teams that returns finds its parts
// again. docs/cache-sharing.md weighs other ways.
package sharing

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"maps"
	"net/url"
	"slices"

	"github.com/arbutusline/arbutusline/fleet"
)

// sharedPrefix distinguishes the namespace of the teams that share parts from those of isolated
// teams, which are escaped names.
const sharedPrefix = "*"

// sharedDigestBytes is the length of the digest in the namespace of the teams that share parts.
// Each cache event repeats the namespace. 6 bytes take 8 characters, and two of 1,000 sets of
// isolated teams have the same digest with a probability of 2e-9.
const sharedDigestBytes = 6

// Domains divides the teams of one configuration by the cached parts that they may use. It does
// not change after New and is safe for concurrent use.
type Domains struct {
	shared string
	// mayShare is true for teams that share parts, and false for isolated ones.
	mayShare map[string]bool
}

// New returns the domains of a configuration's teams. A team that is listed several times is
// isolated if one of its entries says so.
func New(teams []fleet.Team) *Domains {
	isolated := map[string]bool{}
	for _, t := range teams {
		if t.Isolated {
			isolated[t.Name] = true
		}
	}
	d := &Domains{shared: sharedNamespace(slices.Sorted(maps.Keys(isolated))), mayShare: map[string]bool{}}
	for _, t := range teams {
		d.mayShare[t.Name] = !isolated[t.Name]
	}
	return d
}

// sharedNamespace returns the namespace of all teams but the isolated ones, whose names are
// sorted.
func sharedNamespace(isolated []string) string {
	if len(isolated) == 0 {
		return ""
	}
	h := sha256.New()
	for _, name := range isolated {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(name)))
		_, _ = h.Write(length[:]) // Hash.Write never fails.
		_, _ = h.Write([]byte(name))
	}
	return sharedPrefix + base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:sharedDigestBytes])
}

// Shared returns the cache namespace of the teams that share parts, and of requests without a
// team.
func (d *Domains) Shared() string { return d.shared }

// Namespace returns the cache namespace of a team's requests. A team that the configuration does
// not list, because it was removed while a request runs, shares no parts.
func (d *Domains) Namespace(team string) string {
	if d.mayShare[team] {
		return d.shared
	}
	if team == "" {
		return "%" // No escaped name is a single percent sign.
	}
	return url.QueryEscape(team)
}
