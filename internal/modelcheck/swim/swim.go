// Package swim lets the explorer play small fleets of internal/membership: every order of delivery, loss, doubling, crash,
// restart, stop and ticking, within bounds on how often each may happen.
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

// Bounds are how often each thing may happen in one history.
type Bounds struct {
	Nodes                           int
	Ticks                           int           // of each node
	Drops, Doubles, Crashes, Leaves int           // in all
	Stops                           int           // that are woken again with their old view
	Skew                            time.Duration // by which nodes' clocks may lie apart
	Defect                          string        // planted, to show that the checks see; empty: none
	Options                         membership.Options
	MostFlying                      int // messages on their way at once; more are lost
}

// Small are bounds whose states can all be tried.
func Small() Bounds {
	o := membership.Defaults()
	o.RetransmitFactor, o.OwnZoneProbes = 1, 1
	return Bounds{Nodes: 2, Ticks: 3, Drops: 1, Crashes: 1, Skew: 2 * time.Second, Options: o, MostFlying: 3}
}

// node is one process, or its absence.
type node struct {
	name    string
	machine *membership.Machine // nil: it has crashed
	clock   time.Duration
	ticks   int
	asleep  bool
	gone    bool // it left in order
	top     uint32
}

// fleet is a state.
type fleet struct {
	b     Bounds
	nodes []node
	air   modelcheck.Air
	used  struct{ crashes, leaves, stops int }
	wrong error
}

var key = []byte("key")

// firstPort is where the first node is; the others follow.
const firstPort = 7001

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+i))
}

// New is the start: nodes that know one another's addresses as seeds, and nothing else. With one seed only, who never
// met it before it left knows nobody, and no machine can mend that.
func New(b Bounds) (modelcheck.State, error) {
	f := &fleet{b: b, air: modelcheck.Air{Most: b.MostFlying, Drops: b.Drops, Doubles: b.Doubles}}
	f.b.Options.Seeds = nil
	for i := range b.Nodes {
		f.b.Options.Seeds = append(f.b.Options.Seeds, addr(i))
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
	m, err := membership.New(membership.Peer{Name: f.nodes[i].name, Addr: addr(i), Zone: "z"}, f.b.Options, uint64(i)+1)
	if err != nil {
		return fmt.Errorf("swim: %w", err)
	}
	f.nodes[i].machine, f.nodes[i].gone, f.nodes[i].asleep = m, false, false
	return nil
}

func (f *fleet) clone() *fleet {
	c := *f
	c.nodes = slices.Clone(f.nodes)
	c.air = f.air.Clone()
	for i := range c.nodes {
		if m := c.nodes[i].machine; m != nil {
			c.nodes[i].machine = m.Clone()
		}
	}
	return &c
}

// slowest is the clock of the running node that is most behind.
func (f *fleet) slowest() time.Duration {
	least := time.Duration(1 << 62)
	for _, n := range f.nodes {
		if n.machine != nil && !n.asleep && !n.gone {
			least = min(least, n.clock)
		}
	}
	return least
}

// Moves implements modelcheck.State.
func (f *fleet) Moves() (moves []string) {
	for i, n := range f.nodes {
		running := n.machine != nil && !n.asleep && !n.gone
		switch {
		case running:
			if n.ticks < f.b.Ticks && n.clock <= f.slowest()+f.b.Skew {
				moves = append(moves, fmt.Sprint("tick ", i))
			}
			if f.used.crashes < f.b.Crashes {
				moves = append(moves, fmt.Sprint("crash ", i))
			}
			if f.used.stops < f.b.Stops {
				moves = append(moves, fmt.Sprint("stop ", i))
			}
			if f.used.leaves < f.b.Leaves {
				moves = append(moves, fmt.Sprint("leave ", i))
			}
		case n.machine == nil:
			moves = append(moves, fmt.Sprint("restart ", i))
		case n.asleep:
			moves = append(moves, fmt.Sprint("wake ", i))
		}
	}
	return append(moves, f.air.Moves()...)
}

// Apply implements modelcheck.State.
func (f *fleet) Apply(move string) (modelcheck.State, bool) {
	what, at, ok := modelcheck.Move(move, f.Moves())
	if !ok {
		return nil, false
	}
	c := f.clone()
	switch what {
	case "tick":
		n := &c.nodes[at]
		n.clock = max(n.clock, n.machine.Next())
		n.ticks++
		c.act(at, func(m *membership.Machine) []membership.Packet { return m.Tick(n.clock) })
	case "crash":
		c.used.crashes++
		c.nodes[at].machine = nil
	case "restart":
		c.wrong = c.start(at)
		c.nodes[at].clock = max(c.nodes[at].clock, 0)
	case "stop":
		c.used.stops++
		c.nodes[at].asleep = true
	case "wake":
		c.nodes[at].asleep = false
	case "leave":
		c.used.leaves++
		c.act(at, func(m *membership.Machine) []membership.Packet { return m.Leave(c.nodes[at].clock) })
		c.nodes[at].gone = true
	default:
		if p, arrived := c.air.Apply(what, at); arrived {
			c.deliver(p)
		}
	}
	return c, true
}

// act has a machine do something, notes what goes out, and checks what must hold of any step.
func (f *fleet) act(i int, do func(*membership.Machine) []membership.Packet) {
	n := &f.nodes[i]
	before := n.machine.Members()
	packets := do(n.machine)
	_, incarnation := n.machine.Self()
	n.top = max(n.top, incarnation)
	after := map[membership.ID]membership.Member{}
	for _, k := range n.machine.Members() {
		after[k.ID] = k
	}
	for _, was := range before {
		is, kept := after[was.ID]
		if kept && (is.Incarnation < was.Incarnation || is.Incarnation == was.Incarnation && is.Status < was.Status) {
			f.wrong = fmt.Errorf("%s held %s for %v at life %d, and now for %v at life %d", n.name, was.Name, was.Status, was.Incarnation, is.Status, is.Incarnation)
		}
	}
	for _, p := range packets {
		f.spoil(n, &p)
		data := membership.Encode(p.Message, key)
		if len(data) > membership.MaxDatagram {
			f.wrong = fmt.Errorf("%s sends %d bytes", n.name, len(data))
		}
		f.air.Send(modelcheck.Flight{From: i, To: int(p.To.Port()) - firstPort, Data: string(data)})
	}
}

// Defects are what can be planted, each a way to break a promise.
var Defects = []string{"raises others", "life not raised", "suspicion never cleared", "not answered", "probes nobody", "forgets who left",
	"another's name", "too long", "says nothing of itself", "answers mixed up"}

// spoil plants the defect in what a node sends.
func (f *fleet) spoil(n *node, p *membership.Packet) {
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
	switch f.b.Defect {
	case "raises others":
		edit(func(u *membership.Update) bool {
			if u.Status == membership.Suspect {
				u.Incarnation++
			}
			return true
		})
	case "life not raised":
		edit(func(u *membership.Update) bool {
			if u.ID == self {
				u.Incarnation, u.PeerIncarnation = 0, 0
			}
			return true
		})
	case "suspicion never cleared":
		edit(func(u *membership.Update) bool { return u.Status != membership.Alive || u.Incarnation == 0 })
	case "not answered":
		if p.Kind == membership.Ack {
			p.Kind = membership.Nack
		}
	case "probes nobody":
		if p.Kind == membership.Ping {
			p.To = addr(len(f.nodes))
		}
	case "forgets who left":
		edit(func(u *membership.Update) bool {
			if u.Status == membership.Left {
				u.Status, u.Incarnation = membership.Alive, u.Incarnation+1
			}
			return true
		})
	case "another's name":
		edit(func(u *membership.Update) bool {
			u.ID++
			return true
		})
	case "too long":
		p.Updates = append(slices.Clone(p.Updates), slices.Repeat(p.Updates, 4)...)
	case "says nothing of itself":
		edit(func(u *membership.Update) bool { return u.ID != self })
	case "answers mixed up":
		if p.Kind == membership.Ack {
			p.Seq++
		}
	}
}

func (f *fleet) deliver(p modelcheck.Flight) {
	if p.To >= len(f.nodes) { // nobody is there
		return
	}
	n := &f.nodes[p.To]
	if n.machine == nil || n.asleep || n.gone {
		return
	}
	m, err := membership.Decode([]byte(p.Data), key)
	if err != nil {
		f.wrong = err
		return
	}
	f.act(p.To, func(k *membership.Machine) []membership.Packet { return k.Receive(n.clock, addr(p.From), m) })
}

// Key implements modelcheck.State.
func (f *fleet) Key() string {
	var b strings.Builder
	base := f.slowest()
	for _, n := range f.nodes {
		fmt.Fprintf(&b, "%v,%d,%v,%v,%d;", n.clock-base, n.ticks, n.asleep, n.gone, n.top)
		if n.machine != nil {
			b.WriteString(n.machine.Fingerprint())
		}
	}
	fmt.Fprint(&b, f.used, f.air)
	return b.String()
}

// Check implements modelcheck.State.
func (f *fleet) Check() error {
	if f.wrong != nil {
		return f.wrong
	}
	for _, n := range f.nodes {
		if n.machine == nil {
			continue
		}
		for _, k := range n.machine.Members() {
			for _, o := range f.nodes {
				if o.name == k.Name && k.Incarnation > o.top {
					return fmt.Errorf("%s holds %s at life %d, which never was beyond %d", n.name, k.Name, k.Incarnation, o.top)
				}
			}
		}
	}
	return nil
}

// settleRounds bounds how long the end may take: suspicions of two members pass within it many times.
const settleRounds = 400

// Settle implements modelcheck.Settler: from here on all is delivered in order, whoever sleeps wakes, clocks go on together;
// in the end all that run hold one another for alive, and nobody else.
func (f *fleet) Settle() error {
	c := f.clone()
	var now time.Duration
	for i := range c.nodes {
		c.nodes[i].asleep = false
		now = max(now, c.nodes[i].clock)
	}
	c.air.Most = 1000
	for range settleRounds {
		for len(c.air.Flying) > 0 {
			p, _ := c.air.Apply("deliver", 0)
			c.deliver(p)
		}
		if c.wrong != nil {
			return c.wrong
		}
		now += c.b.Options.ProbeInterval / 4
		for i := range c.nodes {
			n := &c.nodes[i]
			if n.machine == nil || n.gone {
				continue
			}
			n.clock = max(n.clock, now)
			if n.machine.Next() <= n.clock {
				c.act(i, func(m *membership.Machine) []membership.Packet { return m.Tick(n.clock) })
			}
		}
	}
	for _, n := range c.nodes {
		if n.machine == nil || n.gone {
			continue
		}
		held := map[string]membership.Status{}
		for _, k := range n.machine.Members() {
			held[k.Name] = k.Status
		}
		for _, o := range c.nodes {
			status, known := held[o.name]
			runs := o.machine != nil && !o.gone
			switch {
			case o.name == n.name:
			case runs && (!known || status != membership.Alive):
				return fmt.Errorf("in the end %s holds %s for %v (known: %v), and it runs", n.name, o.name, status, known)
			case !runs && known && status <= membership.Suspect:
				return fmt.Errorf("in the end %s holds %s for %v, and it does not run", n.name, o.name, status)
			}
		}
	}
	return nil
}
