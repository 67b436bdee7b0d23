package outcomes

import (
	"fmt"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/prefix"
)

// request is a caller's request, with how it behaves in the simulation. An at-most-once
// request calls the plain service, any other request generates tokens.
type request struct {
	// key is unique for each request of a caller; copies share it.
	key        string
	team       string
	atMostOnce bool
	// outputTokens is the number of tokens that the request generates.
	outputTokens int
	prompt       string
	// serviceDuration is how long a plain service call takes; 0 means a random time.
	serviceDuration time.Duration
	// body distinguishes requests that reuse a key.
	body string
	// answerPaddingBytes is added to the size of a plain service's answer.
	answerPaddingBytes int
	// crashAtToken is the index of the token at which the request crashes its engine,
	// or -1.
	crashAtToken int
}

// expectedToken returns the token with index i of the correct output.
func (r *request) expectedToken(i int) string { return fmt.Sprintf("%s#%d", r.key, i) }

// keyAndBody identifies the request also when its key is reused with another body.
func (r *request) keyAndBody() string { return r.key + r.body }

func (r *request) expectedAnswer() string {
	return "answer-" + r.key + strings.Repeat(".", r.answerPaddingBytes)
}

func (r *request) fingerprint() uint64 {
	return prefix.Namespace{Team: r.team, Model: r.key, Adapter: r.body}.Hash()
}

// Timing of the fake engine and plain service.
const (
	prefillTimePerBlock = 20 * time.Millisecond
	tokenInterval       = 10 * time.Millisecond
	// A call of the plain service takes half to twice this time.
	typicalServiceDuration = 60 * time.Millisecond
	engineRestartTime      = 800 * time.Millisecond
	// engineDetectionDelay is the time after which the agent notices that its engine
	// went down or came up.
	engineDetectionDelay = 20 * time.Millisecond
)

// cachedBlock records for which team, and with which weights and incarnation of the
// engine, a cache block was computed.
type cachedBlock struct {
	team           string
	weightsVersion string
	incarnation    uint64
}

// engine is a fake engine that also stands for a plain service. It keeps running when
// its agent dies.
type engine struct {
	cluster        *cluster
	name           string
	up             bool
	incarnation    uint64
	weightsVersion string
	jobs           map[string]*job
	cache          map[uint64]cachedBlock
	// keepCacheAfterCrash is a deliberate bug.
	keepCacheAfterCrash bool
}

// job is an attempt that runs on the engine.
type job struct {
	id        string
	request   *request
	nextToken int
	isPaused  func() bool
	onTokens  func(offset int, tokens []string)
	onDone    func(answer string)
	ended     bool
}

// start runs a job. Tokens follow once the blocks that are not cached are prefilled.
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
		e.cache[h] = cachedBlock{j.request.team, e.weightsVersion, e.incarnation}
	}
	e.cluster.sim.scheduleAfter(time.Duration(uncachedBlocks+1)*prefillTimePerBlock, func() { e.produceToken(j) })
}

// produceToken produces the next token, crashes the engine or completes the job.
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

// crash ends the engine and all its jobs. It restarts with an empty cache.
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
	e.cluster.sim.scheduleAfter(engineRestartTime, func() {
		e.up = true
		e.incarnation = e.cluster.nextIncarnation()
		if !e.keepCacheAfterCrash {
			clear(e.cache)
		}
		if a.running {
			a.runAfter(engineDetectionDelay, a.pollEngine)
		}
	})
}
