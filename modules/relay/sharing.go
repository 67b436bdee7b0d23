package relay

import (
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/sharing"
	"github.com/arbutusline/arbutusline/fleet"
)

// cacheDomains are the teams' cache namespaces in one configuration.
type cacheDomains struct {
	config  *fleet.Configuration
	domains *sharing.Domains
}

// teamNamespaceLocked returns the cache namespace of a team in the configuration in force. Each
// attempt gets the namespace of its time, as the team may have been isolated since the request
// arrived. The caller holds mu.
func (r *Relay) teamNamespaceLocked(config *fleet.Configuration, team *fleet.Team) string {
	if config != r.cacheDomains.config || r.cacheDomains.domains == nil {
		r.setCacheDomainsLocked(config)
	}
	if team == nil {
		return r.cacheDomains.domains.Shared()
	}
	return r.cacheDomains.domains.Namespace(team.Name)
}

func (r *Relay) setCacheDomainsLocked(config *fleet.Configuration) {
	var version uint64
	var teams []fleet.Team
	if config != nil {
		version, teams = config.Version, config.Teams
	}
	before := r.cacheDomains.domains
	r.cacheDomains = cacheDomains{config, sharing.New(teams)}
	if now := r.cacheDomains.domains.Shared(); before == nil || before.Shared() != now {
		r.log.WithFields(logrus.Fields{"configuration": version, "namespace": now}).Info("cache namespace of shared parts changed")
	}
}
