// Package membership knows which other nodes live: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnations, and
// Lifeguard's refinements (Dadgar, Phillips, Currey 2018): a node's own health stretches its patience, a suspicion that
// others confirm ends sooner, and whoever is suspected hears of it first. It does no I/O, has no clock and no goroutine:
// time and messages come in, messages go out.
//
// What it promises, in the papers' terms, with the incarnation of a member called its incarnation:
//
//   - Only a member itself raises its incarnation. A word of (life, status) takes the place of another of the same member only
//     if it is of a later incarnation, or of the same and graver (alive < suspect < dead < left): merging does not hang on
//     order, repetition or grouping, and what a node holds never goes back.
//   - A member that hears itself called suspect, dead or left, or of an incarnation of its own that it does not remember, as after a
//     restart under the same name, answers with a later incarnation. While it lives and its words get through, it is alive for
//     all in the end.
//   - A member that has stopped is suspected by whoever probes it next and finds neither it nor anybody who reaches it,
//     and dead for all at most MaxSuspicion after that, plus the time that a word takes to spread.
//   - Whatever the number of members, a node sends at most 1 + Indirect pings a period beside its answers, and messages
//     hold MaxBytes at most.
package membership

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"damsontrestle/internal/splitmix"
)

// ID tells members apart: it is made of the name alone.
type ID uint64

// IDOf is the ID of a name.
func IDOf(name string) ID {
	sum := sha256.Sum256([]byte(name))
	return ID(max(1, binary.BigEndian.Uint64(sum[:8])))
}

// Peer is what is told of a member beside its incarnation.
type Peer struct {
	Name         string         // up to MaxName bytes
	Addr         netip.AddrPort // where it listens
	Region, Zone string         // up to MaxPlace bytes each
	Listens      bool           // it hears and is heard, and is never asked to probe for others
}

// Bounds of a Peer's words.
const (
	MaxName  = 32
	MaxPlace = 16
)

// Status is what is held of a member, graver ones later.
type Status uint8

// Statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // in order
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

func (s Status) String() string { return statusNames[min(int(s), len(statusNames)-1)] }

// Update is a word of one member.
type Update struct {
	ID          ID
	Incarnation uint32
	Status      Status
	By          ID    // for Suspect: who suspects; one voice each
	Peer        *Peer // nil: as known

	PeerIncarnation uint32 // in which Peer was so
}

// Kind says what a message is for.
type Kind uint8

// Kinds of messages.
const (
	Ping    Kind = iota + 1 // answered by an Ack of the same Seq
	Ack                     // Sum tells of the sender's list
	PingReq                 // asks to ping About; answered by an Ack, or by a Nack where none comes
	Nack
	Pull // asks for the list from About on
	Page // a part of the list; About is where the next begins, 0: it was the last
)

// Message is what one member sends another.
type Message struct {
	Kind    Kind
	From    ID
	Seq     uint32
	About   ID
	Sum     uint64
	Updates []Update
	Sums    []uint32 // of a Pull: what the sender holds for alive, by bucket; only what differs is wanted
}

// Packet is a message on its way out.
type Packet struct {
	To netip.AddrPort
	Message
}

// MaxBytes is what the updates of a message take at most, as the codec writes them.
const MaxBytes = 200

// Options are a fleet's, the same at all members.
type Options struct {
	Period    time.Duration // between two probes, of a node in good health
	Timeout   time.Duration // of a ping
	Indirect  int           // others that are asked to ping a member that does not answer
	Suspicion float64       // periods, times the logarithm of the number of members, that a confirmed suspicion lasts
	Stretch   float64       // times as long one lasts that nobody confirms
	Spread    int           // times the logarithm of the number of members that a word is passed on
	Near      int           // probes of members of the own zone for each of another's
	Forget    time.Duration // after which a member that is dead or left is forgotten
	Seeds     []netip.AddrPort
}

// Defaults are the papers', for a period of a second.
func Defaults() Options {
	return Options{Period: time.Second, Timeout: 300 * time.Millisecond, Indirect: 3, Suspicion: 3, Stretch: 6, Spread: 2, Near: 2, Forget: 10 * time.Minute}
}

// Check names the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.Timeout <= 0 || o.Period < 2*o.Timeout:
		return fmt.Errorf("membership: period %v, timeout %v; allowed: a timeout above 0 and a period of twice it at least", o.Period, o.Timeout)
	case o.Indirect < 0 || o.Indirect > 16:
		return fmt.Errorf("membership: indirect %d; allowed: 0 to 16", o.Indirect)
	case !(o.Suspicion >= 1 && o.Suspicion <= 100) || !(o.Stretch >= 1 && o.Stretch <= 100):
		return fmt.Errorf("membership: suspicion %v, stretch %v; allowed: 1 to 100", o.Suspicion, o.Stretch)
	case o.Spread < 1 || o.Spread > 100 || o.Near < 1 || o.Near > 100:
		return fmt.Errorf("membership: spread %d, near %d; allowed: 1 to 100", o.Spread, o.Near)
	case o.Forget < o.MaxSuspicion(2):
		return fmt.Errorf("membership: forget %v; allowed: %v or more, or a suspicion outlasts it", o.Forget, o.MaxSuspicion(2))
	}
	return nil
}

// MinSuspicion and MaxSuspicion are how long a suspicion lasts among n members, with all confirmations and with none.
func (o Options) MinSuspicion(n int) time.Duration {
	return time.Duration(o.Suspicion * max(1, math.Log10(float64(n))) * float64(o.Period))
}

// MaxSuspicion is the longest that one lasts.
func (o Options) MaxSuspicion(n int) time.Duration {
	return time.Duration(o.Stretch * float64(o.MinSuspicion(n)))
}

// maxHealthScore bounds the count of own ill health, by which periods and timeouts stretch (Lifeguard).
const maxHealthScore = 8

// member is what is held of one.
type member struct {
	ID
	Peer
	incarnation     uint32
	peerIncarnation uint32 // in which Peer was announced
	peerPending     bool   // Peer is news and goes with the next updates
	status          Status
	since           time.Duration // when it came to this status here
	heard           time.Duration // last message from it
	suspectors      []ID          // members that suspect it, sorted
	transmits       int           // times that the update of it went out
	finalPingUntil  time.Duration // until when it may answer the final ping; 0: none was sent
}

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

// Machine is one node's view. Its methods belong to one goroutine.
type Machine struct {
	options        Options
	self           Peer
	id             ID
	incarnation    uint32
	left           bool
	seed           uint64
	draws          uint64
	now            time.Duration
	members        []*member // all others, in the order of their IDs
	probeOrder     []ID      // still to be probed in this round
	probe          probe
	nextPeriod     time.Duration
	indirectProbes []indirectProbe // for others
	seq            uint32
	healthScore    int           // local health score (Lifeguard): 0 is healthy
	selfTransmits  int           // times that this node's own update went out
	nextPull       time.Duration // no Pull goes out before
	packets        []Packet
	outdated       []ID // members of which the sender of the message at hand knows less than this node

	changes int

	// Twins counts words of an own incarnation that this process did not have, beyond the first: another process under its name.
	Twins int
}

// New returns a Machine that knows only itself. Nothing goes out before Tick.
func New(self Peer, o Options, seed uint64) (*Machine, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if self.Name == "" || len(self.Name) > MaxName || len(self.Region) > MaxPlace || len(self.Zone) > MaxPlace || !self.Addr.IsValid() {
		return nil, fmt.Errorf("membership: %+v; allowed: a name of 1 to %d bytes, places of up to %d, an address", self, MaxName, MaxPlace)
	}
	return &Machine{options: o, self: self, id: IDOf(self.Name), seed: seed}, nil
}

// draw is a number below n, from the seed and the count of draws.
func (m *Machine) draw(n int) int {
	m.draws++
	return splitmix.Draw(m.seed, m.draws, n)
}

func (m *Machine) find(id ID) (int, bool) {
	return slices.BinarySearchFunc(m.members, id, func(k *member, id ID) int { return cmp.Compare(k.ID, id) })
}

func (m *Machine) get(id ID) *member {
	if i, ok := m.find(id); ok {
		return m.members[i]
	}
	return nil
}

// activeCount counts the members that are not dead or left, this one among them.
func (m *Machine) activeCount() int {
	n := 1
	for _, k := range m.members {
		if k.status <= Suspect {
			n++
		}
	}
	return n
}

func (m *Machine) send(to netip.AddrPort, msg Message) {
	msg.From = m.id
	if msg.Kind != Page {
		msg.Updates = m.piggyback(to, MaxBytes-4*len(msg.Sums))
	}
	m.packets = append(m.packets, Packet{to, msg})
}

// piggyback chooses the updates that go with a message: what is held against its receiver first, so that it can answer that, then
// the own word, then those that went out least.
// Who and where somebody is goes with the first words of it alone.
func (m *Machine) piggyback(to netip.AddrPort, room int) (out []Update) {
	add := func(u Update) bool {
		n := updateSize(u)
		if n > room {
			return false
		}
		room -= n
		out = append(out, u)
		return true
	}
	most := m.retransmitLimit()
	for _, k := range m.members {
		if k.Addr == to && k.status != Alive {
			add(k.update(false))
		}
	}
	for _, id := range m.outdated {
		if k := m.get(id); k != nil {
			add(k.update(false))
		}
	}
	if m.selfTransmits < most || len(m.members) == 0 {
		m.selfTransmits++
		add(m.selfUpdate())
	}
	var fresh []*member
	for _, k := range m.members {
		if k.transmits < most && k.Addr != to {
			fresh = append(fresh, k)
		}
	}
	// What has changed of a member goes before who there is: that is found by lists as well, and hundreds of newcomers would
	// be in the way of a death.
	slices.SortStableFunc(fresh, func(a, b *member) int {
		if a.peerPending != b.peerPending {
			if b.peerPending {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.transmits, b.transmits)
	})
	for _, k := range fresh {
		if !add(k.update(k.peerPending)) {
			break
		}
		if k.transmits++; k.transmits >= most {
			k.peerPending = false
		}
	}
	return out
}

// retransmitLimit is how often a word is passed on.
func (m *Machine) retransmitLimit() int {
	return m.options.Spread * int(math.Ceil(math.Log2(float64(m.activeCount()+1))))
}

// selfUpdate is what this node says of itself.
func (m *Machine) selfUpdate() Update {
	u := Update{ID: m.id, Incarnation: m.incarnation, Peer: &m.self, PeerIncarnation: m.incarnation}
	if m.left {
		u.Status = Left
	}
	return u
}

func (k *member) update(complete bool) Update {
	u := Update{ID: k.ID, Incarnation: k.incarnation, Status: k.status}
	if complete {
		u.Peer, u.PeerIncarnation = &k.Peer, k.peerIncarnation
	}
	if k.status == Suspect && len(k.suspectors) > 0 {
		u.By = k.suspectors[k.transmits%len(k.suspectors)] // each goes round
	}
	return u
}

// Next is when Tick is due.
func (m *Machine) Next() time.Duration {
	at := m.nextPeriod
	if m.probe.running && m.probe.helpers == 0 && m.probe.indirectAt > 0 {
		at = min(at, m.probe.indirectAt)
	}
	for _, r := range m.indirectProbes {
		at = min(at, r.deadline)
	}
	for _, k := range m.members {
		if k.status == Suspect {
			at = min(at, m.suspicionEnd(k))
		}
	}
	return at
}

// suspicionEnd is when a suspicion ends: the more members confirm it, the sooner.
func (m *Machine) suspicionEnd(k *member) time.Duration {
	if k.finalPingUntil > 0 {
		return k.finalPingUntil
	}
	n := m.activeCount()
	least, most := float64(m.options.MinSuspicion(n)), float64(m.options.MaxSuspicion(n))
	wanted := float64(min(m.options.Indirect, n-2))
	lasts := least
	if wanted >= 1 {
		lasts = max(least, most-(most-least)*math.Log(float64(len(k.suspectors)))/math.Log(wanted+1))
	}
	return k.since + time.Duration(lasts)
}

// Tick does what is due at a time of this node's clock.
func (m *Machine) Tick(now time.Duration) []Packet {
	m.begin(now)
	if m.left {
		return m.flush()
	}
	for _, k := range m.members {
		switch {
		case k.status != Suspect || m.now < m.suspicionEnd(k):
		case k.finalPingUntil == 0:
			m.sendFinalPing(k)
		default:
			m.setStatus(k, k.incarnation, Dead)
		}
	}
	m.members = slices.DeleteFunc(m.members, func(k *member) bool {
		forgotten := k.status >= Dead && m.now-k.since >= m.options.Forget
		if forgotten {
			m.changes++
		}
		return forgotten
	})
	if p := &m.probe; p.running && p.helpers == 0 && m.now >= p.indirectAt {
		m.probeIndirectly()
	}
	m.indirectProbes = slices.DeleteFunc(m.indirectProbes, func(r indirectProbe) bool {
		if m.now < r.deadline {
			return false
		}
		m.send(r.requester, Message{Kind: Nack, Seq: r.requesterSeq})
		return true
	})
	if m.now >= m.nextPeriod {
		m.startPeriod()
	}
	return m.flush()
}

// sendFinalPing pings a member that this node is about to hold for dead: its answer would tell of a later incarnation. Nobody is held
// for dead by rumour alone.
func (m *Machine) sendFinalPing(k *member) {
	k.finalPingUntil = m.now + m.options.Period
	m.send(k.Addr, Message{Kind: Ping})
}

func (m *Machine) begin(now time.Duration) {
	m.now = max(m.now, now)
	m.packets, m.outdated = nil, nil
}

func (m *Machine) flush() []Packet { return m.packets }

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

// Bounds of gossip.
const (
	maxGossip         = 6 // messages a period beside probes
	updatesPerMessage = 9 // that a message holds
)

// gossip sends more than probes carry, where many words wait: as after many deaths at once.
func (m *Machine) gossip() {
	waiting, most := 0, m.retransmitLimit()
	var to []*member
	for _, k := range m.members {
		if k.transmits < most/2 {
			waiting++
		}
		if k.status == Alive {
			to = append(to, k)
		}
	}
	for range min(maxGossip, waiting/updatesPerMessage, len(to)) {
		m.send(to[m.draw(len(to))].Addr, Message{Kind: Ping})
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

// Receive takes a message that came from an address.
func (m *Machine) Receive(now time.Duration, from netip.AddrPort, msg Message) []Packet {
	m.begin(now)
	if m.left || msg.From == m.id {
		return m.flush()
	}
	for _, u := range msg.Updates {
		m.merge(u, u.ID == msg.From)
		// Who spreads what is over is told so, as far as it is answered.
		if k := m.get(u.ID); k != nil && u.Status != Alive && u.Incarnation < k.incarnation {
			m.outdated = append(m.outdated, u.ID)
		}
	}
	k := m.get(msg.From)
	if k != nil {
		k.heard = m.now
	}
	switch msg.Kind {
	case Ping:
		m.send(from, Message{Kind: Ack, Seq: msg.Seq, Sum: m.digest()})
		if k == nil {
			m.requestPages(from, 0)
		}
	case Ack:
		m.receiveAck(from, msg)
	case PingReq:
		if t := m.get(msg.About); t != nil && len(m.indirectProbes) < 64 {
			m.seq++
			m.indirectProbes = append(m.indirectProbes, indirectProbe{m.seq, from, msg.Seq, m.now + m.options.Timeout})
			m.send(t.Addr, Message{Kind: Ping, Seq: m.seq})
		}
	case Nack:
		if m.probe.running && msg.Seq == m.probe.seq {
			m.probe.nacks++
		}
	case Pull:
		m.sendPages(from, msg.About, msg.Sums)
	case Page:
		if msg.About != 0 {
			m.send(from, Message{Kind: Pull, About: msg.About, Sums: m.bucketDigests()})
		}
	}
	return m.flush()
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

// requestPages asks for another's list, once a period at most.
func (m *Machine) requestPages(from netip.AddrPort, at ID) {
	if m.now < m.nextPull {
		return
	}
	m.nextPull = m.now + m.options.Period
	m.send(from, Message{Kind: Pull, About: at, Sums: m.bucketDigests()})
}

// maxPages go out for one Pull.
const maxPages = 4

// sendPages sends a part of the list, from an ID on: of the buckets in which the other holds something else.
func (m *Machine) sendPages(to netip.AddrPort, at ID, sums []uint32) {
	own := m.bucketDigests()
	msg, pages := Message{Kind: Page}, 1
	room := MaxBytes
	if at == 0 {
		msg.Updates = append(msg.Updates, m.selfUpdate())
		room -= updateSize(msg.Updates[0])
	}
	for _, k := range m.members {
		if k.ID < at || len(sums) == Buckets && sums[bucket(k.ID)] == own[bucket(k.ID)] {
			continue
		}
		u := k.update(true)
		if room -= updateSize(u); room < 0 && pages == maxPages {
			msg.About = k.ID
			break
		} else if room < 0 {
			m.send(to, msg)
			pages++
			msg, room = Message{Kind: Page}, MaxBytes-updateSize(u)
		}
		msg.Updates = append(msg.Updates, u)
	}
	m.send(to, msg)
}

// Buckets are what a Pull tells of apart, by the first bits of members' IDs.
const Buckets = 32

func bucket(id ID) int { return int(id >> 59) }

// memberDigest is of one member in an incarnation.
func memberDigest(id ID, incarnation uint32) uint64 {
	return splitmix.Mix(uint64(id) ^ uint64(incarnation)*splitmix.Golden)
}

// bucketDigests are as digest, by bucket.
func (m *Machine) bucketDigests() []uint32 {
	s := make([]uint32, Buckets)
	s[bucket(m.id)] = uint32(memberDigest(m.id, m.incarnation))
	for _, k := range m.members {
		if k.status <= Suspect {
			s[bucket(k.ID)] ^= uint32(memberDigest(k.ID, k.incarnation))
		}
	}
	return s
}

// digest is alike at nodes that hold the same members for alive, at the same incarnations: dead ones are forgotten at different
// times, and suspicions pass by themselves. Never 0.
func (m *Machine) digest() uint64 {
	s := memberDigest(m.id, m.incarnation)
	for _, k := range m.members {
		if k.status <= Suspect {
			s ^= memberDigest(k.ID, k.incarnation)
		}
	}
	return max(1, s)
}

// merge merges a word. own: it comes from whom it is of, who knows best where that is.
func (m *Machine) merge(u Update, own bool) {
	if u.ID == m.id {
		if u.Incarnation < MaxIncarnation && (u.Incarnation > m.incarnation || u.Incarnation == m.incarnation && u.Status != Alive) {
			if u.Incarnation > m.incarnation {
				m.Twins++
			}
			m.incarnation, m.selfTransmits = u.Incarnation+1, 0
			m.changes++
		} else if u.Incarnation < m.incarnation && u.Status != Alive {
			m.selfTransmits = min(m.selfTransmits, m.retransmitLimit()-1) // who accuses an incarnation that is over is told of this one
		}
		return
	}
	k := m.get(u.ID)
	if k == nil {
		if u.Peer == nil {
			return // nobody can be told of it
		}
		i, _ := m.find(u.ID)
		k = &member{ID: u.ID, Peer: *u.Peer, peerIncarnation: u.PeerIncarnation, peerPending: true, incarnation: u.Incarnation, status: u.Status, since: m.now}
		if u.Status == Suspect {
			k.suspectors = []ID{u.By}
		}
		m.members = slices.Insert(m.members, i, k)
		m.changes++
		return
	}
	if u.Peer != nil && (u.PeerIncarnation > k.peerIncarnation || own && u.PeerIncarnation == k.peerIncarnation) {
		if k.peerIncarnation = u.PeerIncarnation; k.Peer != *u.Peer {
			k.Peer, k.peerPending, k.transmits = *u.Peer, true, 0
			m.changes++
		}
	}
	switch {
	case u.Incarnation > k.incarnation || u.Incarnation == k.incarnation && u.Status > k.status:
		switch {
		case u.Status == Suspect:
			m.setStatus(k, u.Incarnation, Alive)
			m.suspect(k, u.By)
		case u.Status == Dead && k.status <= Suspect:
			if u.Incarnation > k.incarnation || k.status == Alive {
				m.setStatus(k, u.Incarnation, Suspect)
			}
			if k.finalPingUntil == 0 {
				m.sendFinalPing(k)
			}
		default:
			m.setStatus(k, u.Incarnation, u.Status)
		}
	case u.Incarnation == k.incarnation && u.Status == Suspect && k.status == Suspect:
		m.suspect(k, u.By)
	}
}

// setStatus has a member be of an incarnation and a status from now on.
func (m *Machine) setStatus(k *member, incarnation uint32, s Status) {
	k.incarnation, k.status, k.since, k.transmits, k.finalPingUntil, k.peerPending, k.suspectors = incarnation, s, m.now, 0, 0, false, nil
	m.changes++
}

// suspect adds a voice against a member. A few are enough: more would end the suspicion no sooner.
func (m *Machine) suspect(k *member, by ID) {
	if k.status == Alive {
		m.setStatus(k, k.incarnation, Suspect)
	}
	if i, known := slices.BinarySearch(k.suspectors, by); !known && len(k.suspectors) <= m.options.Indirect {
		k.suspectors = slices.Insert(k.suspectors, i, by)
		k.transmits = 0
	}
}

// Leave says goodbye to some members, and has the machine do nothing more.
func (m *Machine) Leave(now time.Duration) []Packet {
	m.begin(now)
	m.left, m.selfTransmits = true, 0
	var all []*member
	for _, k := range m.members {
		if k.status <= Suspect {
			all = append(all, k)
		}
	}
	for range min(2*(1+m.options.Indirect), len(all)) {
		i := m.draw(len(all))
		m.selfTransmits = 0
		m.send(all[i].Addr, Message{Kind: Ping})
		all = slices.Delete(all, i, i+1)
	}
	return m.flush()
}

// Member is what is told of one.
type Member struct {
	Peer
	ID          ID
	Incarnation uint32
	Status      Status
	Since       time.Duration // time of this node's clock when it came to this status here
	Heard       time.Duration // and when a message from it came last; 0: never
}

// Members are all that are known but the node itself, in the order of their IDs.
func (m *Machine) Members() (out []Member) {
	for _, k := range m.members {
		out = append(out, Member{k.Peer, k.ID, k.incarnation, k.status, k.since, k.heard})
	}
	return out
}

// Changes grows with each change of who is known, of their incarnations and statuses, and of the own incarnation.
func (m *Machine) Changes() int { return m.changes }

// Self is the node's own ID and life.
func (m *Machine) Self() (ID, uint32) { return m.id, m.incarnation }

// Health is 0 where all is well with the node itself, up to 8.
func (m *Machine) Health() int { return m.healthScore }
