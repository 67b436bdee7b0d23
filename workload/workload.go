// Package workload generates the traffic of both deployments from a seed:
// prompts that share nested prefixes, calls to the plain service, and
// open-loop arrival times. It is pure: the same Config gives the same
// sequence.
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
	// KindOnce is the non-idempotent call to the plain service.
	KindNonIdempotentCall
	// KindCall is another call to the plain service.
	KindOtherCall
)

// Request is one request of a caller.
type Request struct {
	// Sequence counts the requests from 0.
	Sequence int
	// At is the intended send time since the start.
	SendAt time.Duration
	Team   string
	Kind   Kind

	// Model, Prompt and MaxTokens belong to a completion.
	Model     string
	Prompt    string
	MaxTokens int
	// Crashes is true when the prompt crashes each engine that runs it. Its
	// caller keeps sending it.
	CrashesEngine bool
	// Guidance and Layer name the shared parts of the prompt.
	Guidance   string
	TeamPrefix int

	// Service, Method, Path, Body and IdempotencyKey belong to a call.
	Service        string
	Method         string
	Path           string
	Body           string
	IdempotencyKey string
}

// Content returns the prompt or body, which is different for each request but
// reads.
func (r *Request) Content() string {
	if r.Kind == KindCompletion {
		return r.Prompt
	}
	return r.Body
}

// Sizes are the lengths of the prompt layers and outputs in tokens. Each text
// has a length from half to one and a half times the size.
type MeanTokens struct {
	Guidance    int
	TeamPrefix  int
	RequestText int
	Output      int
}

// Config are the parameters of a Generator. Zero values mean defaults.
type Config struct {
	Deployment Deployment
	Seed       uint64
	// Run makes prompts, bodies and idempotency keys differ from those of
	// other runs with the same seed. It does not change lengths or times.
	RunID string
	// Rate is the mean number of requests per second. Default 20.
	Rate float64
	// Count bounds the requests. Default no bound.
	MaxRequests int
	// Length bounds the intended send times. Default 1 minute.
	Duration time.Duration
	// ShiftAt is the time at which the hot set shifts. Default Length/2.
	HotSetShiftAt time.Duration
	// OncePercent and CallPercent are the parts of the requests that are
	// non-idempotent and other calls to the plain service. Defaults 5 and 10.
	NonIdempotentPercent, OtherCallPercent int
	// CrashEvery makes each request with a sequence number divisible by it
	// one that crashes engines, except the first. Default none.
	CrashEvery int
	// Sizes default to 900, 400, 80 and 48 tokens.
	MeanTokens MeanTokens
}

const (
	defaultRate     = 20
	defaultDuration = time.Minute
	// bytesPerToken is that of decision/prefix, which the stand-ins use.
	bytesPerToken = 4
	// zipfExponent of the ranks of guidance documents and layers.
	zipfExponent = 1.1
)

func (c *Config) setDefaults() {
	setDefault(&c.Rate, defaultRate)
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
	cfg            Config
	rng            *rand.Rand
	sendAt         time.Duration
	generated      int
	sharedTexts    map[string]string
	zipfSums       map[int][]float64
	teamsByTraffic []int
}

// New returns a generator.
func New(cfg Config) *Generator {
	cfg.setDefaults()
	g := &Generator{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, 0)),
		sharedTexts: map[string]string{},
		zipfSums:    map[int][]float64{},
	}
	for i, t := range cfg.Deployment.Teams {
		for range t.TrafficPercent {
			g.teamsByTraffic = append(g.teamsByTraffic, i)
		}
	}
	return g
}

// Next returns the next request, or false at the end.
func (g *Generator) Next() (Request, bool) {
	rate := g.cfg.Rate
	if g.hotSetShifted() {
		rate *= g.cfg.Deployment.PeakRateFactor
	}
	g.sendAt += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
	if g.sendAt >= g.cfg.Duration || (g.cfg.MaxRequests > 0 && g.generated >= g.cfg.MaxRequests) {
		return Request{}, false
	}
	team := g.cfg.Deployment.Teams[g.teamsByTraffic[g.rng.IntN(len(g.teamsByTraffic))]]
	r := Request{Sequence: g.generated, SendAt: g.sendAt, Team: team.Name}
	g.generated++
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

// All returns the whole sequence.
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

func (g *Generator) hotSetShifted() bool { return g.sendAt >= g.cfg.HotSetShiftAt }

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
		// The layers that were rare before are now the frequent ones.
		r.TeamPrefix = team.PrefixCount - 1 - r.TeamPrefix
		if g.rng.IntN(100) < d.PeakGuidancePercent {
			r.Guidance = d.PeakGuidance
		}
		if g.rng.IntN(100) < d.PeakTeamPrefixPercent {
			r.TeamPrefix = team.PrefixCount - 1
		}
	}
	size := g.cfg.MeanTokens
	r.Prompt = g.sharedText("guidance "+r.Guidance, size.Guidance) +
		g.sharedText(fmt.Sprintf("%s %s %d", d.TeamPrefixKind, team.Name, r.TeamPrefix), size.TeamPrefix) +
		fmt.Sprintf("request %s: ", g.uniqueID(r)) + randomText(g.rng, g.randomLength(g.rng, size.RequestText))
	r.MaxTokens = g.randomLength(g.rng, size.Output)
	if r.CrashesEngine {
		r.Prompt += answer.CrashMarker
	}
}

// length returns a length around size tokens.
func (g *Generator) randomLength(rng *rand.Rand, size int) int {
	return max(1, size/2+rng.IntN(size+1))
}

// rank returns a rank from 0 to n-1; low ranks are the most frequent.
func (g *Generator) zipfRank(n int) int {
	sums := g.zipfSums[n]
	if sums == nil {
		total := 0.0
		for i := range n {
			total += math.Pow(float64(i+1), -zipfExponent)
			sums = append(sums, total)
		}
		g.zipfSums[n] = sums
	}
	x := g.rng.Float64() * sums[n-1]
	for i, sum := range sums {
		if x < sum {
			return i
		}
	}
	return n - 1
}

// text returns the shared text with the given title. It depends only on the
// seed, so that it does not change with the order of requests.
func (g *Generator) sharedText(title string, size int) string {
	if t, ok := g.sharedTexts[title]; ok {
		return t
	}
	var titleHash uint64
	for _, b := range []byte(title) {
		titleHash = titleHash*1099511628211 + uint64(b)
	}
	rng := rand.New(rand.NewPCG(g.cfg.Seed, titleHash))
	t := "[" + title + "]\n" + randomText(rng, g.randomLength(rng, size)) + "\n"
	g.sharedTexts[title] = t
	return t
}

var vocabulary = strings.Fields(`the check cold store record before every refill and note pressure of
valve seal gauge crew photo desk caption consent name date place team form entry leak
refrigerant cylinder weight report audit quarter template field officer must should
when after until river flood road warning source editor archive sport county school
temperature log truck port sample lab client signature review submit publish never`)

// words returns about the given number of tokens of text.
func randomText(rng *rand.Rand, tokens int) string {
	var b strings.Builder
	for b.Len() < tokens*bytesPerToken {
		b.WriteString(vocabulary[rng.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}
