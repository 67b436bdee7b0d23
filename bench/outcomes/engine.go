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
	key  string
	team string
	once bool
	// tokens is the length of the output.
	tokens int
	prompt string
	// service is the time that a plain service call takes, at random if 0.
	service time.Duration
	// body tells apart requests that reuse a key.
	body string
	// bigAnswer is the size of a plain service's answer in bytes, or 0.
	bigAnswer int
	// crashAt is the token at which the request kills its engine, or -1.
	crashAt int
}

// token returns the only right token of the output at index i.
func (r *request) token(i int) string { return fmt.Sprintf("%s#%d", r.key, i) }

// ident tells requests apart that reuse a key with another body.
func (r *request) ident() string { return r.key + r.body }

func (r *request) answer() string {
	return "answer-" + r.key + strings.Repeat(".", r.bigAnswer)
}

func (r *request) fingerprint() uint64 {
	return prefix.Namespace{Team: r.team, Model: r.key, Adapter: r.body}.Hash()
}

// Timing of the fake engine and service.
const (
	prefillPerBlock  = 20 * time.Millisecond
	tokenInterval    = 10 * time.Millisecond
	serviceTime      = 60 * time.Millisecond
	engineRestart    = 800 * time.Millisecond
	engineDownNotice = 20 * time.Millisecond
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
	w           *world
	name        string
	up          bool
	incarnation uint64
	weights     string
	jobs        map[string]*job
	cache       map[uint64]cachedBlock
	// keepCache is a deliberate fault: the cache outlives a crash.
	keepCache bool
}

type job struct {
	id     string
	req    *request
	next   int
	paused func() bool
	emit   func(offset int, tokens []string)
	done   func(answer string)
	dead   bool
}

func (e *engine) start(j *job, hashes []uint64) {
	e.jobs[j.id] = j
	e.w.hist.ran(j.id, j.req)
	if j.req.once {
		d := j.req.service
		if d == 0 {
			d = e.w.sim.between(serviceTime/2, serviceTime*2)
		}
		e.w.sim.after(d, func() {
			if !j.dead {
				e.finish(j, j.req.answer())
			}
		})
		return
	}
	missing := 0
	for _, h := range hashes {
		if c, ok := e.cache[h]; ok {
			e.w.hist.reused(j.req, e, c)
			continue
		}
		missing++
		e.cache[h] = cachedBlock{j.req.team, e.weights, e.incarnation}
	}
	e.w.sim.after(time.Duration(missing+1)*prefillPerBlock, func() { e.step(j) })
}

func (e *engine) step(j *job) {
	switch {
	case j.dead:
		return
	case j.paused():
		e.w.sim.after(tokenInterval, func() { e.step(j) })
		return
	case j.req.crashAt >= 0 && j.next >= j.req.crashAt:
		e.w.hist.crashed(j.req)
		e.crash()
		return
	case j.next >= j.req.tokens:
		e.finish(j, "")
		return
	}
	j.emit(j.next, []string{j.req.token(j.next)})
	j.next++
	e.w.sim.after(tokenInterval, func() { e.step(j) })
}

func (e *engine) finish(j *job, answer string) {
	delete(e.jobs, j.id)
	j.dead = true
	j.done(answer)
}

func (e *engine) cancel(id string) {
	if j := e.jobs[id]; j != nil {
		j.dead = true
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
		e.jobs[id].dead = true
	}
	clear(e.jobs)
	a := e.w.agents[e.name]
	a.after(engineDownNotice, a.engineDown)
	e.w.sim.after(engineRestart, func() {
		e.up = true
		e.incarnation = e.w.nextIncarnation()
		if !e.keepCache {
			clear(e.cache)
		}
		if a.alive {
			a.after(engineDownNotice, a.engineSeen)
		}
	})
}
