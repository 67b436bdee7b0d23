package capacity

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/decision/ruleset"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/rules"
)

// modelsPerTeam is the number of allow rules of a team. The design page does not specify
// it.
const modelsPerTeam = 2

// teamsPerHalf is limited by the line length: a half is one line of at most 1024 bytes.
const teamsPerHalf = 100

// generateRules returns a rules file while a deployment is being split: teams, their allow
// rules, endpoints, host owners and the two halves.
func generateRules(teams, hosts int) string {
	var b strings.Builder
	teamsByHalf := [2][]string{}
	halfNames := [2]string{"north", "south"}
	for i := range teams {
		name := fmt.Sprintf("team-%03d", i)
		teamsByHalf[i%2] = append(teamsByHalf[i%2], name)
		fmt.Fprintf(&b, "team %s token-sha256 %x share %d priority %d # anitha: team of the capacity page\n",
			name, sha256.Sum256([]byte(name)), 1+i%40, i%4)
		for m := range modelsPerTeam {
			fmt.Fprintf(&b, "allow %s model model-%02d # anitha: completions\n", name, (i+m)%targetModels)
		}
	}
	for i := range hosts {
		fmt.Fprintf(&b, "endpoint %s model model-%02d host h-%04d zone %s # jose: rack\n", endpointName(i), i%targetModels, i, zoneName(i))
		fmt.Fprintf(&b, "host h-%04d owner %s # jose: split\n", i, halfNames[i/targetModels%2])
	}
	for i, list := range teamsByHalf {
		fmt.Fprintf(&b, "half %s teams %s # jose: split\n", halfNames[i], strings.Join(list[:min(len(list), teamsPerHalf)], " "))
	}
	b.WriteString("weights hit 3 recompute 3 tail 1 # anitha: audits first\n")
	return b.String()
}

// loadedRules is what a process keeps in memory for one rules version.
type loadedRules struct {
	text *ruleset.Text
	view *rules.View
}

func compileRules(text string) (*rules.View, error) { return rules.Compile("rules", 1, text) }

func measureRules(s *Slopes) error {
	small, large := generateRules(targetTeams/10, targetEndpoints/10), generateRules(targetTeams, targetEndpoints)
	lineCount := func(text string) float64 { return float64(strings.Count(text, "\n")) }
	if _, err := compileRules(large); err != nil {
		return err
	}
	s.addCount("rules.lines", lineCount(large), "lines", "550 teams, 2100 endpoints, 10 models, two halves")
	s.addCount("rules.text", float64(len(large))/lineCount(large), "B", "per line of that file")
	sizeRange := fmt.Sprintf("slope from %.0f to %.0f lines", lineCount(small), lineCount(large))
	rulesHeapBytes := func(text string) float64 {
		return addedHeapBytes(func() any {
			view, _ := compileRules(text)
			return loadedRules{&ruleset.Text{Version: 1, Body: strings.Clone(text)}, view}
		})
	}
	s.addMeasured("rules.line", (rulesHeapBytes(large)-rulesHeapBytes(small))/(lineCount(large)-lineCount(small)), "B", sizeRange+", text and view")
	compileMicros := func(text string) float64 {
		return cpuMicrosPerCall(10, func(int) { _, _ = compileRules(text) })
	}
	s.addMeasured("rules.compile", (compileMicros(large)-compileMicros(small))/(lineCount(large)-lineCount(small)), "µs", sizeRange)
	if err := measurePoolUpdate(s, large); err != nil {
		return err
	}
	return measureRulesDelta(s, large)
}

// measurePoolUpdate measures how a router rebuilds its pools after it compiled a new rules
// version.
func measurePoolUpdate(s *Slopes, text string) error {
	view, err := compileRules(text)
	if err != nil {
		return err
	}
	memberships, pools := 0, 0
	for _, p := range view.Pools() {
		memberships += len(p.Endpoints)
		pools++
	}
	s.addCount("rules.memberships", float64(memberships), "endpoints", fmt.Sprintf("sum over the %d pools of that file", pools))
	newPlacerWithPools := func() *placement.Placer {
		p := placement.New(placement.Config{IndexEntries: 4}, rand.New(rand.NewPCG(1, 2)))
		setPools(p, view)
		return p
	}
	s.addMeasured("rules.pool_bytes", addedHeapBytes(func() any { return newPlacerWithPools() })/float64(memberships), "B", "per endpoint of a pool, all pools")
	p := newPlacerWithPools()
	s.addMeasured("rules.pool_time", cpuMicrosPerCall(10, func(int) { setPools(p, view) })/float64(memberships), "µs", "per endpoint of a pool, all pools")
	return nil
}

func setPools(p *placement.Placer, view *rules.View) {
	for _, pool := range view.Pools() {
		list := make([]placement.Endpoint, 0, len(pool.Endpoints))
		for _, e := range pool.Endpoints {
			list = append(list, placement.Endpoint{Name: e.Name, Zone: e.Zone})
		}
		p.SetPool(pool.Name, list)
	}
}

func measureRulesDelta(s *Slopes, text string) error {
	base := &ruleset.Text{Version: 1, Author: "jose", Body: text}
	next := &ruleset.Text{Version: 2, Author: "jose", Body: text + "drain endpoint llm-0042 # jose: maintenance of rack 7\n"}
	delta := ruleset.Diff(base, next)
	if _, err := delta.Apply(base); err != nil {
		return err
	}
	push := &membership.Datagram{From: newMember(1).Name, FromIncarnation: 1, Kind: membership.Push, RulesVersion: 1, MembersHash: 1 << 63,
		Payloads: []membership.Payload{gossip.RulesDeltaPayload(delta)}}
	raw, err := gossip.EncodeDatagram(push)
	if err != nil {
		return err
	}
	s.addCount("rules.delta", float64(proto.Size(gossip.EncodeRulesDelta(delta))), "B", "one line added")
	s.addCount("rules.push", float64(len(raw)), "B", "datagram that pushes this delta")
	s.addMeasured("rules.apply", cpuMicrosPerCall(20, func(int) { _, _ = delta.Apply(base) }), "µs", "delta of one line on the whole file")
	s.addMeasured("rules.diff", cpuMicrosPerCall(20, func(int) { ruleset.Diff(base, next) }), "µs", "two versions that differ in one line")
	return nil
}
