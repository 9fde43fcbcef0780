package exchange

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/modelcheck"
	"damsontrestle/internal/zonestate"
)

// Bounds limits how often each event may happen in one run of a small fleet.
type Bounds struct {
	Zones                      []int // zone of each node
	Ticks                      int   // of all nodes together
	Drops, Duplicates, Crashes int
	Waits                      int           // periods without events, as when all processes are stopped or messages wait in queues
	WaitTime                   time.Duration // length of such a period
	MaxInFlight                int           // messages in flight; those beyond it are lost
	Fresh                      time.Duration
	Defect                     string // injected to show that the checks detect it; empty: none
}

// SmallBounds returns bounds whose states can all be searched.
func SmallBounds() Bounds {
	return Bounds{Zones: []int{0, 0}, Ticks: 12, Drops: 1, Crashes: 1, Waits: 1, WaitTime: 1500 * time.Millisecond, MaxInFlight: 2, Fresh: 2 * time.Second}
}

// Defects lists the defects that can be injected; each violates a guarantee of the exchange.
var Defects = []string{"age omitted", "age halved", "hop time hidden", "wrong token echoed", "clock at half speed", "sequence raised in transit",
	"sequence not raised", "part counted twice", "part omitted", "wrong zone", "first page lost"}

// process is one node, running or crashed.
type process struct {
	peer        zonestate.Peer
	machine     *zonestate.Machine // nil: crashed
	incarnation uint32
	offset      time.Duration // of its clock from the fleet's
	lastSeq     uint32        // highest sequence number of its own rows
}

// fleet is the modelcheck.State of a small fleet.
type fleet struct {
	bounds  Bounds
	nodes   []process
	view    *zonestate.View
	network modelcheck.Network
	now     time.Duration
	used    struct{ ticks, crashes, waits int }
	failure error
}

// New returns the start state of a small fleet.
func New(b Bounds) (modelcheck.State, error) {
	f := &fleet{bounds: b, now: time.Second, network: modelcheck.Network{MaxInFlight: b.MaxInFlight, DropsLeft: b.Drops, DuplicatesLeft: b.Duplicates}}
	var all []zonestate.Peer
	for i, z := range b.Zones {
		p := process{offset: time.Duration(i) * 7 * time.Hour, incarnation: 1,
			peer: zonestate.Peer{ID: uint64(i) + 1, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 1), ZoneID: zoneID(z)}}
		f.nodes = append(f.nodes, p)
		all = append(all, p.peer)
	}
	f.view = zonestate.NewView(all)
	for i := range f.nodes {
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) start(i int) error {
	n := &f.nodes[i]
	m, err := zonestate.New(f.clock(i), n.peer, zonestate.Defaults(f.bounds.Fresh), uint64(i)<<8|uint64(n.incarnation))
	if err != nil {
		return fmt.Errorf("exchange: %w", err)
	}
	m.SetView(f.clock(i), f.view)
	m.SetIncarnation(n.incarnation)
	n.machine, n.lastSeq = m, 0
	return nil
}

// clock returns the time on a node's clock.
func (f *fleet) clock(i int) time.Duration {
	if f.hasSlowClock(i) {
		return f.nodes[i].offset + f.now/2
	}
	return f.nodes[i].offset + f.now
}

// hasSlowClock reports whether a node's clock runs at half speed.
func (f *fleet) hasSlowClock(i int) bool { return f.bounds.Defect == "clock at half speed" && i == 0 }

func (f *fleet) clone() *fleet {
	c := *f
	c.nodes, c.network = slices.Clone(f.nodes), f.network.Clone()
	for i := range c.nodes {
		if m := c.nodes[i].machine; m != nil {
			c.nodes[i].machine = m.Clone()
		}
	}
	return &c
}

// Moves implements modelcheck.State.
func (f *fleet) Moves() (moves []string) {
	for i, n := range f.nodes {
		switch {
		case n.machine == nil:
			moves = append(moves, fmt.Sprint("restart ", i))
		default:
			if f.used.ticks < f.bounds.Ticks {
				moves = append(moves, fmt.Sprint("tick ", i))
			}
			if f.used.crashes < f.bounds.Crashes {
				moves = append(moves, fmt.Sprint("crash ", i))
			}
		}
	}
	if f.used.waits < f.bounds.Waits {
		moves = append(moves, "wait 0")
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
		c.used.ticks++
		c.tick(index)
	case "crash":
		c.used.crashes++
		c.nodes[index].machine = nil
	case "restart":
		c.nodes[index].incarnation++
		c.failure = c.start(index)
	case "wait":
		c.used.waits++
		c.now += c.bounds.WaitTime
	default:
		if p, arrived := c.network.Apply(action, index); arrived {
			c.now += time.Millisecond
			c.deliver(p)
		}
	}
	return c, true
}

// tick advances the fleet's time to a node's next deadline and runs the node's tick.
func (f *fleet) tick(i int) {
	n := &f.nodes[i]
	due := n.machine.Next() - n.offset
	if f.hasSlowClock(i) {
		due *= 2
	}
	f.now = max(f.now, due)
	n.machine.SetOwnPart(f.clock(i), zonestate.GroupByPage([]zonestate.Entry{{Kind: zonestate.MadeAt, Subject: 1, Value: float64((f.now + time.Millisecond - 1).Milliseconds())},
		{Kind: zonestate.Demand, Subject: 2, Value: 1}}))
	f.send(i, n.machine.Tick(f.clock(i)))
}

func (f *fleet) deliver(p modelcheck.Message) {
	n := &f.nodes[p.To]
	if n.machine == nil {
		return
	}
	m, err := zonestate.Parse([]byte(p.Data))
	if err != nil {
		f.failure = err
		return
	}
	f.send(p.To, n.machine.Receive(f.clock(p.To), m))
}

func (f *fleet) send(i int, packets []zonestate.Packet) {
	for _, p := range packets {
		for k := range p.Rows {
			f.injectDefect(&p.Message, k)
			if r := p.Rows[k]; r.Author.ID == f.nodes[i].peer.ID && p.Kind != zonestate.PartUpdate {
				f.nodes[i].lastSeq = max(f.nodes[i].lastSeq, r.Seq)
			}
		}
		data := string(zonestate.Append(nil, p.Message))
		if len(data) > zonestate.MaxMessage {
			f.failure = fmt.Errorf("node %d sent a message that is too long: %d bytes", i, len(data))
		}
		f.network.Send(modelcheck.Message{From: i, To: int(p.To.Addr().As4()[3]), Data: data})
	}
}

// injectDefect applies the configured defect to a message's k-th row.
func (f *fleet) injectDefect(m *zonestate.Message, k int) {
	r := &m.Rows[k]
	switch f.bounds.Defect {
	case "age omitted":
		r.Age = 0
	case "age halved":
		r.Age /= 2
	case "hop time hidden":
		if m.HeldMillis += 300; k > 0 { // claims to have held the token for longer than it did
			m.HeldMillis -= 300
		}
	case "wrong token echoed":
		m.Echo = m.Token
	case "sequence raised in transit":
		if r.Author.ID != m.From {
			r.Seq++
		}
	case "sequence not raised":
		r.Seq = 1
	case "part counted twice":
		if m.Kind == zonestate.PartUpdate {
			r.PartCount *= 2
		}
	case "part omitted":
		if m.Kind == zonestate.PartUpdate {
			r.Entries = nil
		}
	case "wrong zone":
		r.ZoneID = zoneID(7)
	case "first page lost":
		r.Page = max(r.Page, 1)
		r.Entries = nil
	}
}

// Key implements modelcheck.State. Times are relative to now, and the network keeps its messages sorted.
func (f *fleet) Key() string {
	var b strings.Builder
	for _, n := range f.nodes {
		fmt.Fprintf(&b, "%d,%d;", n.incarnation, n.lastSeq)
		if n.machine != nil {
			b.WriteString(n.machine.Fingerprint())
		}
	}
	fmt.Fprint(&b, f.used, f.now%time.Millisecond, f.network)
	return b.String()
}

// Check implements modelcheck.State: no reported age is below the true age, each node counts once, and no row has a sequence
// number that its author never issued.
func (f *fleet) Check() error {
	if f.failure != nil {
		return f.failure
	}
	for i, n := range f.nodes {
		if n.machine == nil {
			continue
		}
		now := f.clock(i)
		for _, z := range f.bounds.Zones {
			v := n.machine.Read(now, zoneID(z), zonestate.MadeAt, 1)
			d := n.machine.Read(now, zoneID(z), zonestate.Demand, 2)
			if trueAge := f.now - time.Duration(v.Amount)*time.Millisecond; v.PartCount > 0 && trueAge > v.Age {
				return fmt.Errorf("node %d read an entry of zone %d that is %v old; the reported maximum age is %v", i, z, trueAge, v.Age)
			}
			if d.Amount != float64(d.PartCount) || d.PartCount > len(f.nodes) {
				return fmt.Errorf("node %d read a demand for %d nodes of zone %d, with 1 each, of %v", i, d.PartCount, z, d.Amount)
			}
			row, found := n.machine.Row(now, zoneID(z), zonestate.MadeAt)
			for k, a := range f.nodes {
				if found && k != i && row.Author.ID == a.peer.ID && a.machine != nil && row.Author.Incarnation == a.incarnation && row.Seq > a.lastSeq {
					return fmt.Errorf("node %d holds a row with sequence number %d of author %d, whose highest is %d", i, row.Seq, a.peer.ID, a.lastSeq)
				}
			}
		}
	}
	return nil
}

// Settle implements modelcheck.Settler: it delivers every message at once and in order. In the end each node must hold fresh
// rows of every zone with running nodes, with every running node counted.
func (f *fleet) Settle() error {
	c := f.clone()
	c.network.MaxInFlight = 1000
	var all []zonestate.Peer
	count := map[zonestate.ZoneID]int{}
	for _, n := range c.nodes {
		n.peer.Inactive = n.machine == nil
		all = append(all, n.peer)
		if !n.peer.Inactive {
			count[n.peer.ZoneID]++
		}
	}
	c.view = zonestate.NewView(all)
	for i, n := range c.nodes {
		if n.machine != nil {
			n.machine.SetView(c.clock(i), c.view)
		}
	}
	for end := c.now + 5*c.bounds.Fresh; c.now < end && c.failure == nil; {
		for len(c.network.InFlight) > 0 && c.failure == nil {
			p, _ := c.network.Apply("deliver", 0)
			c.deliver(p)
		}
		c.now += 5 * time.Millisecond
		for i, n := range c.nodes {
			if n.machine != nil && n.machine.Next() <= c.clock(i) {
				c.tick(i)
			}
		}
		if err := c.Check(); err != nil {
			return err
		}
	}
	for i, n := range c.nodes {
		for at, of := range count {
			if n.machine == nil || c.failure != nil {
				continue
			}
			if v := n.machine.Read(c.clock(i), at, zonestate.MadeAt, 1); v.Freshness != zonestate.Fresh || v.PartCount != of {
				return fmt.Errorf("after settling, node %d reads a zone of %d nodes as %v with %d nodes counted", i, of, v.Freshness, v.PartCount)
			}
		}
	}
	return c.failure
}
