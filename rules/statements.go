package rules

import (
	"math"
	"sort"
	"strings"
)

// ruleParsers maps the first word of a rule to its parser. It is filled in init
// because the parsers report its keys.
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

// Keywords returns the first words of all rules in order.
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
	maxRate                  = 1e9
	maxPlacementWeight       = 1000
	maxConcurrentLoads       = 1000
	defaultConcurrentLoads   = 1
	defaultMinServingPercent = 50
)

func parseTeam(s *ruleParser) {
	name := s.parseName("a team name")
	t := &Team{Name: name.text, Share: 1}
	s.expectKeyword("token-sha256")
	t.TokenHash = s.parseTokenHash("a SHA-256 of 64 hexadecimal digits")
	seen := map[string]bool{}
	for !s.done() {
		w := s.next()
		s.rejectRepeated(seen, w)
		switch w.text {
		case "share":
			t.Share = s.parseNumber("a share from 0.001 to 1000000", 0.001, maxShare)
		case "priority":
			t.Priority = s.parseInteger("a priority from 0 to 100", 0, maxPriority)
		default:
			s.reject(w, `"share", "priority" or end of rule`)
		}
	}
	s.define("team "+name.text, name)
	if s.finish() {
		s.view.teams[t.Name] = t
		s.addToken(t, s.words[3])
	}
}

func (s *ruleParser) addToken(t *Team, w word) {
	if other, found := s.view.teamsByTokenHash[t.TokenHash]; found {
		s.reject(w, "another token than that of team "+other.Name)
		return
	}
	s.view.teamsByTokenHash[t.TokenHash] = t
}

func parseEndpoint(s *ruleParser) {
	name := s.parseName("an endpoint name")
	s.expectKeyword("model")
	target := s.parseName("a model name")
	s.addEndpoint(name, KindModel, target.text)
}

func parseService(s *ruleParser) {
	target := s.parseName("a service name")
	s.expectKeyword("endpoint")
	name := s.parseName("an endpoint name")
	s.addEndpoint(name, KindService, target.text)
}

func (s *ruleParser) addEndpoint(name word, kind Kind, target string) {
	s.expectKeyword("host")
	host := s.parseName("a host name")
	s.expectKeyword("zone")
	zone := s.parseName("an availability zone name")
	if !s.finish() {
		return
	}
	s.define("endpoint "+name.text, name)
	s.view.endpoints[name.text] = &Endpoint{
		Name: name.text, Kind: kind, Target: target, Host: host.text, Zone: zone.text,
	}
}

func parseHost(s *ruleParser) {
	host := s.parseName("a host name")
	s.expectKeyword("owner")
	owner := s.parseName("a half's name")
	if s.finish() {
		s.define("host "+host.text, host)
		s.hostOwners[host.text] = owner.text
		s.deferCheck(func() { s.requireHalf(owner) })
	}
}

// deferCheck queues a check that needs the whole file.
func (s *ruleParser) deferCheck(check func()) { s.deferredChecks = append(s.deferredChecks, check) }

func (s *ruleParser) requireHalf(w word) {
	if _, ok := s.definedOnLine["half "+w.text]; !ok && !s.invalidKeys["half "+w.text] {
		s.reject(w, "a half that a half rule defines")
	}
}

func parseHalf(s *ruleParser) {
	half := s.parseName("a half's name")
	s.expectKeyword("teams")
	// Several lines may list the teams of one half: a line is bounded, and a
	// half of the target scale has hundreds of teams.
	if _, again := s.definedOnLine["half "+half.text]; !again {
		s.define("half "+half.text, half)
	}
	teams := []word{s.parseName("a team name")}
	for !s.done() {
		teams = append(teams, s.parseName("a team name"))
	}
	if !s.finish() {
		return
	}
	for _, w := range teams {
		s.deferCheck(func() { s.assignHalf(w, half.text) })
	}
}

func (s *ruleParser) assignHalf(w word, half string) {
	t := s.requireTeam(w)
	if t == nil {
		return
	}
	if t.Half != "" && t.Half != half {
		s.reject(w, "a team that is in no other half (it is in "+t.Half+")")
		return
	}
	t.Half = half
}

func (s *ruleParser) requireTeam(w word) *Team {
	t, ok := s.view.teams[w.text]
	if !ok && !s.invalidKeys["team "+w.text] {
		s.reject(w, "a team that a team rule defines")
	}
	return t
}

// parseTarget reads "model NAME" or "service NAME".
func (s *ruleParser) parseTarget() (Kind, word) {
	w := s.next()
	switch {
	case s.invalid:
		return 0, word{}
	case w.text == "model":
		return KindModel, s.parseName("a model name")
	case w.text == "service":
		return KindService, s.parseName("a service name")
	}
	s.reject(w, `"model" or "service"`)
	return 0, word{}
}

func (s *ruleParser) requireTarget(kind Kind, w word) {
	if len(s.view.endpointsByTarget[targetKey{kind, w.text}]) > 0 || s.hasInvalidEndpointRule() {
		return
	}
	s.reject(w, "a "+kind.String()+" that an endpoint serves")
}

// hasInvalidEndpointRule reports whether a rule that defines an endpoint has a fault.
// What the endpoint would have served is not known then.
func (s *ruleParser) hasInvalidEndpointRule() bool {
	for key := range s.invalidKeys {
		if strings.HasPrefix(key, "endpoint") || strings.HasPrefix(key, "service") {
			return true
		}
	}
	return false
}

func parseAllow(s *ruleParser) {
	team := s.parseName("a team name")
	kind, target := s.parseTarget()
	if !s.finish() {
		return
	}
	s.view.allowed[allowKey{team.text, targetKey{kind, target.text}}] = true
	s.deferCheck(func() { s.requireTeam(team) })
	s.deferCheck(func() { s.requireTarget(kind, target) })
}

func parseOnceRule(s *ruleParser) {
	kind, target := s.parseTarget()
	r := AtMostOnceRule{Kind: kind, Target: target.text}
	if kind == KindService && !s.done() {
		r.Method = strings.ToUpper(s.parseName("an HTTP method").text)
		if !s.done() {
			r.PathPrefix = s.parsePath()
		}
	}
	if s.finish() {
		s.view.atMostOnce = append(s.view.atMostOnce, r)
		s.deferCheck(func() { s.requireTarget(kind, target) })
	}
}

func (s *ruleParser) parsePath() string {
	w := s.next()
	if !strings.HasPrefix(w.text, "/") {
		s.reject(w, `a path that starts with "/"`)
	} else if w.text != canonicalPath(w.text) {
		s.reject(w, `a path without "%", "?", "//", "/./" and "/../"`)
	}
	return w.text
}

func parseLimit(s *ruleParser) {
	team := s.parseName("a team name")
	s.define("limit "+team.text, team)
	var requests, tokens float64
	seen := map[string]bool{}
	for first := !s.invalid; first || !s.done(); first = false {
		w := s.next()
		s.rejectRepeated(seen, w)
		switch w.text {
		case "requests":
			requests = s.parseSuffixedNumber(`a rate such as "200/s"`, "/s", 0.001, maxRate)
		case "tokens":
			tokens = s.parseSuffixedNumber(`a rate such as "50000/s"`, "/s", 0.001, maxRate)
		default:
			s.reject(w, `"requests", "tokens" or end of rule`)
		}
	}
	if !s.finish() {
		return
	}
	s.deferCheck(func() {
		if t := s.requireTeam(team); t != nil {
			t.RequestsPerSecond, t.TokensPerSecond = requests, tokens
		}
	})
}

func parseWeights(s *ruleParser) {
	s.define("weights", s.words[0])
	weights := PlacementWeights{HitRate: 1, RecomputedTokens: 1, TailLatency: 1}
	fields := map[string]*float64{"hit": &weights.HitRate, "recompute": &weights.RecomputedTokens, "tail": &weights.TailLatency}
	seen := map[string]bool{}
	for !s.done() {
		w := s.next()
		s.rejectRepeated(seen, w)
		field, ok := fields[w.text]
		if !ok {
			s.reject(w, `"hit", "recompute", "tail" or end of rule`)
			return
		}
		*field = s.parseNumber("a weight from 0 to 1000", 0, maxPlacementWeight)
	}
	if s.finish() {
		s.view.PlacementWeights = weights
	}
}

func parseDrain(s *ruleParser) {
	kind := s.next()
	if kind.text != "endpoint" && kind.text != "host" {
		s.reject(kind, `"endpoint" or "host"`)
		return
	}
	name := s.parseName("the name of the " + kind.text)
	if s.finish() {
		s.deferCheck(func() { s.drainEndpoints(kind.text, name) })
	}
}

func (s *ruleParser) drainEndpoints(kind string, name word) {
	matching := s.endpointsByHost[name.text]
	if kind == "endpoint" {
		matching = nil
		if e, ok := s.view.endpoints[name.text]; ok {
			matching = []*Endpoint{e}
		}
	}
	for _, e := range matching {
		e.Draining = true
	}
	if len(matching) == 0 && !s.hasInvalidEndpointRule() {
		s.reject(name, "the "+kind+" of an endpoint that a rule defines")
	}
}

func parseRollout(s *ruleParser) {
	model := s.parseName("a model name")
	s.define("rollout "+model.text, model)
	s.expectKeyword("version")
	r := Rollout{Model: model.text, MaxConcurrentLoads: defaultConcurrentLoads, MinServingPercent: defaultMinServingPercent}
	r.WeightsVersion = s.parseName("a weights version").text
	seen := map[string]bool{}
	for !s.done() {
		w := s.next()
		s.rejectRepeated(seen, w)
		switch w.text {
		case "loads":
			r.MaxConcurrentLoads = s.parseInteger("a number of loads from 1 to 1000", 1, maxConcurrentLoads)
		case "keep":
			r.MinServingPercent = s.parsePercent()
		default:
			s.reject(w, `"loads", "keep" or end of rule`)
		}
	}
	if s.finish() {
		s.view.rollouts = append(s.view.rollouts, r)
		s.deferCheck(func() { s.requireTarget(KindModel, model) })
	}
}

// parsePercent reads a whole number of percent.
func (s *ruleParser) parsePercent() int {
	w := s.peek()
	v := s.parseSuffixedNumber(`a percentage such as "80%"`, "%", 0, 100)
	if v != math.Trunc(v) {
		s.reject(w, "a whole number of percent")
	}
	return int(v)
}

func parseFencing(s *ruleParser) {
	name := s.parseName("an endpoint name")
	mode := s.next()
	if !s.invalid && mode.text != "honoured" && mode.text != "ignored" {
		s.reject(mode, `"honoured" or "ignored"`)
	}
	if !s.finish() {
		return
	}
	s.define("fencing "+name.text, name)
	s.deferCheck(func() {
		e, ok := s.view.endpoints[name.text]
		if !ok {
			if !s.hasInvalidEndpointRule() {
				s.reject(name, "an endpoint that a rule defines")
			}
			return
		}
		e.IgnoresFencing = mode.text == "ignored"
	})
}
