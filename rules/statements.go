package rules

import (
	"math"
	"sort"
	"strings"
)

// ruleParsers maps the keyword of a rule to its parser. init fills it.
var ruleParsers map[string]func(*ruleParser)

func init() {
	ruleParsers = map[string]func(*ruleParser){
		"team":     parseTeam,
		"endpoint": parseEndpoint,
		"service":  parseService,
		"host":     parseHost,
		"half":     parseHalf,
		"allow":    parseAllow,
		"once":     parseOnceRule,
		"limit":    parseLimit,
		"weights":  parseWeights,
		"drain":    parseDrain,
		"rollout":  parseRollout,
		"fencing":  parseFencing,
	}
}

// Keywords returns the keywords of all rules, sorted.
func Keywords() []string { return ruleKeywords() }

func ruleKeywords() []string {
	names := make([]string, 0, len(ruleParsers))
	for name := range ruleParsers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

const (
	maxShare                 = 1e6
	maxPriority              = 100
	maxRatePerSecond         = 1e9
	maxPlacementWeight       = 1000
	maxConcurrentLoads       = 1000
	defaultConcurrentLoads   = 1
	defaultMinServingPercent = 50
)

func parseTeam(p *ruleParser) {
	name := p.parseName("a team name")
	t := &Team{Name: name.text, Share: 1}
	p.expectKeyword("token-sha256")
	t.TokenHash = p.parseTokenHash("a SHA-256 of 64 hexadecimal digits")
	seen := map[string]bool{}
	for !p.done() {
		w := p.next()
		p.rejectRepeated(seen, w)
		switch w.text {
		case "share":
			t.Share = p.parseNumber("a share from 0.001 to 1000000", 0.001, maxShare)
		case "priority":
			t.Priority = p.parseInteger("a priority from 0 to 100", 0, maxPriority)
		default:
			p.reject(w, `"share", "priority" or end of rule`)
		}
	}
	p.define("team "+name.text, name)
	if p.finish() {
		p.view.teams[t.Name] = t
		p.addToken(t, p.words[3])
	}
}

func (p *ruleParser) addToken(t *Team, w word) {
	if other, found := p.view.teamsByTokenHash[t.TokenHash]; found {
		p.reject(w, "another token than that of team "+other.Name)
		return
	}
	p.view.teamsByTokenHash[t.TokenHash] = t
}

func parseEndpoint(p *ruleParser) {
	name := p.parseName("an endpoint name")
	p.expectKeyword("model")
	target := p.parseName("a model name")
	p.addEndpoint(name, KindModel, target.text)
}

func parseService(p *ruleParser) {
	target := p.parseName("a service name")
	p.expectKeyword("endpoint")
	name := p.parseName("an endpoint name")
	p.addEndpoint(name, KindService, target.text)
}

func (p *ruleParser) addEndpoint(name word, kind Kind, target string) {
	p.expectKeyword("host")
	host := p.parseName("a host name")
	p.expectKeyword("zone")
	zone := p.parseName("an availability zone name")
	if !p.finish() {
		return
	}
	p.define("endpoint "+name.text, name)
	p.view.endpoints[name.text] = &Endpoint{
		Name: name.text, Kind: kind, Target: target, Host: host.text, Zone: zone.text,
	}
}

func parseHost(p *ruleParser) {
	host := p.parseName("a host name")
	p.expectKeyword("owner")
	owner := p.parseName("a half's name")
	if p.finish() {
		p.define("host "+host.text, host)
		p.hostOwners[host.text] = owner.text
		p.deferCheck(func() { p.requireHalf(owner) })
	}
}

// deferCheck adds a check that runs when the whole file is parsed.
func (p *ruleParser) deferCheck(check func()) { p.deferredChecks = append(p.deferredChecks, check) }

func (p *ruleParser) requireHalf(w word) {
	if _, ok := p.definedOnLine["half "+w.text]; !ok && !p.invalidKeys["half "+w.text] {
		p.reject(w, "a half that a half rule defines")
	}
}

func parseHalf(p *ruleParser) {
	half := p.parseName("a half's name")
	p.expectKeyword("teams")
	// Several lines may list the teams of one half: the length of a line is
	// limited, and a half can have hundreds of teams.
	if _, defined := p.definedOnLine["half "+half.text]; !defined {
		p.define("half "+half.text, half)
	}
	teams := []word{p.parseName("a team name")}
	for !p.done() {
		teams = append(teams, p.parseName("a team name"))
	}
	if !p.finish() {
		return
	}
	for _, w := range teams {
		p.deferCheck(func() { p.assignHalf(w, half.text) })
	}
}

func (p *ruleParser) assignHalf(w word, half string) {
	t := p.requireTeam(w)
	if t == nil {
		return
	}
	if t.Half != "" && t.Half != half {
		p.reject(w, "a team that is in no other half (it is in "+t.Half+")")
		return
	}
	t.Half = half
}

func (p *ruleParser) requireTeam(w word) *Team {
	t, ok := p.view.teams[w.text]
	if !ok && !p.invalidKeys["team "+w.text] {
		p.reject(w, "a team that a team rule defines")
	}
	return t
}

// parseTarget parses "model NAME" or "service NAME".
func (p *ruleParser) parseTarget() (Kind, word) {
	w := p.next()
	switch {
	case p.invalid:
		return 0, word{}
	case w.text == "model":
		return KindModel, p.parseName("a model name")
	case w.text == "service":
		return KindService, p.parseName("a service name")
	}
	p.reject(w, `"model" or "service"`)
	return 0, word{}
}

func (p *ruleParser) requireTarget(kind Kind, w word) {
	if len(p.view.endpointsByTarget[targetKey{kind, w.text}]) > 0 || p.hasInvalidEndpointRule() {
		return
	}
	p.reject(w, "a "+kind.String()+" that an endpoint serves")
}

// hasInvalidEndpointRule reports whether a rule that defines an endpoint is invalid.
// It is then unknown which models and services have endpoints.
func (p *ruleParser) hasInvalidEndpointRule() bool {
	for key := range p.invalidKeys {
		if strings.HasPrefix(key, "endpoint") || strings.HasPrefix(key, "service") {
			return true
		}
	}
	return false
}

func parseAllow(p *ruleParser) {
	team := p.parseName("a team name")
	kind, target := p.parseTarget()
	if !p.finish() {
		return
	}
	p.view.allowed[allowKey{team.text, targetKey{kind, target.text}}] = true
	p.deferCheck(func() { p.requireTeam(team) })
	p.deferCheck(func() { p.requireTarget(kind, target) })
}

func parseOnceRule(p *ruleParser) {
	kind, target := p.parseTarget()
	r := AtMostOnceRule{Kind: kind, Target: target.text}
	if kind == KindService && !p.done() {
		r.Method = strings.ToUpper(p.parseName("an HTTP method").text)
		if !p.done() {
			r.PathPrefix = p.parsePath()
		}
	}
	if p.finish() {
		p.view.atMostOnce = append(p.view.atMostOnce, r)
		p.deferCheck(func() { p.requireTarget(kind, target) })
	}
}

func (p *ruleParser) parsePath() string {
	w := p.next()
	if !strings.HasPrefix(w.text, "/") {
		p.reject(w, `a path that starts with "/"`)
	} else if w.text != canonicalPath(w.text) {
		p.reject(w, `a path without "%", "?", "//", "/./" and "/../"`)
	}
	return w.text
}

func parseLimit(p *ruleParser) {
	team := p.parseName("a team name")
	p.define("limit "+team.text, team)
	var requests, tokens float64
	seen := map[string]bool{}
	for first := !p.invalid; first || !p.done(); first = false {
		w := p.next()
		p.rejectRepeated(seen, w)
		switch w.text {
		case "requests":
			requests = p.parseSuffixedNumber(`a rate such as "200/s"`, "/s", 0.001, maxRatePerSecond)
		case "tokens":
			tokens = p.parseSuffixedNumber(`a rate such as "50000/s"`, "/s", 0.001, maxRatePerSecond)
		default:
			p.reject(w, `"requests", "tokens" or end of rule`)
		}
	}
	if !p.finish() {
		return
	}
	p.deferCheck(func() {
		if t := p.requireTeam(team); t != nil {
			t.RequestsPerSecond, t.TokensPerSecond = requests, tokens
		}
	})
}

func parseWeights(p *ruleParser) {
	p.define("weights", p.words[0])
	weights := PlacementWeights{HitRate: 1, RecomputedTokens: 1, TailLatency: 1}
	fields := map[string]*float64{"hit": &weights.HitRate, "recompute": &weights.RecomputedTokens, "tail": &weights.TailLatency}
	seen := map[string]bool{}
	for !p.done() {
		w := p.next()
		p.rejectRepeated(seen, w)
		field, ok := fields[w.text]
		if !ok {
			p.reject(w, `"hit", "recompute", "tail" or end of rule`)
			return
		}
		*field = p.parseNumber("a weight from 0 to 1000", 0, maxPlacementWeight)
	}
	if p.finish() {
		p.view.PlacementWeights = weights
	}
}

func parseDrain(p *ruleParser) {
	kind := p.next()
	if kind.text != "endpoint" && kind.text != "host" {
		p.reject(kind, `"endpoint" or "host"`)
		return
	}
	name := p.parseName("the name of the " + kind.text)
	if p.finish() {
		p.deferCheck(func() { p.drainEndpoints(kind.text, name) })
	}
}

func (p *ruleParser) drainEndpoints(kind string, name word) {
	matching := p.endpointsByHost[name.text]
	if kind == "endpoint" {
		matching = nil
		if e, ok := p.view.endpoints[name.text]; ok {
			matching = []*Endpoint{e}
		}
	}
	for _, e := range matching {
		e.Draining = true
	}
	if len(matching) == 0 && !p.hasInvalidEndpointRule() {
		p.reject(name, "the "+kind+" of an endpoint that a rule defines")
	}
}

func parseRollout(p *ruleParser) {
	model := p.parseName("a model name")
	p.define("rollout "+model.text, model)
	p.expectKeyword("version")
	r := Rollout{Model: model.text, MaxConcurrentLoads: defaultConcurrentLoads, MinServingPercent: defaultMinServingPercent}
	r.WeightsVersion = p.parseName("a weights version").text
	seen := map[string]bool{}
	for !p.done() {
		w := p.next()
		p.rejectRepeated(seen, w)
		switch w.text {
		case "loads":
			r.MaxConcurrentLoads = p.parseInteger("a number of loads from 1 to 1000", 1, maxConcurrentLoads)
		case "keep":
			r.MinServingPercent = p.parsePercent()
		default:
			p.reject(w, `"loads", "keep" or end of rule`)
		}
	}
	if p.finish() {
		p.view.rollouts = append(p.view.rollouts, r)
		p.deferCheck(func() { p.requireTarget(KindModel, model) })
	}
}

// parsePercent parses a whole percentage such as "80%".
func (p *ruleParser) parsePercent() int {
	w := p.peek()
	v := p.parseSuffixedNumber(`a percentage such as "80%"`, "%", 0, 100)
	if v != math.Trunc(v) {
		p.reject(w, "a whole number of percent")
	}
	return int(v)
}

func parseFencing(p *ruleParser) {
	name := p.parseName("an endpoint name")
	mode := p.next()
	if !p.invalid && mode.text != "honoured" && mode.text != "ignored" {
		p.reject(mode, `"honoured" or "ignored"`)
	}
	if !p.finish() {
		return
	}
	p.define("fencing "+name.text, name)
	p.deferCheck(func() {
		e, ok := p.view.endpoints[name.text]
		if !ok {
			if !p.hasInvalidEndpointRule() {
				p.reject(name, "an endpoint that a rule defines")
			}
			return
		}
		e.IgnoresFencing = mode.text == "ignored"
	})
}
