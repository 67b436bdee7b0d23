// Package workload generates the traffic of a deployment from a seed: prompts that
// share nested prefixes, calls to an HTTP service, and open-loop arrival times. The
// same Config always gives the same sequence of requests.
//
// A prompt consists of a guidance document that all teams share, a prefix of one
// client or desk of the team, and text of its own.
package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/workload/answer"
)

// Kind is the kind of a request.
type Kind int

// Kinds of requests.
const (
	// KindCompletion is a streamed completion.
	KindCompletion Kind = iota + 1
	// KindNonIdempotentCall is a service call that must run at most once. It has
	// an idempotency key.
	KindNonIdempotentCall
	// KindOtherCall is a service call that reads, or that writes without an
	// idempotency key.
	KindOtherCall
)

// Request is a generated request and the time to send it.
type Request struct {
	// Sequence is the zero-based number of the request.
	Sequence int
	// SendAt is the intended send time, relative to the start of the workload.
	SendAt time.Duration
	Team   string
	Kind   Kind

	// Model, Prompt and MaxTokens are set for a completion.
	Model     string
	Prompt    string
	MaxTokens int
	// CrashesEngine is true when the prompt crashes each engine that runs it. The
	// caller of such a request retries it after every failure.
	CrashesEngine bool
	// Guidance is the name of the guidance document, and TeamPrefix the index of
	// the team prefix, that the prompt begins with.
	Guidance   string
	TeamPrefix int

	// Service, Method, Path, Body and IdempotencyKey are set for a service call.
	Service        string
	Method         string
	Path           string
	Body           string
	IdempotencyKey string
}

// Content returns the prompt or body. It is unique to the request; for a read it is
// empty.
func (r *Request) Content() string {
	if r.Kind == KindCompletion {
		return r.Prompt
	}
	return r.Body
}

// MeanTokens holds the mean lengths, in tokens, of the prompt parts and the output.
// Actual lengths vary uniformly from 0.5 to 1.5 times the mean.
type MeanTokens struct {
	Guidance    int
	TeamPrefix  int
	RequestText int
	Output      int
}

// Config holds the parameters of a Generator. Zero values mean defaults.
type Config struct {
	Deployment Deployment
	Seed       uint64
	// RunID makes prompts, bodies and idempotency keys differ from those of other
	// runs with the same seed. It does not change lengths or times.
	RunID string
	// RequestsPerSecond is the mean request rate before the hot set shifts. Default 20.
	RequestsPerSecond float64
	// MaxRequests bounds the number of requests. 0 means no bound.
	MaxRequests int
	// Duration bounds the intended send times. Default 1 minute.
	Duration time.Duration
	// HotSetShiftAt is the time, relative to the start, at which other guidance
	// documents and team prefixes become the frequent ones. Default Duration/2.
	HotSetShiftAt time.Duration
	// NonIdempotentPercent and OtherCallPercent are the percentages of requests
	// that are KindNonIdempotentCall and KindOtherCall. Defaults 5 and 10.
	NonIdempotentPercent, OtherCallPercent int
	// CrashEvery makes each request whose sequence number is divisible by it, except
	// request 0, a completion that crashes engines. 0 means none.
	CrashEvery int
	// MeanTokens defaults to 900 guidance, 400 team prefix, 80 request text and 48
	// output tokens.
	MeanTokens MeanTokens
}

const (
	defaultRequestsPerSecond = 20
	defaultDuration          = time.Minute
	// bytesPerToken equals prefix.MeanBytesPerToken of decision/prefix, with which the
	// stand-ins count prompt tokens.
	bytesPerToken = 4
	// zipfExponent is the exponent of the Zipf distributions of guidance documents
	// and team prefixes.
	zipfExponent = 1.1
)

func (c *Config) setDefaults() {
	setDefault(&c.RequestsPerSecond, defaultRequestsPerSecond)
	setDefault(&c.Duration, defaultDuration)
	setDefault(&c.HotSetShiftAt, c.Duration/2)
	setDefault(&c.NonIdempotentPercent, 5)
	setDefault(&c.OtherCallPercent, 10)
	setDefault(&c.MeanTokens.Guidance, 900)
	setDefault(&c.MeanTokens.TeamPrefix, 400)
	setDefault(&c.MeanTokens.RequestText, 80)
	setDefault(&c.MeanTokens.Output, 48)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Generator produces requests in order of their send times. It is not safe for
// concurrent use.
type Generator struct {
	cfg Config
	rng *rand.Rand
	// lastSendAt is the send time of the last request, and generatedCount the number
	// of requests generated so far.
	lastSendAt     time.Duration
	generatedCount int
	// sharedTextsByTitle caches the shared prompt parts.
	sharedTextsByTitle map[string]string
	// cumulativeZipfWeights maps a number of ranks to the cumulative Zipf weights of
	// these ranks.
	cumulativeZipfWeights map[int][]float64
	// teamsByTraffic holds the index of each team once per percent of its traffic.
	teamsByTraffic []int
}

// New returns a generator of the workload that cfg describes.
func New(cfg Config) *Generator {
	cfg.setDefaults()
	g := &Generator{
		cfg:                   cfg,
		rng:                   rand.New(rand.NewPCG(cfg.Seed, 0)),
		sharedTextsByTitle:    map[string]string{},
		cumulativeZipfWeights: map[int][]float64{},
	}
	for i, t := range cfg.Deployment.Teams {
		for range t.TrafficPercent {
			g.teamsByTraffic = append(g.teamsByTraffic, i)
		}
	}
	return g
}

// Next returns the next request, or false at the end of the workload.
func (g *Generator) Next() (Request, bool) {
	requestsPerSecond := g.cfg.RequestsPerSecond
	if g.hotSetShifted() {
		requestsPerSecond *= g.cfg.Deployment.PeakRateFactor
	}
	g.lastSendAt += time.Duration(g.rng.ExpFloat64() / requestsPerSecond * float64(time.Second))
	if g.lastSendAt >= g.cfg.Duration || (g.cfg.MaxRequests > 0 && g.generatedCount >= g.cfg.MaxRequests) {
		return Request{}, false
	}
	team := g.cfg.Deployment.Teams[g.teamsByTraffic[g.rng.IntN(len(g.teamsByTraffic))]]
	r := Request{Sequence: g.generatedCount, SendAt: g.lastSendAt, Team: team.Name}
	g.generatedCount++
	r.CrashesEngine = g.cfg.CrashEvery > 0 && r.Sequence > 0 && r.Sequence%g.cfg.CrashEvery == 0
	switch kind := g.rng.IntN(100); {
	case r.CrashesEngine:
		g.fillCompletion(&r, team)
	case kind < g.cfg.NonIdempotentPercent:
		g.fillNonIdempotentCall(&r)
	case kind < g.cfg.NonIdempotentPercent+g.cfg.OtherCallPercent:
		g.fillOtherCall(&r)
	default:
		g.fillCompletion(&r, team)
	}
	return r, true
}

// All returns all remaining requests.
func (g *Generator) All() []Request {
	var all []Request
	for {
		r, ok := g.Next()
		if !ok {
			return all
		}
		all = append(all, r)
	}
}

func (g *Generator) hotSetShifted() bool { return g.lastSendAt >= g.cfg.HotSetShiftAt }

// uniqueID returns an id that is unique to the run, seed and request.
func (g *Generator) uniqueID(r *Request) string {
	return fmt.Sprintf("%s-%x-%d", g.cfg.RunID, g.cfg.Seed, r.Sequence)
}

func (g *Generator) fillNonIdempotentCall(r *Request) {
	d := g.cfg.Deployment
	r.Kind, r.Service, r.Method, r.Path = KindNonIdempotentCall, d.Service, http.MethodPost, d.NonIdempotentPath
	r.IdempotencyKey = "key-" + g.uniqueID(r)
	r.Body = fmt.Sprintf(`{"entry":%q,"team":%q,"amount":%d}`, g.uniqueID(r), r.Team, 1+g.rng.IntN(500))
}

func (g *Generator) fillOtherCall(r *Request) {
	d := g.cfg.Deployment
	r.Kind, r.Service = KindOtherCall, d.Service
	if g.rng.IntN(2) == 0 {
		r.Method, r.Path = http.MethodGet, fmt.Sprintf("%s/%d", d.ReadPath, g.rng.IntN(1000))
		return
	}
	r.Method, r.Path = http.MethodPost, d.WritePath
	r.Body = fmt.Sprintf(`{"note":%q,"team":%q}`, g.uniqueID(r), r.Team)
}

func (g *Generator) fillCompletion(r *Request, team Team) {
	d := g.cfg.Deployment
	r.Kind, r.Model = KindCompletion, d.Model
	r.Guidance = d.Guidance[g.zipfRank(len(d.Guidance))]
	r.TeamPrefix = g.zipfRank(team.PrefixCount)
	if g.hotSetShifted() {
		// The team prefixes that were rare are now the frequent ones.
		r.TeamPrefix = team.PrefixCount - 1 - r.TeamPrefix
		if g.rng.IntN(100) < d.PeakGuidancePercent {
			r.Guidance = d.PeakGuidance
		}
		if g.rng.IntN(100) < d.PeakTeamPrefixPercent {
			r.TeamPrefix = team.PrefixCount - 1
		}
	}
	mean := g.cfg.MeanTokens
	r.Prompt = g.sharedText("guidance "+r.Guidance, mean.Guidance) +
		g.sharedText(fmt.Sprintf("%s %s %d", d.TeamPrefixKind, team.Name, r.TeamPrefix), mean.TeamPrefix) +
		fmt.Sprintf("request %s: ", g.uniqueID(r)) + randomText(g.rng, g.randomTokenCount(g.rng, mean.RequestText))
	r.MaxTokens = g.randomTokenCount(g.rng, mean.Output)
	if r.CrashesEngine {
		r.Prompt += answer.CrashMarker
	}
}

// randomTokenCount returns a number from 0.5 to 1.5 times mean, at least 1.
func (g *Generator) randomTokenCount(rng *rand.Rand, mean int) int {
	return max(1, mean/2+rng.IntN(mean+1))
}

// zipfRank returns a Zipf-distributed rank from 0 to n-1, 0 being the most frequent.
func (g *Generator) zipfRank(n int) int {
	cumulative := g.cumulativeZipfWeights[n]
	if cumulative == nil {
		total := 0.0
		for i := range n {
			total += math.Pow(float64(i+1), -zipfExponent)
			cumulative = append(cumulative, total)
		}
		g.cumulativeZipfWeights[n] = cumulative
	}
	x := g.rng.Float64() * cumulative[n-1]
	for i, bound := range cumulative {
		if x < bound {
			return i
		}
	}
	return n - 1
}

// sharedText returns the prompt part with the given title. It depends only on the
// seed and title, so that the order of requests does not change it.
func (g *Generator) sharedText(title string, meanTokens int) string {
	if t, ok := g.sharedTextsByTitle[title]; ok {
		return t
	}
	// A polynomial hash whose multiplier is the 64-bit FNV prime.
	var titleHash uint64
	for _, b := range []byte(title) {
		titleHash = titleHash*1099511628211 + uint64(b)
	}
	rng := rand.New(rand.NewPCG(g.cfg.Seed, titleHash))
	t := "[" + title + "]\n" + randomText(rng, g.randomTokenCount(rng, meanTokens)) + "\n"
	g.sharedTextsByTitle[title] = t
	return t
}

var vocabulary = strings.Fields(`the check cold store record before every refill and note pressure of
valve seal gauge crew photo desk caption consent name date place team form entry leak
refrigerant cylinder weight report audit quarter template field officer must should
when after until river flood road warning source editor archive sport county school
temperature log truck port sample lab client signature review submit publish never`)

// randomText returns words of at least the given number of tokens in total.
func randomText(rng *rand.Rand, tokens int) string {
	var b strings.Builder
	for b.Len() < tokens*bytesPerToken {
		b.WriteString(vocabulary[rng.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}
