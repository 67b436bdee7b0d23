package exchange

import (
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/quota"
)

// maxForwardedUses is the maximum number of reports about other routers in a message. A router gets most of
// 25 others' reports with two messages.
const maxForwardedUses = 24

// addQuotas adds what other routers need to know about quotas. Without quotas it adds nothing.
func (x *Exchange) addQuotas(out *arbutuspb.RouterState) {
	uses, levels := x.relay.QuotaReports(maxForwardedUses)
	for _, u := range uses {
		out.QuotaUses = append(out.QuotaUses, &arbutuspb.QuotaUse{
			Team: u.Team, Router: u.Router, Incarnation: u.Incarnation, Sequence: u.Sequence, Admitted: u.Admitted,
			AdmittedRate: u.AdmittedRate, DemandRate: u.DemandRate, AgeMs: milliseconds(u.Age),
		})
	}
	for _, l := range levels {
		out.QuotaLevels = append(out.QuotaLevels, &arbutuspb.QuotaLevel{Team: l.Team, Available: l.Available})
	}
}

// mergeQuotas passes on what another router told about quotas.
func (x *Exchange) mergeQuotas(in *arbutuspb.RouterState) {
	uses := make([]quota.Use, 0, len(in.GetQuotaUses()))
	for _, u := range in.GetQuotaUses() {
		uses = append(uses, quota.Use{
			Team: u.GetTeam(), Router: u.GetRouter(), Incarnation: u.GetIncarnation(), Sequence: u.GetSequence(), Admitted: u.GetAdmitted(),
			AdmittedRate: u.GetAdmittedRate(), DemandRate: u.GetDemandRate(), Age: duration(u.GetAgeMs()),
		})
	}
	levels := make([]quota.Level, 0, len(in.GetQuotaLevels()))
	for _, l := range in.GetQuotaLevels() {
		levels = append(levels, quota.Level{Team: l.GetTeam(), Available: l.GetAvailable()})
	}
	x.relay.MergeQuotaReports(in.GetName(), uses, levels)
}
