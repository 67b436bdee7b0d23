package outcomes

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/arbutusline/arbutusline/decision/attempt"
)

// maxParallelRuns bounds the number of simulations that run at once.
const maxParallelRuns = 4

// benchResult is one line of the benchmark's output.
type benchResult struct {
	Benchmark string `json:"bench"`
	Name      string `json:"name"`
	// Fault is the kind of fault, or "all" or "none".
	Fault string `json:"fault,omitempty"`
	Seeds int    `json:"seeds,omitempty"`

	Submissions      *int     `json:"submissions,omitempty"`
	RanTwice         *int     `json:"doubled,omitempty"`
	FalseDone        *int     `json:"lost,omitempty"`
	IncompleteOutput *int     `json:"cut,omitempty"`
	ForeignOutput    *int     `json:"crossed,omitempty"`
	FalseNotRun      *int     `json:"false_not_run,omitempty"`
	NoAnswer         *int     `json:"no_answer,omitempty"`
	OtherViolations  *int     `json:"other_breaches,omitempty"`
	UnknownShare     *float64 `json:"unknown_share,omitempty"`
	// UnknownAtMostOnceShare is the share of at-most-once requests for which no copy
	// received a known outcome.
	UnknownAtMostOnceShare *float64 `json:"unknown_once_share,omitempty"`

	RatePerSecond      *int     `json:"rate_per_s,omitempty"`
	Forwarding         *bool    `json:"forwarding,omitempty"`
	WritesPerRequest   *float64 `json:"store_writes_per_request,omitempty"`
	WritesPerSecond    *float64 `json:"store_writes_per_s,omitempty"`
	ReadsPerSecond     *float64 `json:"store_reads_per_s,omitempty"`
	WrittenKBPerSecond *float64 `json:"store_write_kb_per_s,omitempty"`
	P50MS              *float64 `json:"p50_ms,omitempty"`
	P99MS              *float64 `json:"p99_ms,omitempty"`
	AddedP50MS         *float64 `json:"added_p50_ms,omitempty"`
	AddedP99MS         *float64 `json:"added_p99_ms,omitempty"`

	Copies               *int     `json:"copies,omitempty"`
	RandomPlacementShare *float64 `json:"spill,omitempty"`
	MaxCrashes           *int     `json:"max_crashes,omitempty"`
	SeedsOverTwoCrashes  *int     `json:"seeds_over_two_crashes,omitempty"`
	NeighboursRefused    *int     `json:"neighbours_refused,omitempty"`
	MeanCrashes          *float64 `json:"mean_crashes,omitempty"`
}

func pointerTo[T any](v T) *T { return &v }

// Run runs the benchmark over the given number of seeds and writes each result as a
// line of JSON. Times are virtual, so the results are the same on every run.
func Run(w io.Writer, seeds int) error {
	enc := json.NewEncoder(w)
	emit := func(l benchResult) error {
		l.Benchmark = "outcomes"
		return enc.Encode(l)
	}
	if err := emit(measureFaults("all", AllFaultKinds, seeds, 10)); err != nil {
		return err
	}
	if err := emit(measureFaults("none", nil, max(1, seeds/20), 0)); err != nil {
		return err
	}
	for _, k := range AllFaultKinds {
		if err := emit(measureFaults(string(k), []FaultKind{k}, max(1, seeds/20), 4)); err != nil {
			return err
		}
	}
	for _, rate := range []int{1, 10, 100, 1000} {
		for _, forwarding := range []bool{true, false} {
			if rate == 1000 && !forwarding {
				// Thousands of conflicting writes per second add no information.
				continue
			}
			if err := emit(measureClaims(rate, forwarding)); err != nil {
				return err
			}
		}
	}
	for _, c := range []struct {
		copies               int
		randomPlacementShare float64
	}{{1, 0}, {1, 0.1}, {4, 0}, {4, 0.1}, {4, 1}} {
		if err := emit(measureCrashes(c.copies, c.randomPlacementShare, max(1, seeds/5))); err != nil {
			return err
		}
	}
	return nil
}

// runSeeds runs fn for the seeds from 0 to seeds-1 in parallel and returns the results
// in order.
func runSeeds[T any](seeds int, fn func(seed uint64) T) []T {
	results := make([]T, seeds)
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(maxParallelRuns, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := range next {
				results[i] = fn(uint64(i))
			}
		})
	}
	for i := range seeds {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}

// faultResult is the result of one schedule.
type faultResult struct {
	summary    Summary
	violations []Violation
	// atMostOnce counts the at-most-once requests, unknown those of them that were
	// left with an unknown outcome.
	atMostOnce int
	unknown    int
}

// measureFaults counts violations and unknown outcomes in random schedules with the
// given kinds of faults.
func measureFaults(name string, kinds []FaultKind, seeds, maxFaults int) benchResult {
	results := runSeeds(seeds, func(seed uint64) faultResult {
		s := Schedule{Seed: seed}
		if len(kinds) > 0 {
			s = RandomSchedule(seed, rand.New(rand.NewPCG(seed, 2)).IntN, kinds, maxFaults)
		}
		cl := s.simulate(Config{})
		v, sum := cl.history.check()
		atMostOnce, unknown := cl.history.countAtMostOnceOutcomes()
		return faultResult{sum, v, atMostOnce, unknown}
	})
	var total Summary
	otherViolations, atMostOnce, unknown := 0, 0, 0
	for _, r := range results {
		total.Submissions += r.summary.Submissions
		total.Unknown += r.summary.Unknown
		total.RanTwice += r.summary.RanTwice
		total.FalseDone += r.summary.FalseDone
		total.IncompleteOutput += r.summary.IncompleteOutput
		total.ForeignOutput += r.summary.ForeignOutput
		total.FalseNotRun += r.summary.FalseNotRun
		total.NoAnswer += r.summary.NoAnswer
		for _, v := range r.violations {
			if v.Invariant == invariantCacheIsolation || v.Invariant == invariantFastRestart || v.Invariant == invariantGracefulStop {
				otherViolations++
			}
		}
		atMostOnce += r.atMostOnce
		unknown += r.unknown
	}
	return benchResult{Name: "faults", Fault: name, Seeds: seeds, Submissions: &total.Submissions, RanTwice: &total.RanTwice,
		FalseDone: &total.FalseDone, IncompleteOutput: &total.IncompleteOutput, ForeignOutput: &total.ForeignOutput, FalseNotRun: &total.FalseNotRun, NoAnswer: &total.NoAnswer,
		OtherViolations: &otherViolations, UnknownShare: ratio(total.Unknown, total.Submissions),
		UnknownAtMostOnceShare: ratio(unknown, atMostOnce)}
}

func ratio(count, total int) *float64 {
	return pointerTo(round(float64(count) / float64(max(1, total))))
}

func round(v float64) float64 {
	const scale = 1e5
	return float64(int64(v*scale+0.5)) / scale
}

// countAtMostOnceOutcomes counts the at-most-once requests and those for which no copy
// received a known outcome.
func (h *history) countAtMostOnceOutcomes() (atMostOnce, unknown int) {
	type end struct{ known, unknown bool }
	ends := map[string]*end{}
	for _, sub := range h.submissions {
		if !sub.request.atMostOnce {
			continue
		}
		e := ends[sub.request.keyAndBody()]
		if e == nil {
			e = &end{}
			ends[sub.request.keyAndBody()] = e
		}
		switch {
		case sub.outcome == attempt.OutcomeDone || sub.outcome == attempt.OutcomeNotRun:
			e.known = true
		default:
			e.unknown = true
		}
	}
	for _, e := range ends {
		if e.unknown && !e.known {
			unknown++
		}
	}
	return len(ends), unknown
}

// Parameters of measureClaims: the product's number of partitions, and enough routers
// and agents for 1,000 calls per second.
const (
	claimBenchRouters         = 24
	claimBenchAgents          = 40
	claimBenchPartitions      = 32
	claimBenchDuration        = 10 * time.Second
	claimBenchServiceDuration = 40 * time.Millisecond
)

// measureClaims measures the store calls and the latency of at-most-once requests, and
// how much latency they add compared with other requests of the same duration.
func measureClaims(rate int, forwarding bool) benchResult {
	duration := claimBenchDuration
	if rate == 1 {
		duration *= 10
	}
	cl := newCluster(Config{Seed: uint64(rate), Routers: claimBenchRouters, Agents: claimBenchAgents, Partitions: claimBenchPartitions,
		RandomPlacementShare: 1, NoForwarding: !forwarding})
	meanInterval := time.Second / time.Duration(rate)
	var submitNext func(atMostOnce bool)
	submitNext = func(atMostOnce bool) {
		if cl.sim.now >= duration {
			return
		}
		cl.requestCount++
		// Prefill and two tokens take as long as the plain service.
		req := &request{key: "q" + strconv.Itoa(cl.requestCount), team: "t1", atMostOnce: atMostOnce, outputTokens: 2, crashAtToken: -1,
			serviceDuration: claimBenchServiceDuration}
		cl.submitRequest(req, callerRetryWindow)
		cl.sim.scheduleAfter(time.Duration(cl.sim.rng.ExpFloat64()*float64(meanInterval)), func() { submitNext(atMostOnce) })
	}
	submitNext(true)
	submitNext(false)
	cl.sim.runUntil(duration + 10*time.Second)
	// Index 1 holds the durations of at-most-once requests, index 0 those of all others.
	var durations [2][]time.Duration
	requests := 0
	for _, sub := range cl.history.submissions {
		i := 0
		if sub.request.atMostOnce {
			i = 1
			requests++
		}
		if sub.outcome == attempt.OutcomeDone {
			durations[i] = append(durations[i], sub.endedAt-sub.submittedAt)
		}
	}
	p50, p99 := quantileMS(durations[1], 0.5), quantileMS(durations[1], 0.99)
	seconds := duration.Seconds()
	return benchResult{Name: "claims", RatePerSecond: &rate, Forwarding: &forwarding,
		WritesPerRequest:   pointerTo(round(float64(cl.store.writes) / float64(max(1, requests)))),
		WritesPerSecond:    pointerTo(round(float64(cl.store.writes) / seconds)),
		ReadsPerSecond:     pointerTo(round(float64(cl.store.reads) / seconds)),
		WrittenKBPerSecond: pointerTo(round(float64(cl.store.writtenBytes) / 1000 / seconds)),
		P50MS:              &p50, P99MS: &p99,
		AddedP50MS: pointerTo(round(p50 - quantileMS(durations[0], 0.5))), AddedP99MS: pointerTo(round(p99 - quantileMS(durations[0], 0.99)))}
}

func quantileMS(durations []time.Duration, q float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return round(float64(durations[int(q*float64(len(durations)-1))].Microseconds()) / 1000)
}

// measureCrashes counts the engine crashes that one request causes while its callers
// send it again, and the other requests that are quarantined because of it.
func measureCrashes(copies int, randomPlacementShare float64, seeds int) benchResult {
	type result struct{ crashes, refused int }
	results := runSeeds(seeds, func(seed uint64) result {
		cl := newCluster(Config{Seed: seed, Routers: 4, Agents: 8, RandomPlacementShare: randomPlacementShare})
		cl.submitLoad(8*time.Second, meanRequestInterval)
		cl.sim.scheduleAt(2*time.Second, func() { cl.submitCrashingRequest(copies) })
		cl.sim.runUntil(50 * time.Second)
		_, sum := cl.history.check()
		r := result{crashes: sum.MaxCrashes}
		for _, sub := range cl.history.submissions {
			if sub.request.crashAtToken < 0 && sub.code == attempt.CodeQuarantined {
				r.refused++
			}
		}
		return r
	})
	maxCrashes, seedsOverTwo, neighboursRefused, total := 0, 0, 0, 0
	for _, r := range results {
		maxCrashes = max(maxCrashes, r.crashes)
		total += r.crashes
		neighboursRefused += r.refused
		if r.crashes > 2 {
			seedsOverTwo++
		}
	}
	return benchResult{Name: "bad-request", Seeds: seeds, Copies: &copies, RandomPlacementShare: &randomPlacementShare, MaxCrashes: &maxCrashes, SeedsOverTwoCrashes: &seedsOverTwo,
		NeighboursRefused: &neighboursRefused, MeanCrashes: pointerTo(round(float64(total) / float64(seeds)))}
}
