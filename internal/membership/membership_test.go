package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// world carries the messages of machines on virtual time, and loses some.
type world struct {
	t        testing.TB
	rng      *rand.Rand
	now      time.Duration
	machines map[netip.AddrPort]*Machine
	order    []netip.AddrPort
	flying   []datagram
	cut      func(from, to netip.AddrPort) bool
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

func newWorld(t testing.TB, n int, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 5)), machines: map[netip.AddrPort]*Machine{}, sent: map[netip.AddrPort]int{}, paused: map[netip.AddrPort]bool{}}
	for i := range n {
		w.start(i)
	}
	return w
}

func (w *world) start(i int) *Machine {
	w.t.Helper()
	o := Defaults()
	o.Seeds = []netip.AddrPort{addrOf(0), addrOf(1), addrOf(2)}
	m, err := New(Peer{Name: nameOf(i), Addr: addrOf(i), Zone: fmt.Sprint("zone-", i%3)}, o, w.rng.Uint64())
	if err != nil {
		w.t.Fatal(err)
	}
	m.now = w.now
	m.nextPeriod = w.now + time.Duration(w.rng.Int64N(int64(time.Second)))
	if _, known := w.machines[addrOf(i)]; !known {
		w.order = append(w.order, addrOf(i))
	}
	w.machines[addrOf(i)] = m
	return m
}

func (w *world) carry(from netip.AddrPort, packets []Packet) {
	for _, p := range packets {
		w.sent[from]++
		data := Encode(p.Message, key)
		if len(data) > MaxDatagram {
			w.t.Fatalf("%d bytes", len(data))
		}
		if w.cut != nil && w.cut(from, p.To) || w.rng.Float64() < w.loss {
			continue
		}
		w.flying = append(w.flying, datagram{w.now + time.Duration(1+w.rng.IntN(20))*time.Millisecond, from, p.To, data})
	}
}

// run goes on for a while, in steps of ten milliseconds.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 10 * time.Millisecond
		for {
			k := -1
			for i, l := range w.flying {
				if l.at <= w.now && (k < 0 || l.at < w.flying[k].at) {
					k = i
				}
			}
			if k < 0 {
				break
			}
			l := w.flying[k]
			w.flying = append(w.flying[:k], w.flying[k+1:]...)
			if m := w.machines[l.to]; m != nil && !w.paused[l.to] {
				msg, err := Decode(l.data, key)
				if err != nil {
					w.t.Fatal(err)
				}
				w.carry(l.to, m.Receive(w.now, l.from, msg))
			}
		}
		for _, a := range w.order {
			if m := w.machines[a]; m != nil && !w.paused[a] && m.Next() <= w.now {
				w.carry(a, m.Tick(w.now))
			}
		}
	}
}

// held counts what the machines hold of one, by status; unknown to some: the count falls short.
func (w *world) held(i int) (counts [4]int) {
	for a, m := range w.machines {
		if m == nil || a == addrOf(i) {
			continue
		}
		for _, k := range m.Members() {
			if k.Name == nameOf(i) {
				counts[k.Status]++
			}
		}
	}
	return counts
}

// allAlive fails unless each of n is alive for all others.
func (w *world) allAlive(n int, when string) {
	w.t.Helper()
	for i := range n {
		if h := w.held(i); h != [4]int{n - 1} {
			w.t.Errorf("%s %s is held alive, suspect, dead, left by %v", when, nameOf(i), h)
		}
	}
}

// Given sixty nodes that know three seeds, all know all within half a minute; one that dies is dead for all within the
// bound on suspicion and the time that a word takes; nobody else is doubted.
func TestMembershipConvergesAndDetectsDeath(t *testing.T) {
	const n = 60
	w := newWorld(t, n, 1)
	w.run(30 * time.Second)
	w.allAlive(n, "after 30 s")
	w.machines[addrOf(7)] = nil
	w.run(Defaults().MaxSuspicion(n) + 15*time.Second)
	for i := range n {
		h := w.held(i)
		switch {
		case i == 7 && h[Dead] != n-1:
			t.Errorf("the dead one is held by %v", h)
		case i != 7 && h[Alive] != n-2:
			t.Errorf("%s lives and is held by %v", nameOf(i), h)
		}
	}
}

// Under the same name again, remembering nothing: it has a later incarnation than before, for all.
func TestIncarnationSurvivesRestart(t *testing.T) {
	const n = 12
	w := newWorld(t, n, 2)
	w.run(20 * time.Second)
	for range 3 {
		w.machines[addrOf(5)] = nil
		w.run(Defaults().MaxSuspicion(n) + 10*time.Second)
		if h := w.held(5); h[Dead] != n-1 {
			t.Fatalf("stopped, it is held by %v", h)
		}
		w.start(5)
		w.run(20 * time.Second)
		if h := w.held(5); h[Alive] != n-1 {
			t.Fatalf("back, it is held by %v", h)
		}
	}
	if _, incarnation := w.machines[addrOf(5)].Self(); incarnation != 3 {
		t.Errorf("after three deaths its life is %d", incarnation)
	}
}

// A fifth of all messages lost, and nobody stopped: doubts come up and are answered, and hardly anybody is held for dead.
func TestPacketLossCausesNoFalseDeath(t *testing.T) {
	const n = 30
	w := newWorld(t, n, 3)
	w.run(20 * time.Second)
	w.loss = 0.2
	dead := 0
	for range 120 {
		w.run(time.Second)
		for i := range n {
			dead += w.held(i)[Dead]
		}
	}
	if dead > n*n*120/1000 {
		t.Errorf("members that live are held for dead in %d of %d looks", dead, n*n*120)
	}
	w.loss = 0
	w.run(40 * time.Second)
	w.allAlive(n, "in the end")
}

// Two halves that hear nothing of one another hold each other for dead, and are one fleet again afterwards though nobody
// was restarted.
func TestPartitionHeals(t *testing.T) {
	const n = 20
	w := newWorld(t, n, 4)
	w.run(20 * time.Second)
	half := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%2 == 0 }
	w.cut = func(from, to netip.AddrPort) bool { return half(from) != half(to) }
	w.run(Defaults().MaxSuspicion(n) + 30*time.Second)
	for i := range n {
		if h := w.held(i); h[Dead] != n/2 || h[Alive] != n/2-1 {
			t.Fatalf("cut in halves, %s is held by %v", nameOf(i), h)
		}
	}
	w.cut = nil
	w.run(60 * time.Second)
	w.allAlive(n, "after the cut")
}

// One way: a node hears others and is not heard by half of them. Whoever reaches it speaks for it.
func TestOneWayPartitionIsBridgedByIndirectProbes(t *testing.T) {
	const n = 20
	w := newWorld(t, n, 5)
	w.run(20 * time.Second)
	w.cut = func(from, to netip.AddrPort) bool { return from == addrOf(3) && to.Addr().As4()[3]%2 == 0 }
	w.run(60 * time.Second)
	if h := w.held(3); h[Dead] > 2 {
		t.Errorf("heard by half of the others it is held by %v", h)
	}
}

// A node that slept through its own death answers it once it is awake, and does not hold the others for dead on account
// of its own sleep: its health stretches its patience.
func TestSuspendedNodeRejoins(t *testing.T) {
	const n = 16
	w := newWorld(t, n, 6)
	w.run(20 * time.Second)
	w.paused[addrOf(4)] = true
	w.run(Defaults().MaxSuspicion(n) + 10*time.Second)
	if h := w.held(4); h[Dead] != n-1 {
		t.Fatalf("asleep, it is held by %v", h)
	}
	delete(w.paused, addrOf(4))
	w.run(30 * time.Second)
	w.allAlive(n, "after the sleep")
}

// Who leaves says so, and is doubted by nobody; it is soon left for all.
func TestGracefulLeave(t *testing.T) {
	const n = 16
	w := newWorld(t, n, 7)
	w.run(20 * time.Second)
	w.carry(addrOf(4), w.machines[addrOf(4)].Leave(w.now))
	w.run(time.Second)
	w.machines[addrOf(4)] = nil
	w.run(20 * time.Second)
	if h := w.held(4); h[Left] != n-1 {
		t.Errorf("it is held by %v", h)
	}
}

// What a node sends does not grow with the fleet, but for answers.
func TestNodeTrafficIsIndependentOfFleetSize(t *testing.T) {
	rate := func(n int) float64 {
		w := newWorld(t, n, 8)
		w.run(40 * time.Second)
		clear(w.sent)
		w.run(10 * time.Second)
		most := 0
		for _, s := range w.sent {
			most = max(most, s)
		}
		return float64(most) / 10
	}
	if small, large := rate(10), rate(120); large > 2*small+3 {
		t.Errorf("a node sends %.1f messages a second at most among 10, %.1f among 120", small, large)
	}
}

func TestOptionsAndPeersOutOfRangeAreRejected(t *testing.T) {
	ok := Peer{Name: "a", Addr: addrOf(1)}
	for name, change := range map[string]func(*Peer, *Options){
		"no name":          func(p *Peer, _ *Options) { p.Name = "" },
		"a long zone":      func(p *Peer, _ *Options) { p.Zone = "a zone of too many bytes" },
		"no address":       func(p *Peer, _ *Options) { p.Addr = netip.AddrPort{} },
		"no time-out":      func(_ *Peer, o *Options) { o.Timeout = 0 },
		"a short period":   func(_ *Peer, o *Options) { o.Period = o.Timeout },
		"no suspicion":     func(_ *Peer, o *Options) { o.Suspicion = 0 },
		"nothing passed":   func(_ *Peer, o *Options) { o.Spread = 0 },
		"forgotten soon":   func(_ *Peer, o *Options) { o.Forget = time.Second },
		"too many helpers": func(_ *Peer, o *Options) { o.Indirect = 99 },
	} {
		p, o := ok, Defaults()
		change(&p, &o)
		if _, err := New(p, o, 1); err == nil {
			t.Errorf("%s was taken", name)
		}
	}
}

func BenchmarkPeriod(b *testing.B) {
	w := newWorld(b, 100, 9)
	w.run(30 * time.Second)
	b.ResetTimer()
	for b.Loop() {
		w.run(100 * time.Millisecond)
	}
	b.ReportMetric(float64(len(w.machines)), "members")
}
