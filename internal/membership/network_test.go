package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// network simulates a lossy network between machines in virtual time.
type network struct {
	tb       testing.TB
	rng      *rand.Rand
	now      time.Duration
	machines map[netip.AddrPort]*Machine
	order    []netip.AddrPort
	inFlight []datagram
	blocked  func(from, to netip.AddrPort) bool
	loss     float64
	sent     map[netip.AddrPort]int
	paused   map[netip.AddrPort]bool
}

type datagram struct {
	at       time.Duration
	from, to netip.AddrPort
	data     []byte
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 7946)
}

func nameOf(i int) string { return fmt.Sprint("node-", i) }

func newNetwork(t testing.TB, n int, seed uint64) *network {
	net := &network{
		tb:       t,
		rng:      rand.New(rand.NewPCG(seed, 5)),
		machines: map[netip.AddrPort]*Machine{},
		sent:     map[netip.AddrPort]int{},
		paused:   map[netip.AddrPort]bool{},
	}
	for i := range n {
		net.start(i)
	}
	return net
}

func (net *network) start(i int) *Machine {
	net.tb.Helper()
	o := Defaults()
	o.Seeds = []netip.AddrPort{addrOf(0), addrOf(1), addrOf(2)}
	machine, err := New(Peer{Name: nameOf(i), Addr: addrOf(i), Zone: fmt.Sprint("zone-", i%3)}, o, net.rng.Uint64())
	if err != nil {
		net.tb.Fatal(err)
	}
	machine.now = net.now
	machine.nextPeriod = net.now + time.Duration(net.rng.Int64N(int64(time.Second)))
	if _, known := net.machines[addrOf(i)]; !known {
		net.order = append(net.order, addrOf(i))
	}
	net.machines[addrOf(i)] = machine
	return machine
}

func (net *network) transmit(from netip.AddrPort, packets []Packet) {
	for _, p := range packets {
		net.sent[from]++
		data := Encode(p.Message, testKey)
		if len(data) > MaxDatagram {
			net.tb.Fatalf("datagram of %d bytes exceeds MaxDatagram", len(data))
		}
		if net.blocked != nil && net.blocked(from, p.To) || net.rng.Float64() < net.loss {
			continue
		}
		net.inFlight = append(net.inFlight, datagram{net.now + time.Duration(1+net.rng.IntN(20))*time.Millisecond, from, p.To, data})
	}
}

// run advances the simulation by d in steps of 10 ms.
func (net *network) run(d time.Duration) {
	for end := net.now + d; net.now < end; {
		net.now += 10 * time.Millisecond
		for net.deliverNext() {
		}
		for _, a := range net.order {
			if machine := net.machines[a]; machine != nil && !net.paused[a] && machine.Next() <= net.now {
				net.transmit(a, machine.Tick(net.now))
			}
		}
	}
}

// deliverNext delivers the earliest datagram that is due, and reports whether there was one.
func (net *network) deliverNext() bool {
	next := -1
	for i, d := range net.inFlight {
		if d.at <= net.now && (next < 0 || d.at < net.inFlight[next].at) {
			next = i
		}
	}
	if next < 0 {
		return false
	}
	d := net.inFlight[next]
	net.inFlight = append(net.inFlight[:next], net.inFlight[next+1:]...)
	machine := net.machines[d.to]
	if machine == nil || net.paused[d.to] {
		return true
	}
	msg, err := Decode(d.data, testKey)
	if err != nil {
		net.tb.Fatal(err)
	}
	net.transmit(d.to, machine.Receive(net.now, d.from, msg))
	return true
}

// statusCounts returns the number of machines that have member i in each status. Machines that do not know it are not counted.
func (net *network) statusCounts(i int) (counts [4]int) {
	for a, m := range net.machines {
		if m == nil || a == addrOf(i) {
			continue
		}
		for _, member := range m.Members() {
			if member.Name == nameOf(i) {
				counts[member.Status]++
			}
		}
	}
	return counts
}

// allAlive fails the test unless all other machines consider each of n nodes alive.
func (net *network) allAlive(n int, when string) {
	net.tb.Helper()
	for i := range n {
		if counts := net.statusCounts(i); counts != [4]int{n - 1} {
			net.tb.Errorf("%s: %s is alive, suspect, dead and left at %v nodes", when, nameOf(i), counts)
		}
	}
}
