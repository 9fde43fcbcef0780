package membership

import (
	"net/netip"
	"slices"
	"time"
)

// probe is the one under way.
type probe struct {
	target     ID
	seq        uint32
	indirectAt time.Duration // when others are asked to probe it
	helpers    int           // members that were asked to probe it
	nacks      int
	running    bool
}

// indirectProbe is a ping on behalf of another member (ping-req).
type indirectProbe struct {
	seq          uint32 // of our ping
	requester    netip.AddrPort
	requesterSeq uint32
	deadline     time.Duration
}

// startPeriod ends the probe that is under way and begins the next.
func (m *Machine) startPeriod() {
	if m.probe.running {
		// Where others could be asked and say that they have no answer either, it is not this node that is ill.
		if m.probe.nacks == 0 {
			m.healthScore = min(maxHealthScore, m.healthScore+1)
		}
		if k := m.get(m.probe.target); k != nil && k.status <= Suspect {
			m.suspect(k, m.id)
		}
	}
	m.probe = probe{}
	stretch := time.Duration(1 + m.healthScore)
	m.nextPeriod = m.now + stretch*m.options.Period
	if k := m.nextProbeTarget(); k != nil {
		m.seq++
		m.probe = probe{target: k.ID, seq: m.seq, indirectAt: m.now + stretch*m.options.Timeout, running: true}
		m.send(k.Addr, Message{Kind: Ping, Seq: m.seq})
	}
	m.pingUnreachable()
	m.gossip()
}

// probeIndirectly pings the member that has not answered once more, and has others ping it.
func (m *Machine) probeIndirectly() {
	p := &m.probe
	if k := m.get(p.target); k != nil {
		m.send(k.Addr, Message{Kind: Ping, Seq: p.seq})
	}
	var helpers []*member
	for _, k := range m.members {
		if k.status == Alive && !k.Listens && k.ID != p.target {
			helpers = append(helpers, k)
		}
	}
	p.indirectAt = 0
	for range min(m.options.Indirect, len(helpers)) {
		i := m.draw(len(helpers))
		m.send(helpers[i].Addr, Message{Kind: PingReq, Seq: p.seq, About: p.target})
		helpers = slices.Delete(helpers, i, i+1)
		p.helpers++
	}
}

// nextProbeTarget is whom to probe: everybody once a round in a drawn order, members of the own zone more often.
func (m *Machine) nextProbeTarget() *member {
	for range 2 {
		for len(m.probeOrder) > 0 {
			k := m.get(m.probeOrder[0])
			m.probeOrder = m.probeOrder[1:]
			if k != nil && k.status <= Suspect {
				return k
			}
		}
		for _, k := range m.members {
			times := 1
			if k.Zone == m.self.Zone {
				times = m.options.Near
			}
			for range times {
				m.probeOrder = append(m.probeOrder, k.ID)
			}
		}
		for i := len(m.probeOrder) - 1; i > 0; i-- {
			j := m.draw(i + 1)
			m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
		}
	}
	return nil
}

// pingUnreachable pings somebody whom this node holds for dead, or a seed that it does not know, now and then: after a cut nobody
// else would begin to speak.
func (m *Machine) pingUnreachable() {
	var strangers []netip.AddrPort
	for _, k := range m.members {
		if k.status == Dead {
			strangers = append(strangers, k.Addr)
		}
	}
	for _, a := range m.options.Seeds {
		if a != m.self.Addr && !slices.ContainsFunc(m.members, func(k *member) bool { return k.Addr == a }) {
			strangers = append(strangers, a)
		}
	}
	if len(strangers) > 0 {
		m.seq++
		m.selfTransmits = min(m.selfTransmits, 1) // who is greeted may never have heard of this node
		m.send(strangers[m.draw(len(strangers))], Message{Kind: Ping, Seq: m.seq})
	}
}

func (m *Machine) receiveAck(from netip.AddrPort, msg Message) {
	if m.probe.running && msg.Seq == m.probe.seq && (msg.From == m.probe.target || m.probe.helpers > 0) {
		m.probe.running = false
		m.healthScore = max(0, m.healthScore-1)
	}
	for i, r := range m.indirectProbes {
		if r.seq == msg.Seq {
			m.send(r.requester, Message{Kind: Ack, Seq: r.requesterSeq, Sum: m.digest()})
			m.indirectProbes = slices.Delete(m.indirectProbes, i, i+1)
			break
		}
	}
	if msg.Sum != 0 && msg.Sum != m.digest() {
		m.requestPages(from, 0)
	}
}
