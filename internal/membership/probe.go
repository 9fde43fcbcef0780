package membership

import (
	"net/netip"
	"slices"
	"time"
)

// maxPendingIndirectProbes is the maximum number of concurrent pings on behalf of other members.
const maxPendingIndirectProbes = 64

// probe is the node's own probe in the current probe interval.
type probe struct {
	target     ID
	seq        uint32
	indirectAt time.Duration // when to request indirect probes; 0: already requested
	helpers    int           // number of members asked for an indirect probe
	nacks      int           // number of Nacks from helpers
	running    bool          // no Ack was received yet
}

// awaitsIndirect reports whether indirect probes are still to be requested unless an Ack arrives first.
func (p *probe) awaitsIndirect() bool { return p.running && p.helpers == 0 && p.indirectAt > 0 }

// indirectProbe is a ping requested by another member (ping-req).
type indirectProbe struct {
	seq          uint32 // of this node's ping
	requester    netip.AddrPort
	requesterSeq uint32
	deadline     time.Duration
}

// startPeriod ends the current probe and starts the next one.
func (m *Machine) startPeriod() {
	if m.probe.running {
		m.probeFailed()
	}
	stretch := time.Duration(1 + m.healthScore)
	m.nextPeriod = m.now + stretch*m.options.ProbeInterval
	m.probe = probe{}
	if target := m.nextProbeTarget(); target != nil {
		m.seq++
		m.probe = probe{target: target.ID, seq: m.seq, indirectAt: m.now + stretch*m.options.ProbeTimeout, running: true}
		m.send(target.Addr, Message{Kind: Ping, Seq: m.seq})
	}
	m.pingUnreachable()
	m.gossip()
}

// probeFailed suspects the target of the probe, which replied neither to this node nor through a helper.
func (m *Machine) probeFailed() {
	// A Nack from a helper shows that this node's own network connection works.
	if m.probe.nacks == 0 {
		m.healthScore = min(maxHealthScore, m.healthScore+1)
	}
	if target := m.get(m.probe.target); target != nil && target.active() {
		m.suspect(target, m.id)
	}
}

// probeIndirectly pings the target again and asks other members to ping it.
func (m *Machine) probeIndirectly() {
	probe := &m.probe
	if member := m.get(probe.target); member != nil {
		m.send(member.Addr, Message{Kind: Ping, Seq: probe.seq})
	}
	var helpers []*memberState
	for _, member := range m.members {
		if member.status == Alive && !member.ListenOnly && member.ID != probe.target {
			helpers = append(helpers, member)
		}
	}
	probe.indirectAt = 0
	for range min(m.options.IndirectProbes, len(helpers)) {
		i := m.draw(len(helpers))
		m.send(helpers[i].Addr, Message{Kind: PingReq, Seq: probe.seq, MemberID: probe.target})
		helpers = slices.Delete(helpers, i, i+1)
		probe.helpers++
	}
}

// nextProbeTarget returns the member to probe next, or nil if there is none. A round probes each member once, and those of the
// own zone Options.OwnZoneProbes times, in random order.
func (m *Machine) nextProbeTarget() *memberState {
	if member := m.takeProbeTarget(); member != nil {
		return member
	}
	m.newProbeRound()
	if member := m.takeProbeTarget(); member != nil {
		return member
	}
	m.newProbeRound()
	return nil
}

// takeProbeTarget removes members from the current round up to the first active one and returns that one, or nil if the round
// has ended.
func (m *Machine) takeProbeTarget() *memberState {
	for len(m.probeOrder) > 0 {
		member := m.get(m.probeOrder[0])
		m.probeOrder = m.probeOrder[1:]
		if member != nil && member.active() {
			return member
		}
	}
	return nil
}

// newProbeRound starts a round in random order.
func (m *Machine) newProbeRound() {
	for _, member := range m.members {
		times := 1
		if member.Zone == m.self.Zone {
			times = m.options.OwnZoneProbes
		}
		for range times {
			m.probeOrder = append(m.probeOrder, member.ID)
		}
	}
	for i := len(m.probeOrder) - 1; i > 0; i-- {
		j := m.draw(i + 1)
		m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	}
}

// pingUnreachable pings a random dead member or unknown seed. Without it the sides of a healed partition would not
// contact each other again.
func (m *Machine) pingUnreachable() {
	var addrs []netip.AddrPort
	for _, member := range m.members {
		if member.status == Dead {
			addrs = append(addrs, member.Addr)
		}
	}
	for _, seed := range m.options.Seeds {
		if seed != m.self.Addr && !m.knowsAddr(seed) {
			addrs = append(addrs, seed)
		}
	}
	if len(addrs) == 0 {
		return
	}
	m.seq++
	m.selfTransmits = min(m.selfTransmits, 1) // the receiver may not know this node
	m.send(addrs[m.draw(len(addrs))], Message{Kind: Ping, Seq: m.seq})
}

// knowsAddr reports whether a member has this address.
func (m *Machine) knowsAddr(addr netip.AddrPort) bool {
	return slices.ContainsFunc(m.members, func(member *memberState) bool { return member.Addr == addr })
}

// receiveAck completes the probe that the Ack belongs to, forwards the Ack to the member that requested an indirect probe, and
// requests the sender's member list if its digest differs.
func (m *Machine) receiveAck(from netip.AddrPort, msg Message) {
	if m.probe.running && msg.Seq == m.probe.seq && (msg.From == m.probe.target || m.probe.helpers > 0) {
		m.probe.running = false
		m.healthScore = max(0, m.healthScore-1)
	}
	index := slices.IndexFunc(m.indirectProbes, func(r indirectProbe) bool { return r.seq == msg.Seq })
	if index >= 0 {
		r := m.indirectProbes[index]
		m.send(r.requester, Message{Kind: Ack, Seq: r.requesterSeq, Digest: m.digest()})
		m.indirectProbes = slices.Delete(m.indirectProbes, index, index+1)
	}
	if msg.Digest != 0 && msg.Digest != m.digest() {
		m.requestPages(from, 0)
	}
}

// receivePingReq pings the member named in the message on behalf of the sender.
func (m *Machine) receivePingReq(from netip.AddrPort, msg Message) {
	target := m.get(msg.MemberID)
	if target == nil || len(m.indirectProbes) >= maxPendingIndirectProbes {
		return
	}
	m.seq++
	m.indirectProbes = append(m.indirectProbes, indirectProbe{
		seq:          m.seq,
		requester:    from,
		requesterSeq: msg.Seq,
		deadline:     m.now + m.options.ProbeTimeout,
	})
	m.send(target.Addr, Message{Kind: Ping, Seq: m.seq})
}

// expireIndirectProbes sends a Nack for each ping on behalf of another member that timed out.
func (m *Machine) expireIndirectProbes() {
	m.indirectProbes = slices.DeleteFunc(m.indirectProbes, func(r indirectProbe) bool {
		if m.now < r.deadline {
			return false
		}
		m.send(r.requester, Message{Kind: Nack, Seq: r.requesterSeq})
		return true
	})
}
