package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"
)

// mergeMember merges a member description from a peer into the member list.
func (m *StateMachine) mergeMember(now time.Duration, received *Member) {
	if received.Name == "" || received.State < Alive || received.State > Dead {
		return
	}
	if received.Name == m.self.Name {
		m.refute(now, received)
		return
	}
	e, known := m.members[received.Name]
	if !known {
		m.addMember(now, received)
		return
	}
	if !received.newerThan(e.member) {
		return
	}
	if received.State == Dead && received.Incarnation == e.member.Incarnation && e.member.State != Dead {
		// A member that others declared dead is first suspected, so that it can
		// refute: after a partition each side considers the other one dead.
		received = received.withState(Suspect)
		if !received.newerThan(e.member) {
			e.suspicionDeadline = min(e.suspicionDeadline, now+m.suspicionTimeout()/2)
			return
		}
	}
	m.replaceMember(now, e, received)
}

func (m *StateMachine) addMember(now time.Duration, received *Member) {
	if len(m.members) >= m.cfg.MaxMembers {
		return
	}
	e := &memberEntry{member: received, probeIndex: -1, bucket: uint8(bucketOf(received.Name))}
	m.members[received.Name] = e
	if received.State == Dead {
		e.deadSince = now
		return
	}
	m.addToProbeOrder(e)
	m.toggleHash(received)
	m.recordChange(now, e)
}

// replaceMember replaces the description of a member with a newer one.
func (m *StateMachine) replaceMember(now time.Duration, e *memberEntry, received *Member) {
	old := e.member
	if old.State != Dead {
		m.toggleHash(old)
	}
	e.member = received
	if received.State == Dead {
		m.removeFromProbeOrder(e)
		e.deadSince = now
	} else {
		if old.State == Dead {
			m.addToProbeOrder(e)
		}
		m.toggleHash(received)
	}
	if received.Incarnation != old.Incarnation {
		e.rulesVersion = 0
	}
	m.recordChange(now, e)
	if received.Leaving && !old.Leaving {
		m.pushUpdate(now, received, nil)
	}
}

func (m *StateMachine) recordChange(now time.Duration, e *memberEntry) {
	delete(m.suspects, e.member.Name)
	if e.member.State == Suspect {
		m.suspects[e.member.Name] = e
		e.suspicionDeadline = now + m.suspicionTimeout()
	}
	m.lastChangeAt = now
	if !m.joining {
		// What a joining process learns is already known to the others.
		m.enqueueMember(e.member)
	}
	m.events = append(m.events, Event{Member: e.member})
}

// addToProbeOrder inserts the member at a random position.
func (m *StateMachine) addToProbeOrder(e *memberEntry) {
	e.probeIndex = len(m.probeOrder)
	m.probeOrder = append(m.probeOrder, e.member.Name)
	m.swapProbeOrder(e.probeIndex, m.rng.IntN(len(m.probeOrder)))
}

func (m *StateMachine) removeFromProbeOrder(e *memberEntry) {
	if e.probeIndex < 0 {
		return
	}
	last := len(m.probeOrder) - 1
	m.swapProbeOrder(e.probeIndex, last)
	m.probeOrder = m.probeOrder[:last]
	e.probeIndex = -1
}

func (m *StateMachine) swapProbeOrder(i, j int) {
	m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	m.members[m.probeOrder[i]].probeIndex = i
	m.members[m.probeOrder[j]].probeIndex = j
}

// refute raises the revision or incarnation of this process when a peer's
// description of it would override its own.
func (m *StateMachine) refute(now time.Duration, received *Member) {
	next := *m.self
	switch {
	case received.Incarnation > next.Incarnation:
		// The host's clock was set back, or two processes share a name.
		next.Incarnation, next.Revision = received.Incarnation+1, 0
	case received.Incarnation == next.Incarnation && received.newerThan(&next):
		next.Revision = max(next.Revision, received.Revision)
	default:
		return
	}
	m.updateSelf(now, &next)
	m.pushUpdate(now, m.self, nil)
	m.startCatchUp(now)
}

// startCatchUp starts a sync with other members, to receive the updates missed
// while this process was cut off or did not run.
func (m *StateMachine) startCatchUp(now time.Duration) {
	m.syncing = true
	m.nextSyncAt = min(m.nextSyncAt, now)
	m.syncUntil = now + catchUpDuration
	// Restart joinQuietTimeout, in case the join is not complete.
	m.lastChangeAt = now
}

// expireSuspicions declares overdue suspects dead, unless so many members are
// suspected that probably this process itself is cut off.
func (m *StateMachine) expireSuspicions(now time.Duration) {
	if len(m.suspects) == 0 {
		m.massSuspicionSince = 0
		return
	}
	var due []*memberEntry
	for _, e := range m.suspects {
		if now >= e.suspicionDeadline {
			due = append(due, e)
		}
	}
	// Sorted because map order would make runs with the same random seed differ.
	slices.SortFunc(due, func(a, b *memberEntry) int { return strings.Compare(a.member.Name, b.member.Name) })
	suspects := len(m.suspects)
	if suspects >= isolationFailedProbes && float64(suspects) > m.cfg.MassSuspicionShare*float64(len(m.probeOrder)) {
		if m.massSuspicionSince == 0 {
			m.massSuspicionSince = now
		}
		if now-m.massSuspicionSince < m.cfg.MassSuspicionMaxDelay {
			return
		}
	} else {
		m.massSuspicionSince = 0
	}
	for _, e := range due {
		m.replaceMember(now, e, e.member.withState(Dead))
	}
}

// removeExpired forgets members that have been dead for DeadRetention, and relayed
// probes without an ack.
func (m *StateMachine) removeExpired(now time.Duration) {
	for name, e := range m.members {
		if e.member.State == Dead && now-e.deadSince > m.cfg.DeadRetention {
			delete(m.members, name)
		}
	}
	for seq, r := range m.relayedProbes {
		if now > r.expiresAt {
			delete(m.relayedProbes, seq)
		}
	}
}

// enqueueMember queues a member update for piggybacking and drops queued updates
// about the same member.
func (m *StateMachine) enqueueMember(member *Member) {
	m.updateQueue = slices.DeleteFunc(m.updateQueue, func(u *queuedUpdate) bool {
		return u.member != nil && u.member.Name == member.Name
	})
	m.updateQueue = append(m.updateQueue, &queuedUpdate{member: member, transmissionsLeft: m.transmissionLimit()})
}

func (m *StateMachine) transmissionLimit() int {
	return m.cfg.RetransmitMultiplier * (m.logMemberCount() + 1)
}

// Broadcast sends a payload to all members by gossip.
func (m *StateMachine) Broadcast(now time.Duration, p Payload) { m.acceptPayload(now, p, "") }

// acceptPayload delivers a payload and forwards it if it is new.
func (m *StateMachine) acceptPayload(now time.Duration, payload Payload, sender string) {
	isNew := m.recordIfNew(payload)
	// Missing rules are delivered even if a later version was seen, because the
	// later version may not apply without them.
	deliver := isNew || payload.PushOnly && payload.Serial > m.rulesVersion
	if sender != "" && deliver {
		m.events = append(m.events, Event{Payload: &payload, From: sender})
	}
	if !isNew || payload.Size > MaxUpdateBytes {
		return
	}
	if !payload.PushOnly {
		m.updateQueue = slices.DeleteFunc(m.updateQueue, func(u *queuedUpdate) bool {
			return u.member == nil && u.payload.Key == payload.Key
		})
		m.updateQueue = append(m.updateQueue, &queuedUpdate{payload: payload, transmissionsLeft: m.transmissionLimit()})
	}
	m.pushUpdate(now, nil, &payload)
}

// recordIfNew reports whether the payload is newer than all seen for its key, and
// if so records its serial.
func (m *StateMachine) recordIfNew(payload Payload) bool {
	lastSerial, seen := m.seenSerials[payload.Key]
	if !seen {
		lastSerial, seen = m.previousSeenSerials[payload.Key]
	}
	if seen && payload.Serial <= lastSerial {
		return false
	}
	if len(m.seenSerials) >= maxSeenSerials {
		m.seenSerials, m.previousSeenSerials = map[string]uint64{}, m.seenSerials
	}
	m.seenSerials[payload.Key] = payload.Serial
	return true
}

// PushRulesVersion announces the rules version to PushFanout peers at once.
func (m *StateMachine) PushRulesVersion(now time.Duration) {
	for _, peer := range m.randomPeers(m.cfg.PushFanout, "") {
		m.send(peer.GossipAddress, m.newDatagram(Push))
	}
}

// pushUpdate sends one urgent update to PushFanout peers at once. Either member or
// payload is set.
func (m *StateMachine) pushUpdate(now time.Duration, member *Member, payload *Payload) {
	m.refillBudget(now)
	for _, peer := range m.randomPeers(m.cfg.PushFanout, "") {
		d := m.newDatagram(Push)
		size := datagramOverheadBytes / 2
		if member != nil {
			d.Members = []*Member{member}
			size += member.encodedSize()
		} else {
			d.Payloads = []Payload{*payload}
			size += payload.Size
		}
		if m.budgetBytes < float64(size) {
			return
		}
		m.budgetBytes -= float64(size)
		m.send(peer.GossipAddress, d)
	}
}

// randomPeers returns up to count different members, preferring those that are not
// suspected.
func (m *StateMachine) randomPeers(count int, except string) []*Member {
	var picked []*Member
	for tries := 0; len(picked) < count && tries < 4*count && len(m.probeOrder) > 0; tries++ {
		peer := m.members[m.probeOrder[m.rng.IntN(len(m.probeOrder))]].member
		if peer.Name == except || slices.Contains(picked, peer) {
			continue
		}
		// Suspects are accepted only in the last quarter of the tries.
		if peer.State == Suspect && tries < 3*count {
			continue
		}
		picked = append(picked, peer)
	}
	return picked
}

func (m *StateMachine) newDatagram(k DatagramKind) *Datagram {
	d := &Datagram{From: m.self.Name, FromIncarnation: m.self.Incarnation, Kind: k, RulesVersion: m.rulesVersion}
	if !m.joining {
		d.MembersHash = m.membersHash
	}
	return d
}

func (m *StateMachine) send(toAddress string, d *Datagram) {
	m.outgoing = append(m.outgoing, OutgoingDatagram{ToAddress: toAddress, Datagram: d})
}

// sendWithUpdates fills the datagram with queued updates, those sent least often
// first, and sends it.
func (m *StateMachine) sendWithUpdates(now time.Duration, toAddress string, d *Datagram, spaceLeft int) {
	m.refillBudget(now)
	slices.SortStableFunc(m.updateQueue, func(a, b *queuedUpdate) int { return b.transmissionsLeft - a.transmissionsLeft })
	spaceLeft = min(spaceLeft, int(m.budgetBytes))
	for _, u := range m.updateQueue {
		size := u.payload.Size
		if u.member != nil {
			size = u.member.encodedSize()
		}
		if size > spaceLeft {
			continue
		}
		spaceLeft -= size
		m.budgetBytes -= float64(size)
		u.transmissionsLeft--
		if u.member != nil {
			d.Members = append(d.Members, u.member)
		} else {
			d.Payloads = append(d.Payloads, u.payload)
		}
	}
	m.updateQueue = slices.DeleteFunc(m.updateQueue, func(u *queuedUpdate) bool { return u.transmissionsLeft <= 0 })
	m.send(toAddress, d)
}

// answerSyncRequest sends the members of the buckets whose hashes differ.
func (m *StateMachine) answerSyncRequest(now time.Duration, toAddress string, peerHashes []byte) {
	if len(peerHashes) != bucketCount*4 {
		return
	}
	m.refillBudget(now)
	var differ [bucketCount]bool
	for i, h := range m.bucketHashes {
		differ[i] = binary.LittleEndian.Uint32(peerHashes[i*4:]) != h
	}
	var members, dead []*Member
	for _, name := range m.probeOrder {
		if e := m.members[name]; differ[e.bucket] {
			members = append(members, e.member)
		}
	}
	for _, e := range m.members {
		if e.member.State == Dead && differ[e.bucket] {
			dead = append(dead, e.member)
		}
	}
	// Sorted because map order would make runs with the same random seed differ.
	slices.SortFunc(dead, func(a, b *Member) int { return strings.Compare(a.Name, b.Name) })
	members = append(members, dead...)
	if differ[bucketOf(m.self.Name)] {
		members = append(members, m.self)
	}
	m.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for range maxSyncResponses {
		d := m.newDatagram(Push)
		spaceLeft := min(MaxUpdateBytes, int(m.budgetBytes))
		for len(members) > 0 && members[0].encodedSize() <= spaceLeft {
			spaceLeft -= members[0].encodedSize()
			m.budgetBytes -= float64(members[0].encodedSize())
			d.Members = append(d.Members, members[0])
			members = members[1:]
		}
		if len(d.Members) == 0 {
			return
		}
		m.send(toAddress, d)
	}
}
