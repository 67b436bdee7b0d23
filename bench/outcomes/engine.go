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
	// typicalServiceDuration is the typical duration of a plain service call. A call
	// takes half to twice this time.
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

// engine is a fake engine that also simulates a plain service. It keeps running when
// its agent dies.
type engine struct {
	cluster        *cluster
	name           string
	up             bool
	incarnation    uint64
	weightsVersion string
	attempts       map[string]*engineAttempt
	cache          map[uint64]cachedBlock
	// keepCacheAfterCrash is a deliberate bug: the cache survives a crash.
	keepCacheAfterCrash bool
}

// engineAttempt is an attempt that runs on the engine.
type engineAttempt struct {
	id        string
	request   *request
	nextToken int
	isPaused  func() bool
	onTokens  func(offset int, tokens []string)
	onDone    func(answer string)
	ended     bool
}

// start runs an attempt. Tokens follow once the blocks that are not cached are
// prefilled.
func (e *engine) start(att *engineAttempt, blockHashes []uint64) {
	e.attempts[att.id] = att
	e.cluster.history.recordRun(att.id, att.request)
	if att.request.atMostOnce {
		d := att.request.serviceDuration
		if d == 0 {
			d = e.cluster.sim.randomDuration(typicalServiceDuration/2, typicalServiceDuration*2)
		}
		e.cluster.sim.scheduleAfter(d, func() {
			if !att.ended {
				e.finish(att, att.request.expectedAnswer())
			}
		})
		return
	}
	uncachedBlocks := 0
	for _, h := range blockHashes {
		if c, ok := e.cache[h]; ok {
			e.cluster.history.checkCacheReuse(att.request, e, c)
			continue
		}
		uncachedBlocks++
		e.cache[h] = cachedBlock{att.request.team, e.weightsVersion, e.incarnation}
	}
	e.cluster.sim.scheduleAfter(time.Duration(uncachedBlocks+1)*prefillTimePerBlock, func() { e.produceToken(att) })
}

// produceToken produces the next token, crashes the engine or completes the
// attempt.
func (e *engine) produceToken(att *engineAttempt) {
	switch {
	case att.ended:
		return
	case att.isPaused():
		e.cluster.sim.scheduleAfter(tokenInterval, func() { e.produceToken(att) })
		return
	case att.request.crashAtToken >= 0 && att.nextToken >= att.request.crashAtToken:
		e.cluster.history.recordEngineCrash(att.request)
		e.crash()
		return
	case att.nextToken >= att.request.outputTokens:
		e.finish(att, "")
		return
	}
	att.onTokens(att.nextToken, []string{att.request.expectedToken(att.nextToken)})
	att.nextToken++
	e.cluster.sim.scheduleAfter(tokenInterval, func() { e.produceToken(att) })
}

func (e *engine) finish(att *engineAttempt, answer string) {
	delete(e.attempts, att.id)
	att.ended = true
	att.onDone(answer)
}

func (e *engine) cancel(id string) {
	if att := e.attempts[id]; att != nil {
		att.ended = true
		delete(e.attempts, id)
	}
}

// crash ends all attempts on the engine and restarts it with an empty cache after
// engineRestartTime.
func (e *engine) crash() {
	if !e.up {
		return
	}
	e.up = false
	for id := range e.attempts {
		e.attempts[id].ended = true
	}
	clear(e.attempts)
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
