package membership

import (
	"net/netip"
	"testing"
	"time"
)

// Sixty nodes that are given three seeds know one another within half a minute. One that crashes is dead for all within
// MaxSuspicion and the time that an update takes to spread, and nobody else is suspected.
func TestMembershipConvergesAndDetectsDeath(t *testing.T) {
	const n = 60
	net := newNetwork(t, n, 1)
	net.run(30 * time.Second)
	net.allAlive(n, "after 30 s")
	net.machines[addrOf(7)] = nil
	net.run(Defaults().MaxSuspicion(n) + 15*time.Second)
	for i := range n {
		counts := net.statusCounts(i)
		switch {
		case i == 7 && counts[Dead] != n-1:
			t.Errorf("the crashed one has statuses %v", counts)
		case i != 7 && counts[Alive] != n-2:
			t.Errorf("%s runs and has statuses %v", nameOf(i), counts)
		}
	}
}

// A node that restarts under its name without any state comes back for all with a later incarnation.
func TestRestartedNodeAnnouncesLaterIncarnation(t *testing.T) {
	const n = 12
	net := newNetwork(t, n, 2)
	net.run(20 * time.Second)
	for range 3 {
		net.machines[addrOf(5)] = nil
		net.run(Defaults().MaxSuspicion(n) + 10*time.Second)
		if counts := net.statusCounts(5); counts[Dead] != n-1 {
			t.Fatalf("stopped, it has statuses %v", counts)
		}
		net.start(5)
		net.run(20 * time.Second)
		if counts := net.statusCounts(5); counts[Alive] != n-1 {
			t.Fatalf("restarted, it has statuses %v", counts)
		}
	}
	if _, incarnation := net.machines[addrOf(5)].Self(); incarnation != 3 {
		t.Errorf("after three restarts its incarnation is %d", incarnation)
	}
}

// With a fifth of all messages lost and nobody stopped, suspicions come up and are refuted, and hardly any member is held
// for dead.
func TestPacketLossCausesNoFalseDeath(t *testing.T) {
	const n = 30
	net := newNetwork(t, n, 3)
	net.run(20 * time.Second)
	net.loss = 0.2
	dead := 0
	for range 120 {
		net.run(time.Second)
		for i := range n {
			dead += net.statusCounts(i)[Dead]
		}
	}
	if dead > n*n*120/1000 {
		t.Errorf("running members are held for dead in %d of %d samples", dead, n*n*120)
	}
	net.loss = 0
	net.run(40 * time.Second)
	net.allAlive(n, "in the end")
}

// Two halves of a partition hold each other for dead, and are one cluster again after it though nobody was restarted.
func TestPartitionHeals(t *testing.T) {
	const n = 20
	net := newNetwork(t, n, 4)
	net.run(20 * time.Second)
	inEvenHalf := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%2 == 0 }
	net.blocked = func(from, to netip.AddrPort) bool { return inEvenHalf(from) != inEvenHalf(to) }
	net.run(Defaults().MaxSuspicion(n) + 30*time.Second)
	for i := range n {
		if counts := net.statusCounts(i); counts[Dead] != n/2 || counts[Alive] != n/2-1 {
			t.Fatalf("during the partition, %s has statuses %v", nameOf(i), counts)
		}
	}
	net.blocked = nil
	net.run(60 * time.Second)
	net.allAlive(n, "after the partition")
}

// A node hears all others and is not heard by half of them. The other half answers for it by indirect probes.
func TestIndirectProbesPreventDeathInOneWayPartition(t *testing.T) {
	const n = 20
	net := newNetwork(t, n, 5)
	net.run(20 * time.Second)
	net.blocked = func(from, to netip.AddrPort) bool { return from == addrOf(3) && to.Addr().As4()[3]%2 == 0 }
	net.run(60 * time.Second)
	if counts := net.statusCounts(3); counts[Dead] > 2 {
		t.Errorf("heard by half of the others it has statuses %v", counts)
	}
}

// A node that was suspended until others held it for dead refutes that once it runs again, and does not hold the others
// for dead because of its own pause: its health score stretches its timeouts.
func TestSuspendedNodeRejoins(t *testing.T) {
	const n = 16
	net := newNetwork(t, n, 6)
	net.run(20 * time.Second)
	net.paused[addrOf(4)] = true
	net.run(Defaults().MaxSuspicion(n) + 10*time.Second)
	if counts := net.statusCounts(4); counts[Dead] != n-1 {
		t.Fatalf("suspended, it has statuses %v", counts)
	}
	delete(net.paused, addrOf(4))
	net.run(30 * time.Second)
	net.allAlive(n, "after the suspension")
}

// A node that leaves announces it: it is soon left for all, and nobody suspects it.
func TestGracefulLeave(t *testing.T) {
	const n = 16
	net := newNetwork(t, n, 7)
	net.run(20 * time.Second)
	net.transmit(addrOf(4), net.machines[addrOf(4)].Leave(net.now))
	net.run(time.Second)
	net.machines[addrOf(4)] = nil
	net.run(20 * time.Second)
	if counts := net.statusCounts(4); counts[Left] != n-1 {
		t.Errorf("it has statuses %v", counts)
	}
}

// What a node sends beside answers does not grow with the number of members.
func TestNodeTrafficIsIndependentOfMemberCount(t *testing.T) {
	rate := func(n int) float64 {
		net := newNetwork(t, n, 8)
		net.run(40 * time.Second)
		clear(net.sent)
		net.run(10 * time.Second)
		maxSent := 0
		for _, s := range net.sent {
			maxSent = max(maxSent, s)
		}
		return float64(maxSent) / 10
	}
	if small, large := rate(10), rate(120); large > 2*small+3 {
		t.Errorf("a node sends %.1f messages a second at most among 10, %.1f among 120", small, large)
	}
}

func TestOptionsAndPeersOutOfRangeAreRejected(t *testing.T) {
	ok := Peer{Name: "a", Addr: addrOf(1)}
	for name, change := range map[string]func(*Peer, *Options){
		"no name":            func(p *Peer, _ *Options) { p.Name = "" },
		"a long zone":        func(p *Peer, _ *Options) { p.Zone = "a zone of too many bytes" },
		"no address":         func(p *Peer, _ *Options) { p.Addr = netip.AddrPort{} },
		"no timeout":         func(_ *Peer, o *Options) { o.ProbeTimeout = 0 },
		"a short period":     func(_ *Peer, o *Options) { o.ProbeInterval = o.ProbeTimeout },
		"no suspicion":       func(_ *Peer, o *Options) { o.SuspicionFactor = 0 },
		"no transmissions":   func(_ *Peer, o *Options) { o.RetransmitFactor = 0 },
		"forgotten too soon": func(_ *Peer, o *Options) { o.ForgetAfter = time.Second },
		"too many helpers":   func(_ *Peer, o *Options) { o.IndirectProbes = 99 },
	} {
		p, o := ok, Defaults()
		change(&p, &o)
		if _, err := New(p, o, 1); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

func BenchmarkPeriod(b *testing.B) {
	net := newNetwork(b, 100, 9)
	net.run(30 * time.Second)
	b.ResetTimer()
	for b.Loop() {
		net.run(100 * time.Millisecond)
	}
	b.ReportMetric(float64(len(net.machines)), "members")
}
