// Package bytebudget divides a limited amount of memory between the readers of responses, and
// between the teams whose requests and responses are held.
//
// When it becomes short, the response that holds most has to give way, as in shared-memory
// switches that push out from their longest queue: short responses, such as sound answers beside
// bytes without end, always find room. A response that has arrived completely stays.
//
// A team may take more only while at least as much as it then holds stays free, as with the dynamic
// thresholds of shared-memory switches (Choudhury and Hahne, 1998): half of the pool if it is alone.
// Teams that take all they may one after the other each leave half of what was free. A team that holds
// nothing else may take more than its share for one request or response, which could never find room
// otherwise.
package bytebudget

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors of a lease that cannot grow.
var (
	// ErrExhausted means that a response must be given up because too little memory is left.
	ErrExhausted = errors.New("too little memory is left for the response")
	// ErrTeamExhausted means that the team holds its share of the memory. It also matches
	// ErrExhausted.
	ErrTeamExhausted = errors.Wrap(ErrExhausted, "the team holds its share of the memory")
)

// reserveShare is the share of a pool that is kept free: what arrives until a response that has
// to give way is gone.
const reserveShare = 0.125

// maxTeams bounds the number of teams that are accounted for separately, several times the 76 of the
// largest known deployment. The others share one account.
const maxTeams = 1024

// otherTeams is the name of the account of the teams beyond maxTeams.
const otherTeams = "*"

// Denial is the reason for which a response is given up.
type Denial struct {
	// Held is what the response holds, and Wanted what it wanted besides, in bytes. Wanted is 0
	// for a response that gives way to another one.
	Held, Wanted int64
	// Used is what all responses hold, in bytes.
	Used int64
	// Team is the team of the response, or "" if it has none, and TeamHeld what the team holds,
	// in bytes.
	Team     string
	TeamHeld int64
	// TeamShare means that the team holds its share.
	TeamShare bool
}

// account is what a team holds.
type account struct {
	team string
	held int64
	// leaving is what the team's revoked leases hold, and settled what its complete responses hold.
	leaving, settled int64
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
	// settled is what complete responses of teams hold.
	settled int64
	// accounts has the teams that hold something.
	accounts map[string]*account
}

// New returns a pool of capacity bytes. onDenied, if not nil, is called for each response that is
// given up.
func New(capacity int64, onDenied func(Denial)) *Pool {
	return &Pool{
		capacity: capacity, reserve: int64(reserveShare * float64(capacity)), onDenied: onDenied, leases: map[*Lease]bool{},
		accounts: map[string]*account{},
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

// Held returns the bytes that a team holds.
func (p *Pool) Held(team string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, _ := p.heldLocked(team)
	return held
}

// LargestTeam returns the team that holds most, and how many bytes, or "" if none holds anything.
func (p *Pool) LargestTeam() (team string, held int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		if a.held > held || a.held == held && a.team < team {
			team, held = a.team, a.held
		}
	}
	return team, held
}

// MayWait reports whether a response of a team, once it is complete, could wait for its caller beside
// those that wait already. Incomplete ones do not count, because they may give way.
func (p *Pool) MayWait(team string, bytes int64) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var settled int64
	if a := p.accounts[p.accountName(team)]; a != nil {
		settled = a.settled
	}
	return settled == 0 || settled+bytes <= p.capacity-p.settled-bytes
}

// NewTeamLease returns a lease like NewLease whose bytes count toward the share of a team. An
// empty team has no share.
func (p *Pool) NewTeamLease(team string, onRevoke func()) *Lease {
	return &Lease{pool: p, onRevoke: onRevoke, team: team}
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
	team     string

	// The pool's lock guards the fields below.
	held    int64
	revoked bool
	// account is that of the team while the lease holds something.
	account *account
	settled bool
}

// Grow adds bytes to the lease, for which the largest response gives way if necessary: that of the
// lease's team if the team holds its share, else that of all. It fails with ErrExhausted or
// ErrTeamExhausted, and leaves the lease as it is, if that is the lease's own or no other may give
// way.
func (l *Lease) Grow(bytes int) error { return l.grow(bytes, true) }

// Reserve adds bytes for what may arrive, if there is room without another response giving way.
// Otherwise it fails with ErrExhausted or ErrTeamExhausted and leaves the lease as it is.
func (l *Lease) Reserve(bytes int) error { return l.grow(bytes, false) }

func (l *Lease) grow(bytes int, revoke bool) error {
	if l == nil || l.pool == nil {
		return nil
	}
	victims, denials, err := l.pool.grow(l, int64(bytes), revoke)
	for _, end := range victims {
		end()
	}
	if l.pool.onDenied != nil {
		for _, d := range denials {
			l.pool.onDenied(d)
		}
	}
	return err
}

// grow lets the lease grow, and returns what ends the responses that give way to it.
func (p *Pool) grow(l *Lease, wanted int64, revoke bool) (victims []func(), denials []Denial, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.revoked {
		return nil, nil, ErrExhausted
	}
	deny := func(teamShare bool) ([]func(), []Denial, error) {
		err := ErrExhausted
		if teamShare {
			err = ErrTeamExhausted
		}
		held, _ := p.heldLocked(l.team)
		return victims, append(denials, Denial{
			Held: l.held, Wanted: wanted, Used: p.used, Team: l.team, TeamHeld: held, TeamShare: teamShare,
		}), err
	}
	makeRoom := func(team string) bool {
		largest := p.largestLocked(team)
		if !revoke || largest == nil || largest.held <= l.held+wanted {
			return false
		}
		largest.revoked = true
		p.leaving += largest.held
		d := Denial{Held: largest.held, Used: p.used, Team: largest.team, TeamShare: team != ""}
		if largest.account != nil {
			largest.account.leaving += largest.held
			d.TeamHeld = largest.account.held
		}
		victims, denials = append(victims, largest.onRevoke), append(denials, d)
		return true
	}
	if held, leaving := p.heldLocked(l.team); l.team != "" && held != l.held && !p.withinShareLocked(held-leaving, wanted) && !makeRoom(l.team) {
		return deny(true)
	}
	if !p.fitsLocked(wanted) && !makeRoom("") {
		return deny(false)
	}
	if p.used+wanted > p.capacity {
		return deny(false)
	}
	if l.held == 0 {
		l.account = p.openAccountLocked(l.team)
	}
	p.used += wanted
	l.held += wanted
	p.leases[l] = true
	if l.account != nil {
		l.account.held += wanted
		if l.settled {
			l.account.settled += wanted
			p.settled += wanted
		}
	}
	return victims, denials, nil
}

// fitsLocked reports whether the reserve stays free with so many bytes more.
func (p *Pool) fitsLocked(wanted int64) bool {
	return p.used-p.leaving+wanted <= p.capacity-p.reserve
}

// withinShareLocked reports whether a team that holds some bytes leaves as much free as it holds with
// so many bytes more.
func (p *Pool) withinShareLocked(held, wanted int64) bool {
	return held+wanted <= p.capacity-(p.used-p.leaving)-wanted
}

// heldLocked returns what a team holds, and the part of it that its revoked leases hold.
func (p *Pool) heldLocked(team string) (held, leaving int64) {
	a := p.accounts[p.accountName(team)]
	if a == nil {
		return 0, 0
	}
	return a.held, a.leaving
}

// accountName returns the name of the account in which a team is.
func (p *Pool) accountName(team string) string {
	if p.accounts[team] == nil && len(p.accounts) >= maxTeams {
		return otherTeams
	}
	return team
}

// openAccountLocked returns the account of a team, or nil if the team is empty.
func (p *Pool) openAccountLocked(team string) *account {
	if team == "" {
		return nil
	}
	team = p.accountName(team)
	a := p.accounts[team]
	if a == nil {
		a = &account{team: team}
		p.accounts[team] = a
	}
	return a
}

// largestLocked returns the lease that holds most of those that may be revoked, or nil. If team is not
// empty, only leases of its account count.
func (p *Pool) largestLocked(team string) *Lease {
	a := p.accounts[p.accountName(team)]
	var largest *Lease
	for l := range p.leases {
		if !l.revoked && l.onRevoke != nil && (team == "" || l.account == a) && (largest == nil || l.held > largest.held) {
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
	if !l.settled && l.account != nil {
		l.account.settled += l.held
		l.pool.settled += l.held
	}
	l.settled = true
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
	if a := l.account; a != nil {
		a.held -= l.held
		if l.revoked {
			a.leaving -= l.held
		}
		if l.settled {
			a.settled -= l.held
			p.settled -= l.held
		}
		if a.held <= 0 {
			delete(p.accounts, a.team)
		}
	}
	l.held, l.onRevoke, l.account = 0, nil, nil
	delete(p.leases, l)
}
