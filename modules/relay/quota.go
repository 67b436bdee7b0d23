package relay

import (
	"maps"
	"math"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/quota"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/platform"
)

// reasonQuota is the reason of refusals because the quota of the request's team is used up.
const reasonQuota = "quota"

const (
	// minQuotaRetryAfter is the shortest Retry-After of these refusals.
	minQuotaRetryAfter = 200 * time.Millisecond
	// responseTransit is the time that a response takes to its caller, at most. The caller compares
	// Retry-After with the time that it has left then.
	responseTransit = 30 * time.Millisecond
)

// quotas is the state of the quotas of teams. The relay's lock guards it.
type quotas struct {
	limiter *quota.Limiter
	// configured are the quotas in force, by team. It is nil until there is a configuration.
	configured map[string]fleet.Quota
	units      *prometheus.CounterVec
}

var (
	quotaLevelDesc = prometheus.NewDesc("arbutus_quota_level_units",
		"Estimate of the units left in the bucket of a team that all routers share. Negative if more was admitted.", []string{"team"}, nil)
	quotaLimitDesc = prometheus.NewDesc("arbutus_quota_limit_units_per_second", "Rate of the quota of a team.", []string{"team"}, nil)
)

// initQuotas creates the state and registers the metrics.
func (r *Relay) initQuotas(n *node.Node, registry prometheus.Registerer) {
	r.quotas.limiter = quota.New(n.ID, n.Incarnation())
	r.quotas.units = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_quota_units_total", Help: "Units of requests of teams with a quota, by team and result: admitted, refused, or refunded after they were admitted.",
	}, []string{"team", "result"})
	registry.MustRegister(r.quotas.units, quotaCollector{r})
}

// quotaCollector reports the level and the limit of each team with a quota.
type quotaCollector struct{ relay *Relay }

// Describe implements prometheus.Collector.
func (c quotaCollector) Describe(out chan<- *prometheus.Desc) {
	out <- quotaLevelDesc
	out <- quotaLimitDesc
}

// Collect implements prometheus.Collector.
func (c quotaCollector) Collect(out chan<- prometheus.Metric) {
	c.relay.mu.Lock()
	states := c.relay.quotas.limiter.States(c.relay.now())
	c.relay.mu.Unlock()
	for team, s := range states {
		out <- prometheus.MustNewConstMetric(quotaLevelDesc, prometheus.GaugeValue, s.Level, team)
		out <- prometheus.MustNewConstMetric(quotaLimitDesc, prometheus.GaugeValue, s.Limit.Rate, team)
	}
}

// setQuotasLocked applies the quotas of a configuration. The caller holds mu.
func (r *Relay) setQuotasLocked(c *fleet.Configuration) {
	if c == nil {
		return
	}
	next := map[string]fleet.Quota{}
	for i := range c.Teams {
		if q := c.Teams[i].Quota; q != nil {
			next[c.Teams[i].Name] = *q
		}
	}
	if r.quotas.configured != nil && maps.Equal(next, r.quotas.configured) {
		return
	}
	limits := make(map[string]quota.Limit, len(next))
	for team, q := range next {
		limits[team] = quota.Limit{Rate: q.Rate, Burst: q.Burst}
		if before, ok := r.quotas.configured[team]; !ok || before != q {
			r.logQuota(c, team, q, before)
		}
	}
	for team, before := range r.quotas.configured {
		if _, ok := next[team]; !ok {
			r.logQuota(c, team, fleet.Quota{}, before)
			r.quotas.units.DeletePartialMatch(prometheus.Labels{"team": team})
		}
	}
	r.quotas.configured = next
	r.quotas.limiter.SetLimits(r.now(), limits)
}

func (r *Relay) logQuota(c *fleet.Configuration, team string, now, before fleet.Quota) {
	r.log.WithFields(logrus.Fields{
		"team": team, "rate_per_s": now.Rate, "burst": now.Burst, "unit": now.Unit.String(), "rate_before": before.Rate,
		"burst_before": before.Burst, "configuration": c.Version,
	}).Info("quota of team changed")
}

// QuotaReports returns what to tell another router about quotas, with at most maxForwarded reports of
// others.
func (r *Relay) QuotaReports(maxForwarded int) ([]quota.Use, []quota.Level) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quotas.limiter.Reports(r.now(), maxForwarded)
}

// MergeQuotaReports adds what a message of another router told about quotas.
func (r *Relay) MergeQuotaReports(router string, uses []quota.Use, levels []quota.Level) {
	r.mu.Lock()
	invalid := r.quotas.limiter.Merge(r.now(), router, uses, levels)
	r.mu.Unlock()
	if invalid > 0 {
		r.log.WithFields(logrus.Fields{"router": router, "reports": invalid}).Warn("ignored invalid reports about quotas")
	}
}

// admitByQuota decides whether the quota of the request's team has room for it. If not, it refuses the
// request.
func (x *execution) admitByQuota() bool {
	if x.req.Team == nil || x.req.Team.Quota == nil {
		return true
	}
	tokens, stated, err := platform.TokenCount(x.req.Header)
	if err != nil {
		// Only requests without a model get here; others are refused for it at their arrival.
		x.log().WithError(err).Debug("ignored malformed token count")
	}
	team, units := x.req.Team.Name, x.req.Team.Quota.Units(tokens, stated)
	r := x.relay
	r.mu.Lock()
	d := r.quotas.limiter.Admit(r.now(), team, units)
	r.mu.Unlock()
	if d.Allowed {
		if d.Limited {
			x.quotaUnits = units
			r.quotas.units.WithLabelValues(team, "admitted").Add(units)
		}
		return true
	}
	r.quotas.units.WithLabelValues(team, "refused").Add(units)
	r.metrics.refusals.WithLabelValues(reasonQuota).Inc()
	longest := (time.Until(x.req.Deadline) - responseTransit) / remainingPartToReturn
	retryAfter := max(minQuotaRetryAfter, min(d.RetryAfter, longest).Truncate(time.Millisecond))
	x.log().WithFields(logrus.Fields{
		"team": team, "units": units, "quota_level": math.Round(d.Level), "share": math.Round(d.Share), "retry_after_ms": retryAfter.Milliseconds(),
	}).Warn("request refused because of the quota of its team")
	x.report.Outcome, x.report.Reason = OutcomeRefused, reasonQuota
	x.respondEmpty(http.StatusTooManyRequests, retryAfter)
	return false
}

// quotaRate returns the rate of the quota of the request's team in tokens per second, or 0 if the
// team has no quota in tokens.
func (r *Request) quotaRate() float64 {
	if r.Team == nil || r.Team.Quota == nil || r.Team.Quota.Unit != fleet.UnitTokens {
		return 0
	}
	return r.Team.Quota.Rate
}

// refundQuota takes back what was counted for the request if no endpoint can have run it.
func (x *execution) refundQuota() {
	if x.quotaUnits == 0 || x.mayHaveRunCount > 0 {
		return
	}
	switch x.lastResult.kind {
	case resultNotSent, resultExpired, resultRefused:
	default:
		if x.attempts > 0 {
			return
		}
	}
	r := x.relay
	r.mu.Lock()
	r.quotas.limiter.Refund(r.now(), x.req.Team.Name, x.quotaUnits)
	r.mu.Unlock()
	r.quotas.units.WithLabelValues(x.req.Team.Name, "refunded").Add(x.quotaUnits)
}
