package outcomes

import (
	"fmt"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/prefix"
)

// request is what a caller wants, with what the harness knows about it.
type request struct {
	// key is unique for each request of a caller; copies share it.
	key        string
	team       string
	atMostOnce bool
	// tokens is the length of the output.
	outputTokens int
	prompt       string
	// service is the time that a plain service call takes, at random if 0.
	serviceDuration time.Duration
	// body tells apart requests that reuse a key.
	body string
	// bigAnswer is the size of a plain service's answer in bytes, or 0.
	answerPaddingBytes int
	// crashAt is the token at which the request kills its engine, or -1.
	crashAtToken int
}

// token returns the only right token of the output at index i.
func (r *request) expectedToken(i int) string { return fmt.Sprintf("%s#%d", r.key, i) }

// ident tells requests apart that reuse a key with another body.
func (r *request) keyAndBody() string { return r.key + r.body }

func (r *request) expectedAnswer() string {
	return "answer-" + r.key + strings.Repeat(".", r.answerPaddingBytes)
}

func (r *request) fingerprint() uint64 {
	return prefix.Namespace{Team: r.team, Model: r.key, Adapter: r.body}.Hash()
}

// Timing of the fake engine and service.
const (
	prefillTimePerBlock    = 20 * time.Millisecond
	tokenInterval          = 10 * time.Millisecond
	typicalServiceDuration = 60 * time.Millisecond
	engineRestartDuration  = 800 * time.Millisecond
	engineDetectionDelay   = 20 * time.Millisecond
)

// cachedBlock says who computed a block.
type cachedBlock struct {
	team        string
	weights     string
	incarnation uint64
}

// engine is a fake engine with a plain service beside it. It outlives its
// agent's process.
type engine struct {
	cluster     *cluster
	name        string
	up          bool
	incarnation uint64
	weights     string
	jobs        map[string]*job
	cache       map[uint64]cachedBlock
	// keepCache is a deliberate fault: the cache outlives a crash.
	keepCacheAfterCrash bool
}

type job struct {
	id        string
	request   *request
	nextToken int
	isPaused  func() bool
	onTokens  func(offset int, tokens []string)
	onDone    func(answer string)
	ended     bool
}

func (e *engine) start(j *job, blockHashes []uint64) {
	e.jobs[j.id] = j
	e.cluster.history.recordRun(j.id, j.request)
	if j.request.atMostOnce {
		d := j.request.serviceDuration
		if d == 0 {
			d = e.cluster.sim.randomDuration(typicalServiceDuration/2, typicalServiceDuration*2)
		}
		e.cluster.sim.scheduleAfter(d, func() {
			if !j.ended {
				e.finish(j, j.request.expectedAnswer())
			}
		})
		return
	}
	uncachedBlocks := 0
	for _, h := range blockHashes {
		if c, ok := e.cache[h]; ok {
			e.cluster.history.checkCacheReuse(j.request, e, c)
			continue
		}
		uncachedBlocks++
		e.cache[h] = cachedBlock{j.request.team, e.weights, e.incarnation}
	}
	e.cluster.sim.scheduleAfter(time.Duration(uncachedBlocks+1)*prefillTimePerBlock, func() { e.produceToken(j) })
}

func (e *engine) produceToken(j *job) {
	switch {
	case j.ended:
		return
	case j.isPaused():
		e.cluster.sim.scheduleAfter(tokenInterval, func() { e.produceToken(j) })
		return
	case j.request.crashAtToken >= 0 && j.nextToken >= j.request.crashAtToken:
		e.cluster.history.recordEngineCrash(j.request)
		e.crash()
		return
	case j.nextToken >= j.request.outputTokens:
		e.finish(j, "")
		return
	}
	j.onTokens(j.nextToken, []string{j.request.expectedToken(j.nextToken)})
	j.nextToken++
	e.cluster.sim.scheduleAfter(tokenInterval, func() { e.produceToken(j) })
}

func (e *engine) finish(j *job, answer string) {
	delete(e.jobs, j.id)
	j.ended = true
	j.onDone(answer)
}

func (e *engine) cancel(id string) {
	if j := e.jobs[id]; j != nil {
		j.ended = true
		delete(e.jobs, id)
	}
}

// crash ends the engine with all its work; it comes back with an empty cache.
func (e *engine) crash() {
	if !e.up {
		return
	}
	e.up = false
	for id := range e.jobs {
		e.jobs[id].ended = true
	}
	clear(e.jobs)
	a := e.cluster.agents[e.name]
	a.runAfter(engineDetectionDelay, a.handleEngineDown)
	e.cluster.sim.scheduleAfter(engineRestartDuration, func() {
		e.up = true
		e.incarnation = e.cluster.nextIncarnation()
		if !e.keepCacheAfterCrash {
			clear(e.cache)
		}
		if a.alive {
			a.runAfter(engineDetectionDelay, a.pollEngine)
		}
	})
}
