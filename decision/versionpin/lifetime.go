package versionpin

import "time"

// maxStreamLifetime bounds the stream lifetime in a table, far above the timeouts of routes.
const maxStreamLifetime = 24 * time.Hour

// lifetimes are the lifetimes of live streams. A stream keeps the one with which it began, when
// the configuration allows new streams only a shorter one.
type lifetimes struct {
	spreadTime time.Duration
	// current is that of streams that begin now, 0 if none do.
	current time.Duration
	// former are longer ones, each shorter than the one before and in use later.
	former []formerLifetime
}

type formerLifetime struct {
	lifetime time.Duration
	// until is when the last stream ends that began with the lifetime.
	until time.Duration
}

// setCurrent replaces the lifetime of streams that begin now.
func (l *lifetimes) setCurrent(now, d time.Duration) {
	if d < l.current {
		l.add(now, l.current)
	}
	l.current = d
}

// add records that a stream with a lifetime may have begun now. Other routers may begin such
// streams for spreadTime more.
func (l *lifetimes) add(now, d time.Duration) {
	n := len(l.former)
	for n > 0 && l.former[n-1].lifetime <= d {
		n--
	}
	l.former = append(l.former[:n], formerLifetime{d, now + d + l.spreadTime})
}

// longest returns the longest lifetime of a live stream.
func (l *lifetimes) longest(now time.Duration) time.Duration {
	for len(l.former) > 0 && now >= l.former[0].until {
		l.former = l.former[1:]
	}
	if len(l.former) > 0 {
		return max(l.former[0].lifetime, l.current)
	}
	return l.current
}

// SetStreamLifetime replaces the lifetime that the configuration gives streams which begin from
// now on, 0 if none do.
func (m *Machine) SetStreamLifetime(now, d time.Duration) {
	if m.lifetimesKnownSince == 0 {
		m.lifetimesKnownSince = now
	}
	m.lifetimes.setCurrent(now, min(d, maxStreamLifetime))
}

// ObserveStreamLifetime records that a stream begins whose caller may take it up for longer than
// the configuration says.
func (m *Machine) ObserveStreamLifetime(now, d time.Duration) {
	if d > m.lifetimes.current {
		m.lifetimes.add(now, min(d, maxStreamLifetime))
	}
}

// StreamLifetime returns the longest lifetime of the streams that may live. It is no shorter than
// that of the table until all streams have ended that began before this router knew the
// configurations in force.
func (m *Machine) StreamLifetime(now time.Duration) time.Duration {
	own := m.lifetimes.longest(now)
	table := m.table
	if table == nil {
		table = m.stored
	}
	if table == nil || own >= table.StreamLifetime {
		return own
	}
	if m.table != nil && m.lifetimesKnownSince > 0 && now-m.lifetimesKnownSince >= table.StreamLifetime+m.cfg.SpreadTime {
		return own
	}
	return table.StreamLifetime
}

func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
