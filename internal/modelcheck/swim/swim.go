// Package swim models small fleets of internal/membership for modelcheck: every interleaving of delivery, loss, duplication,
// crash, restart, pause and tick, within bounds on how often each may happen. It also simulates large fleets on virtual time.
package swim

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/membership"
	"damsontrestle/internal/modelcheck"
)

// Bounds limits how often each event may happen in one run.
type Bounds struct {
	Nodes                              int
	Ticks                              int           // per node
	Drops, Duplicates, Crashes, Leaves int           // of all nodes together
	Stops                              int           // pauses, after which the node resumes with its old view
	MaxClockSkew                       time.Duration // by which a node's clock may be ahead of the slowest
	Defect                             string        // injected to show that the checks detect it; empty: none
	Options                            membership.Options
	MaxInFlight                        int // messages in flight; those beyond it are lost
}

// SmallBounds returns bounds whose states can all be searched.
func SmallBounds() Bounds {
	o := membership.Defaults()
	o.RetransmitFactor, o.OwnZoneProbes = 1, 1
	return Bounds{Nodes: 2, Ticks: 3, Drops: 1, Crashes: 1, MaxClockSkew: 2 * time.Second, Options: o, MaxInFlight: 3}
}

// node is one process, running or crashed.
type node struct {
	name           string
	machine        *membership.Machine // nil: crashed
	clock          time.Duration
	ticks          int
	asleep         bool
	left           bool // it left the fleet in an orderly way
	maxIncarnation uint32
}

// fleet is the modelcheck.State of a small fleet.
type fleet struct {
	bounds  Bounds
	nodes   []node
	network modelcheck.Network
	used    struct{ crashes, leaves, stops int }
	failure error
}

var key = []byte("key")

// firstPort is the port of the first node; the others' ports follow it.
const firstPort = 7001

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+i))
}

// New returns the start state: nodes that know only one another's addresses, as seeds. With a single seed, a node that had not
// contacted the seed before the seed left would know no other node, from which no state machine could recover.
func New(b Bounds) (modelcheck.State, error) {
	f := &fleet{bounds: b, network: modelcheck.Network{MaxInFlight: b.MaxInFlight, DropsLeft: b.Drops, DuplicatesLeft: b.Duplicates}}
	f.bounds.Options.Seeds = nil
	for i := range b.Nodes {
		f.bounds.Options.Seeds = append(f.bounds.Options.Seeds, addr(i))
	}
	for i := range b.Nodes {
		f.nodes = append(f.nodes, node{name: fmt.Sprint("n", i)})
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) start(i int) error {
	m, err := membership.New(membership.Peer{Name: f.nodes[i].name, Addr: addr(i), Zone: "z"}, f.bounds.Options, uint64(i)+1)
	if err != nil {
		return fmt.Errorf("swim: %w", err)
	}
	f.nodes[i].machine, f.nodes[i].left, f.nodes[i].asleep = m, false, false
	return nil
}

func (f *fleet) clone() *fleet {
	c := *f
	c.nodes = slices.Clone(f.nodes)
	c.network = f.network.Clone()
	for i := range c.nodes {
		if m := c.nodes[i].machine; m != nil {
			c.nodes[i].machine = m.Clone()
		}
	}
	return &c
}

// slowestClock returns the clock of the running node that is furthest behind.
func (f *fleet) slowestClock() time.Duration {
	least := time.Duration(1 << 62)
	for _, n := range f.nodes {
		if n.machine != nil && !n.asleep && !n.left {
			least = min(least, n.clock)
		}
	}
	return least
}

// Moves implements modelcheck.State.
func (f *fleet) Moves() (moves []string) {
	for i, n := range f.nodes {
		running := n.machine != nil && !n.asleep && !n.left
		switch {
		case running:
			if n.ticks < f.bounds.Ticks && n.clock <= f.slowestClock()+f.bounds.MaxClockSkew {
				moves = append(moves, fmt.Sprint("tick ", i))
			}
			if f.used.crashes < f.bounds.Crashes {
				moves = append(moves, fmt.Sprint("crash ", i))
			}
			if f.used.stops < f.bounds.Stops {
				moves = append(moves, fmt.Sprint("stop ", i))
			}
			if f.used.leaves < f.bounds.Leaves {
				moves = append(moves, fmt.Sprint("leave ", i))
			}
		case n.machine == nil:
			moves = append(moves, fmt.Sprint("restart ", i))
		case n.asleep:
			moves = append(moves, fmt.Sprint("wake ", i))
		}
	}
	return append(moves, f.network.Moves()...)
}

// Apply implements modelcheck.State.
func (f *fleet) Apply(move string) (modelcheck.State, bool) {
	action, index, ok := modelcheck.ParseMove(move, f.Moves())
	if !ok {
		return nil, false
	}
	c := f.clone()
	switch action {
	case "tick":
		n := &c.nodes[index]
		n.clock = max(n.clock, n.machine.Next())
		n.ticks++
		c.step(index, func(m *membership.Machine) []membership.Packet { return m.Tick(n.clock) })
	case "crash":
		c.used.crashes++
		c.nodes[index].machine = nil
	case "restart":
		c.failure = c.start(index)
		c.nodes[index].clock = max(c.nodes[index].clock, 0)
	case "stop":
		c.used.stops++
		c.nodes[index].asleep = true
	case "wake":
		c.nodes[index].asleep = false
	case "leave":
		c.used.leaves++
		c.step(index, func(m *membership.Machine) []membership.Packet { return m.Leave(c.nodes[index].clock) })
		c.nodes[index].left = true
	default:
		if p, arrived := c.network.Apply(action, index); arrived {
			c.deliver(p)
		}
	}
	return c, true
}

// step runs one operation of a machine, sends its packets and checks that no member's incarnation or status went backwards.
func (f *fleet) step(i int, do func(*membership.Machine) []membership.Packet) {
	n := &f.nodes[i]
	before := n.machine.Members()
	packets := do(n.machine)
	_, incarnation := n.machine.Self()
	n.maxIncarnation = max(n.maxIncarnation, incarnation)
	after := map[membership.ID]membership.Member{}
	for _, k := range n.machine.Members() {
		after[k.ID] = k
	}
	for _, was := range before {
		is, kept := after[was.ID]
		if kept && (is.Incarnation < was.Incarnation || is.Incarnation == was.Incarnation && is.Status < was.Status) {
			f.failure = fmt.Errorf("%s had %s as %v at incarnation %d and now has it as %v at incarnation %d", n.name, was.Name, was.Status, was.Incarnation, is.Status, is.Incarnation)
		}
	}
	for _, p := range packets {
		f.injectDefect(n, &p)
		data := membership.Encode(p.Message, key)
		if len(data) > membership.MaxDatagram {
			f.failure = fmt.Errorf("%s sent a datagram that is too long: %d bytes", n.name, len(data))
		}
		f.network.Send(modelcheck.Message{From: i, To: int(p.To.Port()) - firstPort, Data: string(data)})
	}
}

// Defects lists the defects that can be injected; each violates a guarantee of the membership protocol.
var Defects = []string{"incarnations of others raised", "incarnation not raised", "suspicion never cleared", "probes not acknowledged", "probes sent to no node", "departures forgotten",
	"wrong member ID", "datagrams too long", "own updates omitted", "wrong sequence number in acknowledgments"}

// injectDefect applies the configured defect to a packet that a node sends.
func (f *fleet) injectDefect(n *node, p *membership.Packet) {
	self, _ := n.machine.Self()
	edit := func(change func(u *membership.Update) (keep bool)) {
		p.Updates = slices.Clone(p.Updates)
		kept := p.Updates[:0]
		for _, u := range p.Updates {
			if change(&u) {
				kept = append(kept, u)
			}
		}
		p.Updates = kept
	}
	switch f.bounds.Defect {
	case "incarnations of others raised":
		edit(func(u *membership.Update) bool {
			if u.Status == membership.Suspect {
				u.Incarnation++
			}
			return true
		})
	case "incarnation not raised":
		edit(func(u *membership.Update) bool {
			if u.ID == self {
				u.Incarnation, u.PeerIncarnation = 0, 0
			}
			return true
		})
	case "suspicion never cleared":
		edit(func(u *membership.Update) bool { return u.Status != membership.Alive || u.Incarnation == 0 })
	case "probes not acknowledged":
		if p.Kind == membership.Ack {
			p.Kind = membership.Nack
		}
	case "probes sent to no node":
		if p.Kind == membership.Ping {
			p.To = addr(len(f.nodes))
		}
	case "departures forgotten":
		edit(func(u *membership.Update) bool {
			if u.Status == membership.Left {
				u.Status, u.Incarnation = membership.Alive, u.Incarnation+1
			}
			return true
		})
	case "wrong member ID":
		edit(func(u *membership.Update) bool {
			u.ID++
			return true
		})
	case "datagrams too long":
		p.Updates = append(slices.Clone(p.Updates), slices.Repeat(p.Updates, 4)...)
	case "own updates omitted":
		edit(func(u *membership.Update) bool { return u.ID != self })
	case "wrong sequence number in acknowledgments":
		if p.Kind == membership.Ack {
			p.Seq++
		}
	}
}

func (f *fleet) deliver(p modelcheck.Message) {
	if p.To >= len(f.nodes) { // no node has this address
		return
	}
	n := &f.nodes[p.To]
	if n.machine == nil || n.asleep || n.left {
		return
	}
	m, err := membership.Decode([]byte(p.Data), key)
	if err != nil {
		f.failure = err
		return
	}
	f.step(p.To, func(k *membership.Machine) []membership.Packet { return k.Receive(n.clock, addr(p.From), m) })
}

// Key implements modelcheck.State.
func (f *fleet) Key() string {
	var b strings.Builder
	base := f.slowestClock()
	for _, n := range f.nodes {
		fmt.Fprintf(&b, "%v,%d,%v,%v,%d;", n.clock-base, n.ticks, n.asleep, n.left, n.maxIncarnation)
		if n.machine != nil {
			b.WriteString(n.machine.Fingerprint())
		}
	}
	fmt.Fprint(&b, f.used, f.network)
	return b.String()
}

// Check implements modelcheck.State.
func (f *fleet) Check() error {
	if f.failure != nil {
		return f.failure
	}
	for _, n := range f.nodes {
		if n.machine == nil {
			continue
		}
		for _, k := range n.machine.Members() {
			for _, o := range f.nodes {
				if o.name == k.Name && k.Incarnation > o.maxIncarnation {
					return fmt.Errorf("%s has %s at incarnation %d, but its highest is %d", n.name, k.Name, k.Incarnation, o.maxIncarnation)
				}
			}
		}
	}
	return nil
}

// settleRounds bounds Settle; the suspicions of two members time out many times within it.
const settleRounds = 400

// Settle implements modelcheck.Settler: it delivers every message in order, wakes paused nodes and advances all clocks together.
// In the end the running nodes must see one another as alive and no other node as alive or suspect.
func (f *fleet) Settle() error {
	c := f.clone()
	var now time.Duration
	for i := range c.nodes {
		c.nodes[i].asleep = false
		now = max(now, c.nodes[i].clock)
	}
	c.network.MaxInFlight = 1000
	for range settleRounds {
		for len(c.network.InFlight) > 0 {
			p, _ := c.network.Apply("deliver", 0)
			c.deliver(p)
		}
		if c.failure != nil {
			return c.failure
		}
		now += c.bounds.Options.ProbeInterval / 4
		for i := range c.nodes {
			n := &c.nodes[i]
			if n.machine == nil || n.left {
				continue
			}
			n.clock = max(n.clock, now)
			if n.machine.Next() <= n.clock {
				c.step(i, func(m *membership.Machine) []membership.Packet { return m.Tick(n.clock) })
			}
		}
	}
	for _, n := range c.nodes {
		if n.machine == nil || n.left {
			continue
		}
		held := map[string]membership.Status{}
		for _, k := range n.machine.Members() {
			held[k.Name] = k.Status
		}
		for _, o := range c.nodes {
			status, known := held[o.name]
			runs := o.machine != nil && !o.left
			switch {
			case o.name == n.name:
			case runs && (!known || status != membership.Alive):
				return fmt.Errorf("after settling, %s has %s as %v (known: %v), but it is running", n.name, o.name, status, known)
			case !runs && known && status <= membership.Suspect:
				return fmt.Errorf("after settling, %s has %s as %v, but it is not running", n.name, o.name, status)
			}
		}
	}
	return nil
}
