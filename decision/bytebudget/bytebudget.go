// Package bytebudget divides a limited amount of memory between the readers of responses.
//
// When it becomes short, the response that holds most has to give way, as in shared-memory
// switches that push out from their longest queue: short responses, such as sound answers beside
// bytes without end, always find room. A response that has arrived completely stays.
package bytebudget

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrExhausted means that a response must be given up because too little memory is left.
var ErrExhausted = errors.New("too little memory is left for the response")

// reserveShare is the share of a pool that is kept free: what arrives until a response that has
// to give way is gone.
const reserveShare = 0.125

// Denial is the reason for which a response is given up.
type Denial struct {
	// Held is what the response holds, and Wanted what it wanted besides, in bytes. Wanted is 0
	// for a response that gives way to another one.
	Held, Wanted int64
	// Used is what all responses hold, in bytes.
	Used int64
}

// Pool is the memory for responses. A nil pool has no limit. It is safe for concurrent use.
type Pool struct {
	capacity, reserve int64
	onDenied          func(Denial)

	mu     sync.Mutex
	used   int64
	leases map[*Lease]bool
	// leaving is what the revoked leases hold.
	leaving int64
}

// New returns a pool of capacity bytes. onDenied, if not nil, is called for each response that is
// given up.
func New(capacity int64, onDenied func(Denial)) *Pool {
	return &Pool{
		capacity: capacity, reserve: int64(reserveShare * float64(capacity)), onDenied: onDenied, leases: map[*Lease]bool{},
	}
}

// Capacity returns the size of the pool in bytes.
func (p *Pool) Capacity() int64 { return p.capacity }

// Used returns the bytes that all leases hold. It never exceeds the capacity.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// NewLease returns a lease that holds nothing yet. onRevoke is called at most once, from another
// goroutine, if the response must be given up; its reader then has to release the lease soon. A
// lease without onRevoke is not revoked.
func (p *Pool) NewLease(onRevoke func()) *Lease { return &Lease{pool: p, onRevoke: onRevoke} }

// Lease is the memory that one response holds. A nil lease has no limit. Its methods must not be
// called concurrently.
type Lease struct {
	pool     *Pool
	onRevoke func()

	// The pool's lock guards the fields below.
	held    int64
	revoked bool
}

// Grow adds bytes to the lease, for which the largest response gives way if necessary. It fails
// with ErrExhausted, and leaves the lease as it is, if that is the lease's own or no other may
// give way.
func (l *Lease) Grow(bytes int) error { return l.grow(bytes, true) }

// Reserve adds bytes for what may arrive, if there is room without another response giving way.
// Otherwise it fails with ErrExhausted and leaves the lease as it is.
func (l *Lease) Reserve(bytes int) error { return l.grow(bytes, false) }

func (l *Lease) grow(bytes int, revoke bool) error {
	if l == nil || l.pool == nil {
		return nil
	}
	allowed, victim, denials := l.pool.grow(l, int64(bytes), revoke)
	if victim != nil {
		victim()
	}
	if l.pool.onDenied != nil {
		for _, d := range denials {
			l.pool.onDenied(d)
		}
	}
	if !allowed {
		return ErrExhausted
	}
	return nil
}

// grow returns whether the lease may grow, and what ends the response that gives way to it.
func (p *Pool) grow(l *Lease, wanted int64, revoke bool) (allowed bool, victim func(), denials []Denial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	deny := func() (bool, func(), []Denial) {
		return false, victim, append(denials, Denial{Held: l.held, Wanted: wanted, Used: p.used})
	}
	if l.revoked {
		return false, nil, nil
	}
	if p.used-p.leaving+wanted > p.capacity-p.reserve {
		largest := p.largestLocked()
		if !revoke || largest == nil || largest.held <= l.held+wanted {
			return deny()
		}
		largest.revoked, victim = true, largest.onRevoke
		p.leaving += largest.held
		denials = []Denial{{Held: largest.held, Used: p.used}}
	}
	if p.used+wanted > p.capacity {
		return deny()
	}
	p.used += wanted
	l.held += wanted
	p.leases[l] = true
	return true, victim, denials
}

// largestLocked returns the lease that holds most of those that may be revoked, or nil.
func (p *Pool) largestLocked() *Lease {
	var largest *Lease
	for l := range p.leases {
		if !l.revoked && l.onRevoke != nil && (largest == nil || l.held > largest.held) {
			largest = l
		}
	}
	return largest
}

// Settle ends the time in which the lease may be revoked, because the response has arrived. It
// reports false if that has happened before.
func (l *Lease) Settle() bool {
	if l == nil || l.pool == nil {
		return true
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.onRevoke = nil
	return !l.revoked
}

// Release gives back all that the lease holds. It then holds nothing and may not be revoked.
func (l *Lease) Release() {
	if l == nil || l.pool == nil {
		return
	}
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= l.held
	if l.revoked {
		p.leaving -= l.held
	}
	l.held, l.onRevoke = 0, nil
	delete(p.leases, l)
}
