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
		return fmt.Errorf("members: period %v, timeout %v; allowed: a timeout above 0 and a period of twice it at least", o.Period, o.Timeout)
	case o.Indirect < 0 || o.Indirect > 16:
		return fmt.Errorf("members: indirect %d; allowed: 0 to 16", o.Indirect)
	case !(o.Suspicion >= 1 && o.Suspicion <= 100) || !(o.Stretch >= 1 && o.Stretch <= 100):
		return fmt.Errorf("members: suspicion %v, stretch %v; allowed: 1 to 100", o.Suspicion, o.Stretch)
	case o.Spread < 1 || o.Spread > 100 || o.Near < 1 || o.Near > 100:
		return fmt.Errorf("members: spread %d, near %d; allowed: 1 to 100", o.Spread, o.Near)
	case o.Forget < o.MaxSuspicion(2):
		return fmt.Errorf("members: forget %v; allowed: %v or more, or a suspicion outlasts it", o.Forget, o.MaxSuspicion(2))
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
	incarnation uint32
	notified    uint32 // in which incarnation its Peer was as it is held
	carry       bool   // its Peer goes with words of it, for it is news
	status      Status
	since       time.Duration // when it came to this status here
	heard       time.Duration // last message from it
	voices      []ID          // that suspect it, in their order
	sent        int           // times that the word of it went out
	last        time.Duration // until when it may answer a last ping; 0: it was sent none
}

// probe is the one under way.
type probe struct {
	of      ID
	seq     uint32
	ask     time.Duration // when others are asked
	asked   int
	nacks   int
	running bool
}

// relay is a ping for another.
type relay struct {
	seq   uint32 // of our ping
	to    netip.AddrPort
	reply uint32 // the asker's Seq
	until time.Duration
}

// Machine is one node's view. Its methods belong to one goroutine.
type Machine struct {
	o           Options
	self        Peer
	id          ID
	incarnation uint32
	left        bool
	seed        uint64
	draws       uint64
	now         time.Duration
	members     []*member // all others, in the order of their IDs
	order       []ID      // still to be probed this round
	probe       probe
	next        time.Duration // the next period
	relays      []relay
	seq         uint32
	ill         int
	own         int // times that the own word went out
	pulling     time.Duration
	out         []Packet
	behind      []ID // of whom the sender of what is being answered knows less than this node

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
		return nil, fmt.Errorf("members: %+v; allowed: a name of 1 to %d bytes, places of up to %d, an address", self, MaxName, MaxPlace)
	}
	return &Machine{o: o, self: self, id: IDOf(self.Name), seed: seed}, nil
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

// living counts the members that are not dead or left, this one among them.
func (m *Machine) living() int {
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
		msg.Updates = m.words(to, MaxBytes-4*len(msg.Sums))
	}
	m.out = append(m.out, Packet{to, msg})
}

// words are the updates that go with a message: what is held against its receiver first, so that it can answer that, then
// the own word, then those that went out least.
// Who and where somebody is goes with the first words of it alone.
func (m *Machine) words(to netip.AddrPort, room int) (out []Update) {
	add := func(u Update) bool {
		n := size(u)
		if n > room {
			return false
		}
		room -= n
		out = append(out, u)
		return true
	}
	most := m.most()
	for _, k := range m.members {
		if k.Addr == to && k.status != Alive {
			add(k.update(false))
		}
	}
	for _, id := range m.behind {
		if k := m.get(id); k != nil {
			add(k.update(false))
		}
	}
	if m.own < most || len(m.members) == 0 {
		m.own++
		add(m.word())
	}
	var fresh []*member
	for _, k := range m.members {
		if k.sent < most && k.Addr != to {
			fresh = append(fresh, k)
		}
	}
	// What has changed of a member goes before who there is: that is found by lists as well, and hundreds of newcomers would
	// be in the way of a death.
	slices.SortStableFunc(fresh, func(a, b *member) int {
		if a.carry != b.carry {
			if b.carry {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.sent, b.sent)
	})
	for _, k := range fresh {
		if !add(k.update(k.carry)) {
			break
		}
		if k.sent++; k.sent >= most {
			k.carry = false
		}
	}
	return out
}

// most is how often a word is passed on.
func (m *Machine) most() int {
	return m.o.Spread * int(math.Ceil(math.Log2(float64(m.living()+1))))
}

// word is what this node says of itself.
func (m *Machine) word() Update {
	u := Update{ID: m.id, Incarnation: m.incarnation, Peer: &m.self, PeerIncarnation: m.incarnation}
	if m.left {
		u.Status = Left
	}
	return u
}

func (k *member) update(complete bool) Update {
	u := Update{ID: k.ID, Incarnation: k.incarnation, Status: k.status}
	if complete {
		u.Peer, u.PeerIncarnation = &k.Peer, k.notified
	}
	if k.status == Suspect && len(k.voices) > 0 {
		u.By = k.voices[k.sent%len(k.voices)] // each goes round
	}
	return u
}

// Next is when Tick is due.
func (m *Machine) Next() time.Duration {
	at := m.next
	if m.probe.running && m.probe.asked == 0 && m.probe.ask > 0 {
		at = min(at, m.probe.ask)
	}
	for _, r := range m.relays {
		at = min(at, r.until)
	}
	for _, k := range m.members {
		if k.status == Suspect {
			at = min(at, m.due(k))
		}
	}
	return at
}

// due is when a suspicion ends: the more members confirm it, the sooner.
func (m *Machine) due(k *member) time.Duration {
	if k.last > 0 {
		return k.last
	}
	n := m.living()
	least, most := float64(m.o.MinSuspicion(n)), float64(m.o.MaxSuspicion(n))
	wanted := float64(min(m.o.Indirect, n-2))
	lasts := least
	if wanted >= 1 {
		lasts = max(least, most-(most-least)*math.Log(float64(len(k.voices)))/math.Log(wanted+1))
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
		case k.status != Suspect || m.now < m.due(k):
		case k.last == 0:
			m.lastChance(k)
		default:
			m.hold(k, k.incarnation, Dead)
		}
	}
	m.members = slices.DeleteFunc(m.members, func(k *member) bool {
		forgotten := k.status >= Dead && m.now-k.since >= m.o.Forget
		if forgotten {
			m.changes++
		}
		return forgotten
	})
	if p := &m.probe; p.running && p.asked == 0 && m.now >= p.ask {
		m.ask()
	}
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool {
		if m.now < r.until {
			return false
		}
		m.send(r.to, Message{Kind: Nack, Seq: r.reply})
		return true
	})
	if m.now >= m.next {
		m.period()
	}
	return m.flush()
}

// lastChance pings a member that this node is about to hold for dead: its answer would tell of a later incarnation. Nobody is held
// for dead by rumour alone.
func (m *Machine) lastChance(k *member) {
	k.last = m.now + m.o.Period
	m.send(k.Addr, Message{Kind: Ping})
}

func (m *Machine) begin(now time.Duration) {
	m.now = max(m.now, now)
	m.out, m.behind = nil, nil
}

func (m *Machine) flush() []Packet { return m.out }

// ask pings the member that has not answered once more, and has others ping it.
func (m *Machine) ask() {
	p := &m.probe
	if k := m.get(p.of); k != nil {
		m.send(k.Addr, Message{Kind: Ping, Seq: p.seq})
	}
	var helpers []*member
	for _, k := range m.members {
		if k.status == Alive && !k.Listens && k.ID != p.of {
			helpers = append(helpers, k)
		}
	}
	p.ask = 0
	for range min(m.o.Indirect, len(helpers)) {
		i := m.draw(len(helpers))
		m.send(helpers[i].Addr, Message{Kind: PingReq, Seq: p.seq, About: p.of})
		helpers = slices.Delete(helpers, i, i+1)
		p.asked++
	}
}

// period ends the probe that is under way and begins the next.
func (m *Machine) period() {
	if m.probe.running {
		// Where others could be asked and say that they have no answer either, it is not this node that is ill.
		if m.probe.nacks == 0 {
			m.ill = min(maxHealthScore, m.ill+1)
		}
		if k := m.get(m.probe.of); k != nil && k.status <= Suspect {
			m.suspect(k, m.id)
		}
	}
	m.probe = probe{}
	stretch := time.Duration(1 + m.ill)
	m.next = m.now + stretch*m.o.Period
	if k := m.nextTarget(); k != nil {
		m.seq++
		m.probe = probe{of: k.ID, seq: m.seq, ask: m.now + stretch*m.o.Timeout, running: true}
		m.send(k.Addr, Message{Kind: Ping, Seq: m.seq})
	}
	m.hail()
	m.gossip()
}

// Bounds of gossip.
const (
	maxGossip  = 6 // messages a period beside probes
	aboutWords = 9 // that a message holds
)

// gossip sends more than probes carry, where many words wait: as after many deaths at once.
func (m *Machine) gossip() {
	waiting, most := 0, m.most()
	var to []*member
	for _, k := range m.members {
		if k.sent < most/2 {
			waiting++
		}
		if k.status == Alive {
			to = append(to, k)
		}
	}
	for range min(maxGossip, waiting/aboutWords, len(to)) {
		m.send(to[m.draw(len(to))].Addr, Message{Kind: Ping})
	}
}

// nextTarget is whom to probe: everybody once a round in a drawn order, members of the own zone more often.
func (m *Machine) nextTarget() *member {
	for range 2 {
		for len(m.order) > 0 {
			k := m.get(m.order[0])
			m.order = m.order[1:]
			if k != nil && k.status <= Suspect {
				return k
			}
		}
		for _, k := range m.members {
			times := 1
			if k.Zone == m.self.Zone {
				times = m.o.Near
			}
			for range times {
				m.order = append(m.order, k.ID)
			}
		}
		for i := len(m.order) - 1; i > 0; i-- {
			j := m.draw(i + 1)
			m.order[i], m.order[j] = m.order[j], m.order[i]
		}
	}
	return nil
}

// hail greets somebody whom this node holds for dead, or a seed that it does not know, now and then: after a cut nobody
// else would begin to speak.
func (m *Machine) hail() {
	var strangers []netip.AddrPort
	for _, k := range m.members {
		if k.status == Dead {
			strangers = append(strangers, k.Addr)
		}
	}
	for _, a := range m.o.Seeds {
		if a != m.self.Addr && !slices.ContainsFunc(m.members, func(k *member) bool { return k.Addr == a }) {
			strangers = append(strangers, a)
		}
	}
	if len(strangers) > 0 {
		m.seq++
		m.own = min(m.own, 1) // who is greeted may never have heard of this node
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
		m.take(u, u.ID == msg.From)
		// Who spreads what is over is told so, as far as it is answered.
		if k := m.get(u.ID); k != nil && u.Status != Alive && u.Incarnation < k.incarnation {
			m.behind = append(m.behind, u.ID)
		}
	}
	k := m.get(msg.From)
	if k != nil {
		k.heard = m.now
	}
	switch msg.Kind {
	case Ping:
		m.send(from, Message{Kind: Ack, Seq: msg.Seq, Sum: m.sum()})
		if k == nil {
			m.pull(from, 0)
		}
	case Ack:
		m.takeAck(from, msg)
	case PingReq:
		if t := m.get(msg.About); t != nil && len(m.relays) < 64 {
			m.seq++
			m.relays = append(m.relays, relay{m.seq, from, msg.Seq, m.now + m.o.Timeout})
			m.send(t.Addr, Message{Kind: Ping, Seq: m.seq})
		}
	case Nack:
		if m.probe.running && msg.Seq == m.probe.seq {
			m.probe.nacks++
		}
	case Pull:
		m.page(from, msg.About, msg.Sums)
	case Page:
		if msg.About != 0 {
			m.send(from, Message{Kind: Pull, About: msg.About, Sums: m.sums()})
		}
	}
	return m.flush()
}

func (m *Machine) takeAck(from netip.AddrPort, msg Message) {
	if m.probe.running && msg.Seq == m.probe.seq && (msg.From == m.probe.of || m.probe.asked > 0) {
		m.probe.running = false
		m.ill = max(0, m.ill-1)
	}
	for i, r := range m.relays {
		if r.seq == msg.Seq {
			m.send(r.to, Message{Kind: Ack, Seq: r.reply, Sum: m.sum()})
			m.relays = slices.Delete(m.relays, i, i+1)
			break
		}
	}
	if msg.Sum != 0 && msg.Sum != m.sum() {
		m.pull(from, 0)
	}
}

// pull asks for another's list, once a period at most.
func (m *Machine) pull(from netip.AddrPort, at ID) {
	if m.now < m.pulling {
		return
	}
	m.pulling = m.now + m.o.Period
	m.send(from, Message{Kind: Pull, About: at, Sums: m.sums()})
}

// maxPages go out for one Pull.
const maxPages = 4

// page sends a part of the list, from an ID on: of the buckets in which the other holds something else.
func (m *Machine) page(to netip.AddrPort, at ID, sums []uint32) {
	own := m.sums()
	msg, pages := Message{Kind: Page}, 1
	room := MaxBytes
	if at == 0 {
		msg.Updates = append(msg.Updates, m.word())
		room -= size(msg.Updates[0])
	}
	for _, k := range m.members {
		if k.ID < at || len(sums) == Buckets && sums[bucket(k.ID)] == own[bucket(k.ID)] {
			continue
		}
		u := k.update(true)
		if room -= size(u); room < 0 && pages == maxPages {
			msg.About = k.ID
			break
		} else if room < 0 {
			m.send(to, msg)
			pages++
			msg, room = Message{Kind: Page}, MaxBytes-size(u)
		}
		msg.Updates = append(msg.Updates, u)
	}
	m.send(to, msg)
}

// Buckets are what a Pull tells of apart, by the first bits of members' IDs.
const Buckets = 32

func bucket(id ID) int { return int(id >> 59) }

// stamp is of one member in an incarnation.
func stamp(id ID, incarnation uint32) uint64 {
	return splitmix.Mix(uint64(id) ^ uint64(incarnation)*splitmix.Golden)
}

// sums are as sum, by bucket.
func (m *Machine) sums() []uint32 {
	s := make([]uint32, Buckets)
	s[bucket(m.id)] = uint32(stamp(m.id, m.incarnation))
	for _, k := range m.members {
		if k.status <= Suspect {
			s[bucket(k.ID)] ^= uint32(stamp(k.ID, k.incarnation))
		}
	}
	return s
}

// sum is alike at nodes that hold the same members for alive, at the same incarnations: dead ones are forgotten at different
// times, and suspicions pass by themselves. Never 0.
func (m *Machine) sum() uint64 {
	s := stamp(m.id, m.incarnation)
	for _, k := range m.members {
		if k.status <= Suspect {
			s ^= stamp(k.ID, k.incarnation)
		}
	}
	return max(1, s)
}

// take merges a word. own: it comes from whom it is of, who knows best where that is.
func (m *Machine) take(u Update, own bool) {
	if u.ID == m.id {
		if u.Incarnation < MaxIncarnation && (u.Incarnation > m.incarnation || u.Incarnation == m.incarnation && u.Status != Alive) {
			if u.Incarnation > m.incarnation {
				m.Twins++
			}
			m.incarnation, m.own = u.Incarnation+1, 0
			m.changes++
		} else if u.Incarnation < m.incarnation && u.Status != Alive {
			m.own = min(m.own, m.most()-1) // who accuses an incarnation that is over is told of this one
		}
		return
	}
	k := m.get(u.ID)
	if k == nil {
		if u.Peer == nil {
			return // nobody can be told of it
		}
		i, _ := m.find(u.ID)
		k = &member{ID: u.ID, Peer: *u.Peer, notified: u.PeerIncarnation, carry: true, incarnation: u.Incarnation, status: u.Status, since: m.now}
		if u.Status == Suspect {
			k.voices = []ID{u.By}
		}
		m.members = slices.Insert(m.members, i, k)
		m.changes++
		return
	}
	if u.Peer != nil && (u.PeerIncarnation > k.notified || own && u.PeerIncarnation == k.notified) {
		if k.notified = u.PeerIncarnation; k.Peer != *u.Peer {
			k.Peer, k.carry, k.sent = *u.Peer, true, 0
			m.changes++
		}
	}
	switch {
	case u.Incarnation > k.incarnation || u.Incarnation == k.incarnation && u.Status > k.status:
		switch {
		case u.Status == Suspect:
			m.hold(k, u.Incarnation, Alive)
			m.suspect(k, u.By)
		case u.Status == Dead && k.status <= Suspect:
			if u.Incarnation > k.incarnation || k.status == Alive {
				m.hold(k, u.Incarnation, Suspect)
			}
			if k.last == 0 {
				m.lastChance(k)
			}
		default:
			m.hold(k, u.Incarnation, u.Status)
		}
	case u.Incarnation == k.incarnation && u.Status == Suspect && k.status == Suspect:
		m.suspect(k, u.By)
	}
}

// hold has a member be of an incarnation and a status from now on.
func (m *Machine) hold(k *member, incarnation uint32, s Status) {
	k.incarnation, k.status, k.since, k.sent, k.last, k.carry, k.voices = incarnation, s, m.now, 0, 0, false, nil
	m.changes++
}

// suspect adds a voice against a member. A few are enough: more would end the suspicion no sooner.
func (m *Machine) suspect(k *member, by ID) {
	if k.status == Alive {
		m.hold(k, k.incarnation, Suspect)
	}
	if i, known := slices.BinarySearch(k.voices, by); !known && len(k.voices) <= m.o.Indirect {
		k.voices = slices.Insert(k.voices, i, by)
		k.sent = 0
	}
}

// Leave says goodbye to some members, and has the machine do nothing more.
func (m *Machine) Leave(now time.Duration) []Packet {
	m.begin(now)
	m.left, m.own = true, 0
	var all []*member
	for _, k := range m.members {
		if k.status <= Suspect {
			all = append(all, k)
		}
	}
	for range min(2*(1+m.o.Indirect), len(all)) {
		i := m.draw(len(all))
		m.own = 0
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
func (m *Machine) Health() int { return m.ill }
