// Package freshness bounds the age of what a router knows of the store. A copy of the store's
// objects is confirmed as of a time if it holds every change that was acknowledged before. A
// response proves this as of the moment at which its request was sent; a message that nobody
// asked for proves nothing, as it may have been delayed. A router whose copy has not been
// confirmed for long asks the store itself, whoever else watches it and whatever they say about
// their own contact with the store.
//
// The package is a pure state machine. Times are those of one clock that also counts the time
// for which the host was suspended. It is not safe for concurrent use.
package freshness

import (
	"math"
	"time"
)

// Shares of the deadline of a kind of objects. Together with the rest, in which the call to the
// store must end, they keep a copy younger than the deadline.
const (
	// leaderShare is the age at which the first router asks the store. The others normally
	// learn the answer from it and need not ask.
	leaderShare = 0.25
	// smallLeaderShare is the same where all routers watch, so few that one round of calls
	// reaches all.
	smallLeaderShare = 0.4
	// watcherShare is the age at which the second router asks. The further watchers follow
	// up to lastWatcherShare, one after the other.
	watcherShare     = 0.5
	lastWatcherShare = 0.6
	// followerShare and lastShare bound the age at which routers ask that do not watch.
	followerShare = 0.55
	lastShare     = 0.75
)

// Patience returns the age of a copy, in units of time like the deadline, from which on a
// router asks the store. Rank is the router's rank, from 0, among the routers that it expects to
// reach the store, itself included; those below watchers watch it. Draw is a random number in
// [0,1) that the other routers do not share.
func Patience(deadline time.Duration, rank, routers, watchers int, draw float64) time.Duration {
	// Few routers ask early. Their answers spread and spare the others the call.
	share := followerShare + math.Sqrt(draw)*(lastShare-followerShare)
	switch {
	case rank == 0 && routers <= watchers:
		share = smallLeaderShare
	case rank == 0:
		share = leaderShare
	case rank < watchers:
		share = watcherShare + (lastWatcherShare-watcherShare)*float64(rank-1)/float64(watchers)
	}
	return time.Duration(share * float64(deadline))
}

// Copy records as of when a copy is confirmed.
type Copy struct {
	confirmedAt time.Duration
	known       bool
}

// Confirm records that the copy holds every change acknowledged before a time. Earlier times
// than the latest have no effect.
func (c *Copy) Confirm(asOf time.Duration) {
	if !c.known || asOf > c.confirmedAt {
		c.confirmedAt, c.known = asOf, true
	}
}

// Age returns for how long the copy may lack changes. It returns false if the copy was never
// confirmed.
func (c *Copy) Age(now time.Duration) (time.Duration, bool) {
	return max(0, now-c.confirmedAt), c.known
}

// DueIn returns the time until the copy reaches an age, or 0 if it has or was never confirmed.
func (c *Copy) DueIn(now, age time.Duration) time.Duration {
	if !c.known {
		return 0
	}
	return max(0, c.confirmedAt+age-now)
}
