package membership

import (
	"net/netip"
	"testing"
	"time"
)

// 60 nodes with three seeds discover one another within 30 seconds. All consider a crashed node dead within MaxSuspicion and the
// time that an update takes to spread, and suspect no other node.
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
			t.Errorf("crashed node: statuses %v", counts)
		case i != 7 && counts[Alive] != n-2:
			t.Errorf("running node %s: statuses %v", nameOf(i), counts)
		}
	}
}

// All members consider a node alive again, in a later incarnation, after it restarts under the same name without any state.
func TestRestartedNodeAnnouncesLaterIncarnation(t *testing.T) {
	const n = 12
	net := newNetwork(t, n, 2)
	net.run(20 * time.Second)
	for range 3 {
		net.machines[addrOf(5)] = nil
		net.run(Defaults().MaxSuspicion(n) + 10*time.Second)
		if counts := net.statusCounts(5); counts[Dead] != n-1 {
			t.Fatalf("stopped node: statuses %v", counts)
		}
		net.start(5)
		net.run(20 * time.Second)
		if counts := net.statusCounts(5); counts[Alive] != n-1 {
			t.Fatalf("restarted node: statuses %v", counts)
		}
	}
	if _, incarnation := net.machines[addrOf(5)].Self(); incarnation != 3 {
		t.Errorf("incarnation %d after three restarts, want 3", incarnation)
	}
}

// With 20% message loss and no stopped node, suspicions arise and are refuted, and running members are considered dead in at
// most 0.1% of the samples.
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
		t.Errorf("running members are considered dead in %d of %d samples", dead, n*n*120)
	}
	net.loss = 0
	net.run(40 * time.Second)
	net.allAlive(n, "after the packet loss")
}

// The two sides of a partition consider each other dead, and rejoin after it without a restart.
func TestPartitionHeals(t *testing.T) {
	const n = 20
	net := newNetwork(t, n, 4)
	net.run(20 * time.Second)
	inEvenHalf := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%2 == 0 }
	net.blocked = func(from, to netip.AddrPort) bool { return inEvenHalf(from) != inEvenHalf(to) }
	net.run(Defaults().MaxSuspicion(n) + 30*time.Second)
	for i := range n {
		if counts := net.statusCounts(i); counts[Dead] != n/2 || counts[Alive] != n/2-1 {
			t.Fatalf("during the partition: %s has statuses %v", nameOf(i), counts)
		}
	}
	net.blocked = nil
	net.run(60 * time.Second)
	net.allAlive(n, "after the partition")
}

// A node receives messages from all others, but half of them receive none from it. Indirect probes through the other half
// prevent that it is considered dead.
func TestIndirectProbesPreventDeathInOneWayPartition(t *testing.T) {
	const n = 20
	net := newNetwork(t, n, 5)
	net.run(20 * time.Second)
	net.blocked = func(from, to netip.AddrPort) bool { return from == addrOf(3) && to.Addr().As4()[3]%2 == 0 }
	net.run(60 * time.Second)
	if counts := net.statusCounts(3); counts[Dead] > 2 {
		t.Errorf("node that half of the others cannot receive from: statuses %v", counts)
	}
}

// A node that was suspended until others considered it dead refutes this once it resumes. It does not consider the others dead
// because of its own pause, as its health score extends its timeouts.
func TestSuspendedNodeRejoins(t *testing.T) {
	const n = 16
	net := newNetwork(t, n, 6)
	net.run(20 * time.Second)
	net.paused[addrOf(4)] = true
	net.run(Defaults().MaxSuspicion(n) + 10*time.Second)
	if counts := net.statusCounts(4); counts[Dead] != n-1 {
		t.Fatalf("suspended node: statuses %v", counts)
	}
	delete(net.paused, addrOf(4))
	net.run(30 * time.Second)
	net.allAlive(n, "after the suspension")
}

// A node that leaves announces it: all members record the status Left, and none suspects it.
func TestGracefulLeave(t *testing.T) {
	const n = 16
	net := newNetwork(t, n, 7)
	net.run(20 * time.Second)
	net.transmit(addrOf(4), net.machines[addrOf(4)].Leave(net.now))
	net.run(time.Second)
	net.machines[addrOf(4)] = nil
	net.run(20 * time.Second)
	if counts := net.statusCounts(4); counts[Left] != n-1 {
		t.Errorf("node that left: statuses %v", counts)
	}
}

// The number of messages that a node sends does not grow with the number of members.
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
		t.Errorf("maximum messages per second and node: %.1f with 10 members, %.1f with 120", small, large)
	}
}

func TestOptionsAndPeersOutOfRangeAreRejected(t *testing.T) {
	ok := Peer{Name: "a", Addr: addrOf(1)}
	for name, change := range map[string]func(*Peer, *Options){
		"empty name":         func(p *Peer, _ *Options) { p.Name = "" },
		"zone too long":      func(p *Peer, _ *Options) { p.Zone = "a zone of too many bytes" },
		"no address":         func(p *Peer, _ *Options) { p.Addr = netip.AddrPort{} },
		"zero timeout":       func(_ *Peer, o *Options) { o.ProbeTimeout = 0 },
		"interval too short": func(_ *Peer, o *Options) { o.ProbeInterval = o.ProbeTimeout },
		"zero suspicion":     func(_ *Peer, o *Options) { o.SuspicionFactor = 0 },
		"zero retransmits":   func(_ *Peer, o *Options) { o.RetransmitFactor = 0 },
		"forget too short":   func(_ *Peer, o *Options) { o.ForgetAfter = time.Second },
		"too many helpers":   func(_ *Peer, o *Options) { o.IndirectProbes = 99 },
	} {
		p, o := ok, Defaults()
		change(&p, &o)
		if _, err := New(p, o, 1); err == nil {
			t.Errorf("%s: New returned no error", name)
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
