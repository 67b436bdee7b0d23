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

// modelsPerTeam is the number of allow rules of a team. The design page does
// not name it.
const modelsPerTeam = 2

// teamsPerHalf is as many as fit: a half is one line, and a line has at most
// 1024 bytes.
const teamsPerHalf = 100

// rulesText returns a rules file in the middle of a split: teams, their allow
// rules, endpoints, owners of hosts, two halves.
func rulesText(teams, hosts int) string {
	var b strings.Builder
	names := [2][]string{}
	half := [2]string{"north", "south"}
	for i := range teams {
		name := fmt.Sprintf("team-%03d", i)
		names[i%2] = append(names[i%2], name)
		fmt.Fprintf(&b, "team %s token-sha256 %x share %d priority %d # anitha: team of the capacity page\n",
			name, sha256.Sum256([]byte(name)), 1+i%40, i%4)
		for m := range modelsPerTeam {
			fmt.Fprintf(&b, "allow %s model model-%02d # anitha: completions\n", name, (i+m)%targetModels)
		}
	}
	for i := range hosts {
		fmt.Fprintf(&b, "endpoint %s model model-%02d host h-%04d zone %s # jose: rack\n", endpointName(i), i%targetModels, i, zoneName(i))
		fmt.Fprintf(&b, "host h-%04d owner %s # jose: split\n", i, half[i/targetModels%2])
	}
	for i, list := range names {
		fmt.Fprintf(&b, "half %s teams %s # jose: split\n", half[i], strings.Join(list[:min(len(list), teamsPerHalf)], " "))
	}
	b.WriteString("weights hit 3 recompute 3 tail 1 # anitha: audits first\n")
	return b.String()
}

// held is what a process keeps of one version.
type held struct {
	text *ruleset.Text
	view *rules.View
}

func compile(text string) (*rules.View, error) { return rules.Compile("rules", 1, text) }

func measureRules(s *Slopes) error {
	small, large := rulesText(targetTeams/10, targetEndpoints/10), rulesText(targetTeams, targetEndpoints)
	lines := func(text string) float64 { return float64(strings.Count(text, "\n")) }
	if _, err := compile(large); err != nil {
		return err
	}
	s.count("rules.lines", lines(large), "lines", "550 teams, 2100 endpoints, 10 models, two halves")
	s.count("rules.text", float64(len(large))/lines(large), "B", "per line of that file")
	between := fmt.Sprintf("slope from %.0f to %.0f lines", lines(small), lines(large))
	heap := func(text string) float64 {
		return heapOf(func() any {
			view, _ := compile(text)
			return held{&ruleset.Text{Version: 1, Body: strings.Clone(text)}, view}
		})
	}
	s.measured("rules.line", (heap(large)-heap(small))/(lines(large)-lines(small)), "B", between+", text and view")
	time := func(text string) float64 {
		return microsOf(10, func(int) { _, _ = compile(text) })
	}
	s.measured("rules.compile", (time(large)-time(small))/(lines(large)-lines(small)), "µs", between)
	if err := measurePools(s, large); err != nil {
		return err
	}
	return measureDelta(s, large)
}

// measurePools measures what a router does with a new version beside the check.
func measurePools(s *Slopes, text string) error {
	view, err := compile(text)
	if err != nil {
		return err
	}
	memberships, pools := 0, 0
	for _, p := range view.Pools() {
		memberships += len(p.Endpoints)
		pools++
	}
	s.count("rules.memberships", float64(memberships), "endpoints", fmt.Sprintf("sum over the %d pools of that file", pools))
	install := func() *placement.Placer {
		p := placement.New(placement.Config{IndexEntries: 4}, rand.New(rand.NewPCG(1, 2)))
		setPools(p, view)
		return p
	}
	s.measured("rules.pool_bytes", heapOf(func() any { return install() })/float64(memberships), "B", "per endpoint of a pool, all pools")
	p := install()
	s.measured("rules.pool_time", microsOf(10, func(int) { setPools(p, view) })/float64(memberships), "µs", "per endpoint of a pool, all pools")
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

func measureDelta(s *Slopes, text string) error {
	base := &ruleset.Text{Version: 1, Author: "jose", Body: text}
	next := &ruleset.Text{Version: 2, Author: "jose", Body: text + "drain endpoint llm-0042 # jose: maintenance of rack 7\n"}
	delta := ruleset.Diff(base, next)
	if _, err := delta.Apply(base); err != nil {
		return err
	}
	push := &membership.Datagram{From: memberOf(1).Name, FromIncarnation: 1, Kind: membership.Push, RulesVersion: 1, MembersHash: 1 << 63,
		Payloads: []membership.Payload{gossip.RulesDeltaPayload(delta)}}
	raw, err := gossip.EncodeDatagram(push)
	if err != nil {
		return err
	}
	s.count("rules.delta", float64(proto.Size(gossip.EncodeRulesDelta(delta))), "B", "one line added")
	s.count("rules.push", float64(len(raw)), "B", "datagram that pushes this delta")
	s.measured("rules.apply", microsOf(20, func(int) { _, _ = delta.Apply(base) }), "µs", "delta of one line on the whole file")
	s.measured("rules.diff", microsOf(20, func(int) { ruleset.Diff(base, next) }), "µs", "two versions that differ in one line")
	return nil
}
