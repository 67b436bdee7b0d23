package membership

import (
	"slices"
	"time"
)

// HandleDatagram processes a datagram that came from a gossip address.
func (m *StateMachine) HandleDatagram(now time.Duration, senderAddress string, d *Datagram) {
	if d.From == m.self.Name || d.From == "" {
		return
	}
	for _, member := range d.Members {
		m.mergeMember(now, member)
	}
	for _, payload := range d.Payloads {
		m.acceptPayload(now, payload, d.From)
	}
	m.recordSender(now, senderAddress, d)
	switch d.Kind {
	case Probe:
		m.answerProbe(now, senderAddress, d)
	case Ack:
		m.handleAck(now, d)
	case IndirectProbe:
		m.relayProbe(now, senderAddress, d)
	case SyncRequest:
		m.answerSyncRequest(now, senderAddress, d.BucketHashes)
	}
}

// recordSender processes the fixed fields of a datagram, which describe its
// sender.
func (m *StateMachine) recordSender(now time.Duration, senderAddress string, d *Datagram) {
	if d.RulesVersion > 0 && d.RulesVersion >= m.rulesVersion {
		m.events = append(m.events, Event{RulesVersion: d.RulesVersion, From: d.From})
	}
	m.compareMembersHash(now, senderAddress, d.MembersHash)
	e, known := m.members[d.From]
	if !known || e.member.Incarnation < d.FromIncarnation {
		// The sender knows this process, but this process does not know the
		// sender or its current incarnation.
		if now >= m.unknownSenderProbeAfter && !d.Join {
			m.unknownSenderProbeAfter = now + syncInterval
			m.sendJoinProbe(now, senderAddress, nil)
		}
		return
	}
	if e.member.Incarnation != d.FromIncarnation {
		return
	}
	e.lastDatagramAt, e.rulesVersion = now, d.RulesVersion
	if d.Kind == Ack && d.RulesVersion < m.rulesVersion {
		m.sendCatchUp(now, e.member.GossipAddress, d.RulesVersion)
	}
}

// compareMembersHash requests the differences if the peer has a different member
// list, probably because updates were lost.
func (m *StateMachine) compareMembersHash(now time.Duration, senderAddress string, peerHash uint64) {
	switch {
	case peerHash == 0:
	case peerHash == m.membersHash:
		m.endJoin(now)
	case m.joining:
	case m.syncing && now >= m.syncRequestAfter:
		m.syncRequestAfter = now + resyncInterval
		m.requestSync(senderAddress)
	case now >= m.syncRequestAfter && now-m.lastChangeAt > syncQuietTime:
		m.syncRequestAfter = now + slowSyncInterval/2 + m.jitter(slowSyncInterval)
		m.requestSync(senderAddress)
	}
}

// endJoin ends the join. The process continues to compare lists for a while,
// because the list of the first peers may be outdated.
func (m *StateMachine) endJoin(now time.Duration) {
	if m.joining {
		m.joining = false
		m.syncUntil = now + catchUpDuration
	}
}

// sendCatchUp pushes newer rules to a peer that announced an older version.
func (m *StateMachine) sendCatchUp(now time.Duration, toAddress string, version uint64) {
	if payloads := m.catchUpPayloads(version); len(payloads) > 0 {
		m.refillBudget(now)
		d := m.newDatagram(Push)
		for _, p := range payloads {
			m.budgetBytes -= float64(p.Size)
		}
		d.Payloads = payloads
		m.send(toAddress, d)
	}
}

// catchUpPayloads returns the payloads for a peer at an older rules version, or
// none if they do not fit one datagram.
func (m *StateMachine) catchUpPayloads(version uint64) []Payload {
	if m.cfg.CatchUpPayloads == nil || version >= m.rulesVersion {
		return nil
	}
	spaceLeft := MaxUpdateBytes
	payloads := m.cfg.CatchUpPayloads(version)
	for _, p := range payloads {
		spaceLeft -= p.Size
	}
	if spaceLeft < 0 {
		return nil
	}
	return payloads
}

func (m *StateMachine) answerProbe(now time.Duration, senderAddress string, d *Datagram) {
	if !d.Join && d.Target != m.self.Name {
		return
	}
	ack := m.newDatagram(Ack)
	ack.Sequence, ack.Target, ack.TargetIncarnation = d.Sequence, m.self.Name, m.self.Incarnation
	spaceLeft := MaxUpdateBytes
	if d.Join {
		ack.Members = append(ack.Members, m.self)
		spaceLeft -= m.self.encodedSize()
		for _, peer := range m.randomPeers(joinSampleSize, d.From) {
			if peer.encodedSize() <= spaceLeft {
				ack.Members = append(ack.Members, peer)
				spaceLeft -= peer.encodedSize()
			}
		}
		m.send(senderAddress, ack)
		return
	}
	ack.Payloads = m.catchUpPayloads(d.RulesVersion)
	for _, p := range ack.Payloads {
		spaceLeft -= p.Size
	}
	m.sendWithUpdates(now, senderAddress, ack, spaceLeft)
}

func (m *StateMachine) handleAck(now time.Duration, d *Datagram) {
	if r, ok := m.relayedProbes[d.Sequence]; ok && now <= r.expiresAt {
		delete(m.relayedProbes, d.Sequence)
		ack := m.newDatagram(Ack)
		ack.Sequence, ack.Target, ack.TargetIncarnation = r.requesterSequence, d.Target, d.TargetIncarnation
		m.sendWithUpdates(now, r.requesterAddress, ack, MaxUpdateBytes)
		return
	}
	if p := m.currentProbe; p != nil && p.sequence == d.Sequence && p.target == d.Target {
		m.currentProbe = nil
		if len(m.failedTargets) > 0 {
			// This process may have been cut off and missed updates.
			m.startCatchUp(now)
		}
		clear(m.failedTargets)
	}
}

// relayProbe probes a member on behalf of a peer that got no ack from that
// member.
func (m *StateMachine) relayProbe(now time.Duration, senderAddress string, d *Datagram) {
	m.lastSequence++
	m.relayedProbes[m.lastSequence] = relayedProbe{requesterAddress: senderAddress, requesterSequence: d.Sequence, expiresAt: now + m.cfg.ProbeInterval}
	probe := m.newDatagram(Probe)
	probe.Sequence, probe.Target = m.lastSequence, d.Target
	m.sendWithUpdates(now, d.TargetAddress, probe, MaxUpdateBytes)
}

// startProbe probes the next member in round-robin order, shuffled for each
// round, so that each member is probed within a bounded time.
func (m *StateMachine) startProbe(now time.Duration) {
	if len(m.probeOrder) == 0 {
		return
	}
	if m.nextProbeIndex >= len(m.probeOrder) {
		m.nextProbeIndex = 0
		for i := range m.probeOrder {
			m.swapProbeOrder(i, m.rng.IntN(i+1))
		}
	}
	target := m.members[m.probeOrder[m.nextProbeIndex]].member
	m.nextProbeIndex++
	m.lastSequence++
	m.currentProbe = &pendingProbe{
		target: target.Name, sequence: m.lastSequence,
		indirectAt: now + m.cfg.DirectAckTimeout, deadline: now + m.cfg.ProbeInterval*9/10,
	}
	probe := m.newDatagram(Probe)
	probe.Sequence, probe.Target = m.lastSequence, target.Name
	spaceLeft := MaxUpdateBytes
	if target.State == Suspect {
		// The suspect must learn of the suspicion to refute it.
		probe.Members = append(probe.Members, target)
		spaceLeft -= target.encodedSize()
	}
	m.sendWithUpdates(now, target.GossipAddress, probe, spaceLeft)
}

// expireProbe sends indirect probes when the direct ack is late, and suspects the
// target when those fail too.
func (m *StateMachine) expireProbe(now time.Duration) {
	probe := m.currentProbe
	if probe == nil {
		return
	}
	target, ok := m.members[probe.target]
	if !ok || target.member.State == Dead {
		m.currentProbe = nil
		return
	}
	if !probe.indirectSent && now >= probe.indirectAt {
		probe.indirectSent = true
		for _, peer := range m.randomPeers(m.cfg.IndirectProbes, probe.target) {
			d := m.newDatagram(IndirectProbe)
			d.Sequence, d.Target, d.TargetAddress = probe.sequence, probe.target, target.member.GossipAddress
			m.sendWithUpdates(now, peer.GossipAddress, d, MaxUpdateBytes)
		}
	}
	if now < probe.deadline {
		return
	}
	m.currentProbe = nil
	m.failedTargets[probe.target] = true
	// This process may be cut off: compare lists until a probe succeeds again.
	m.startCatchUp(now)
	if m.isolated(now) {
		return
	}
	if target.member.State == Alive {
		m.replaceMember(now, target, target.member.withState(Suspect))
	}
}

// isolated reports whether so many probes in a row failed that this process is
// probably cut off. After isolationTimeout it reports false, so that the targets of
// failed probes are suspected anyway.
func (m *StateMachine) isolated(now time.Duration) bool {
	if len(m.failedTargets) <= isolationFailedProbes {
		m.isolatedSince = now
		return false
	}
	return now-m.isolatedSince < isolationTimeout
}

// contactSeeds sends join probes: to seeds until the join is complete, and later
// from time to time to a seed or a dead member, so that partitions heal.
func (m *StateMachine) contactSeeds(now time.Duration) {
	if len(m.probeOrder) == 0 || m.joining {
		m.nextSeedContactAt = now + seedInterval/2 + m.jitter(seedInterval)
		for range min(3, len(m.seeds)) {
			m.sendJoinProbe(now, m.seeds[m.rng.IntN(len(m.seeds))], nil)
		}
		return
	}
	m.nextSeedContactAt = now + slowSeedInterval/2 + m.jitter(slowSeedInterval)
	if len(m.seeds) > 0 && m.rng.IntN(2) == 0 {
		m.sendJoinProbe(now, m.seeds[m.rng.IntN(len(m.seeds))], nil)
		return
	}
	if dead := m.randomDeadMember(); dead != nil {
		m.sendJoinProbe(now, dead.GossipAddress, dead)
	}
}

// randomDeadMember returns a random dead member, or nil.
func (m *StateMachine) randomDeadMember() *Member {
	var names []string
	for name, e := range m.members {
		if e.member.State == Dead {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return m.members[names[m.rng.IntN(len(names))]].member
}

// sendJoinProbe sends a join probe with the description of this process. Unless dead
// is nil, the probe also has that member's description, so that the member learns
// that it counts as dead and can refute it.
func (m *StateMachine) sendJoinProbe(now time.Duration, toAddress string, dead *Member) {
	m.lastSequence++
	d := m.newDatagram(Probe)
	d.Sequence, d.Join = m.lastSequence, true
	d.Members = []*Member{m.self}
	if dead != nil {
		d.Members = append(d.Members, dead)
	}
	m.send(toAddress, d)
}

// syncStep looks for missing updates. A joining process sends a SyncRequest to a
// random member; a process that catches up first sends a probe, whose ack has the
// hash of the member's list.
func (m *StateMachine) syncStep(now time.Duration) {
	m.nextSyncAt = now + syncInterval
	if len(m.probeOrder) == 0 {
		return
	}
	if now-m.lastChangeAt > joinQuietTimeout {
		m.endJoin(now)
	}
	if now > m.syncUntil {
		m.endJoin(now)
		m.syncing = false
		return
	}
	// Suspects are asked too, because this process itself may have been cut off.
	peer := m.members[m.probeOrder[m.rng.IntN(len(m.probeOrder))]].member
	if m.joining {
		if now-m.lastChangeAt > 2*syncInterval {
			m.nextSyncAt = now + resyncInterval
		}
		m.requestSync(peer.GossipAddress)
		return
	}
	m.lastSequence++
	d := m.newDatagram(Probe)
	d.Sequence, d.Target = m.lastSequence, peer.Name
	m.sendWithUpdates(now, peer.GossipAddress, d, MaxUpdateBytes)
}

// requestSync asks a peer for the buckets of its member list that differ.
func (m *StateMachine) requestSync(toAddress string) {
	request := m.newDatagram(SyncRequest)
	request.BucketHashes = m.encodeBucketHashes()
	m.send(toAddress, request)
}
