package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// zonedFleet is a fleet of servers in zones and one node that sends to them. Each request is answered after a random
// time, except in silent zones.
type zonedFleet struct {
	b          *Balancer
	rng        *rand.Rand
	now        time.Duration
	latency    time.Duration   // mean latency of replies
	silent     map[string]bool // zones where attempts time out, or end as Unreachable on new connections
	hung       map[string]bool // servers with the same behavior
	pending    []pendingEnd
	sentToZone map[string]int // requests per zone since the last clear
	served     int
	idleClosed map[string]bool // servers whose idle connections were closed
	probesSent int             // number of CloseIdle actions
	lastID     int
}

type pendingEnd struct {
	at time.Duration
	Outcome
}

func newZonedFleet(t *testing.T, seed uint64, zones, each int, change func(*Settings)) *zonedFleet {
	t.Helper()
	fleet := &zonedFleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second, latency: 100 * msec, silent: map[string]bool{}, hung: map[string]bool{},
		sentToZone: map[string]int{}, idleClosed: map[string]bool{}}
	set := testSettings()
	set.Classes[0].LatencyObjective, set.Classes[0].Deadline = time.Second, time.Second
	set.Classes[2].LatencyObjective, set.Classes[2].Deadline = time.Second, time.Second
	set.Tier, set.Balancers = 1, 100
	if change != nil {
		change(&set)
	}
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	fleet.b = b
	fleet.updateList(zones, each, nil)
	return fleet
}

// updateList sends the node a full list of servers; boot holds start times by zone.
func (z *zonedFleet) updateList(zones, each int, boot map[string]time.Duration) {
	list := ServerList{Full: true}
	for i, n := range rand.New(rand.NewPCG(9, 9)).Perm(zones * each) { // makes IDs independent of zones
		zone := fmt.Sprint("zone", i%zones)
		list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("s%04d", n), Zone: zone, Boot: boot[zone]})
	}
	z.execute(z.b.Handle(z.now, list))
}

func (z *zonedFleet) zone(server string) string { return z.b.servers[server].Zone }

// execute carries out the node's actions.
func (z *zonedFleet) execute(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case CloseIdle:
			z.idleClosed[a.Server] = true
			z.probesSent++
		case Send:
			r := z.b.requests[a.ID]
			o := Outcome{ID: a.ID, Attempt: len(r.attempts) - 1, Server: a.Server, Result: Success, Ended: true}
			after := time.Duration((0.5 + 0.5*z.rng.ExpFloat64()) * float64(z.latency))
			if z.silent[z.zone(a.Server)] || z.hung[a.Server] {
				o.Result, o.Ended, after = TimedOut, false, a.Timeout
				if z.idleClosed[a.Server] {
					o.Result, after = Unreachable, 50*msec
				}
			} else if after > a.Timeout {
				o.Result, o.Ended, after = TimedOut, false, a.Timeout
			}
			delete(z.idleClosed, a.Server)
			z.sentToZone[z.zone(a.Server)]++
			z.pending = append(z.pending, pendingEnd{z.now + after, o})
		case Cancel:
			i := slices.IndexFunc(z.pending, func(e pendingEnd) bool { return e.ID == a.ID && e.Attempt == a.Attempt })
			if i >= 0 {
				z.pending[i].at, z.pending[i].Result, z.pending[i].Ended = z.now+msec, Cancelled, false
			}
		}
	}
}

// run sends requests of a class at a rate per second for a while, and returns how many were sent and served.
func (z *zonedFleet) run(class string, rate float64, duration time.Duration) (offered, served int) {
	until, servedBefore := z.now+duration, z.served
	for arrival := z.now; z.now < until; {
		i := -1
		for k, e := range z.pending {
			if i < 0 || e.at < z.pending[i].at {
				i = k
			}
		}
		if i >= 0 && z.pending[i].at <= arrival {
			e := z.pending[i]
			z.pending = slices.Delete(z.pending, i, i+1)
			z.now = max(z.now, e.at)
			if e.Result == Success {
				z.served++
			}
			z.execute(z.b.Handle(z.now, e.Outcome))
			continue
		}
		z.now = arrival
		z.lastID++
		offered++
		z.execute(z.b.Handle(z.now, Request{ID: fmt.Sprint(z.lastID), Class: class, Deadline: z.now + time.Second}))
		arrival += time.Duration(z.rng.ExpFloat64() / rate * float64(time.Second))
	}
	return offered, z.served - servedBefore
}

// Nodes with 10 requests per second have requests in flight at only one or two of a zone's 40 servers when the zone
// becomes unreachable. From 1.5 s later on they send it only an occasional probe, on a new connection, so that the
// attempt is known at once not to have run. 1.5 s after the partition ends the zone gets its share again.
func TestUnreachableZoneGetsProbesOnly(t *testing.T) {
	const nodes = 40
	before, during, probes, offered, served, after := 0, 0, 0, 0, 0, 0
	for seed := range uint64(nodes) {
		fleet := newZonedFleet(t, seed, 3, 40, func(s *Settings) { s.Balancers, s.Index = nodes, int(seed) })
		fleet.run("pay", 10, 5*time.Second)
		clear(fleet.sentToZone)
		fleet.run("pay", 10, 5*time.Second)
		before += fleet.sentToZone["zone1"]
		fleet.silent["zone1"] = true
		fleet.run("pay", 10, 1500*msec)
		clear(fleet.sentToZone)
		fleet.probesSent = 0
		o, s := fleet.run("pay", 10, 5*time.Second)
		offered, served = offered+o, served+s
		during, probes = during+fleet.sentToZone["zone1"]-fleet.probesSent, probes+fleet.probesSent
		delete(fleet.silent, "zone1")
		fleet.run("pay", 10, 1500*msec)
		clear(fleet.sentToZone)
		fleet.run("pay", 10, 5*time.Second)
		after += fleet.sentToZone["zone1"]
	}
	if during*20 > before || served*100 < 96*offered {
		t.Errorf("%d requests to the unreachable zone in addition to %d probes, %d before; %d of %d served", during, probes, before, served, offered)
	}
	if probes < nodes*5 || probes > nodes*50 {
		t.Errorf("%d nodes sent %d probes in five seconds", nodes, probes)
	}
	if after*4 < before*3 {
		t.Errorf("the zone gets %d requests after the partition, %d before", after, before)
	}
}

// Repeatable requests to an unreachable zone are cancelled and retried elsewhere in time.
func TestSafeRequestsAreCancelledInUnreachableZone(t *testing.T) {
	runDuringCut := func(class string) (offered, served int) {
		for seed := range uint64(20) {
			fleet := newZonedFleet(t, seed, 3, 40, nil)
			fleet.run(class, 30, 5*time.Second)
			fleet.silent["zone1"] = true
			o, _ := fleet.run(class, 30, 500*msec)
			fleet.run("post", 0.001, time.Second) // until all of them have ended
			offered += o
			served += fleet.served
		}
		return offered, served
	}
	offered, safe := runDuringCut("get")
	_, unsafe := runDuringCut("pay")
	if lost := float64(unsafe-safe) / float64(offered); lost > -0.1 {
		t.Errorf("of %d requests during the half-second partition only %d more were served if repeatable", offered, safe-unsafe)
	}
}

// Guards against a cut of a sound reply: a zone whose servers reply slowly is taken for unreachable, and its requests are cancelled while
// their replies arrive.
func TestZoneWhoseRepliesHaveBegunIsReachable(t *testing.T) {
	for _, begun := range []bool{false, true} {
		cancelled := 0
		for seed := range uint64(20) {
			b := newZonedFleet(t, seed, 3, 40, nil)
			b.run("get", 30, 5*time.Second)
			b.silent["zone1"] = true // replies of its servers take longer than the rest of the test
			for range 15 {
				b.run("get", 30, 33*msec)
				for _, e := range b.pending {
					if begun && b.silent[b.zone(e.Server)] {
						b.execute(b.b.Handle(b.now, ReplyBegun{ID: e.ID, Attempt: e.Attempt}))
					}
					if e.Result == Cancelled {
						cancelled++
					}
				}
			}
		}
		if begun != (cancelled == 0) {
			t.Errorf("replies begun: %v, %d requests cancelled", begun, cancelled)
		}
	}
}

// Faults of a single server, of all servers or of this node must not mark a zone as unreachable.
func TestUnrelatedFaultsMarkNoZoneUnreachable(t *testing.T) {
	for name, injectFault := range map[string]func(*zonedFleet){
		"one server hangs":                   func(f *zonedFleet) { f.hung["s0000"] = true },
		"all servers are five times as slow": func(f *zonedFleet) { f.latency *= 5 },
		"this node is unreachable":           func(f *zonedFleet) { f.silent["zone0"], f.silent["zone1"], f.silent["zone2"] = true, true, true },
		"nothing is wrong":                   func(f *zonedFleet) {},
		"all servers are twice as slow":      func(f *zonedFleet) { f.latency *= 2 },
	} {
		unreachable, all := 0, 0
		for seed := range uint64(10) {
			fleet := newZonedFleet(t, seed, 3, 40, nil)
			fleet.run("pay", 20, 5*time.Second)
			injectFault(fleet)
			for range 100 {
				fleet.run("pay", 20, 100*msec)
				for _, zone := range fleet.b.zones {
					all++
					if zone.unreachableSince > 0 {
						unreachable++
					}
				}
			}
		}
		if share := float64(unreachable) / float64(all); share > 0.01 {
			t.Errorf("%s: zones are marked unreachable for %.3f of the time, want at most 0.01", name, share)
		}
	}
}

// After its loss a zone returns with restarted servers, which are not the unresponsive ones.
func TestRestartedServersAreNotExcludedWithTheirZone(t *testing.T) {
	fleet := newZonedFleet(t, 1, 3, 10, func(s *Settings) { s.SlowStartWindow = 0 })
	fleet.run("pay", 20, 5*time.Second)
	fleet.silent["zone1"] = true
	fleet.run("pay", 20, 3*time.Second)
	if s := fleet.b.zoneOf("zone1"); s.unreachableSince == 0 {
		t.Fatal("the zone is not marked unreachable")
	}
	delete(fleet.silent, "zone1")
	fleet.updateList(3, 10, map[string]time.Duration{"zone1": fleet.now})
	for _, s := range fleet.b.ready {
		if fleet.b.zoneExcluded(s) {
			t.Errorf("%s in %s is excluded", s.ID, s.Zone)
		}
	}
	fleet.updateList(2, 10, nil)
	if len(fleet.b.zones) != 2 {
		t.Errorf("%d zones are known, want the two listed ones", len(fleet.b.zones))
	}
}

// A node whose subset lies in an unreachable zone gets no replies: it sends beyond its subset and detects that other
// zones reply.
func TestNodeWithoutRepliesSelectsOutsideItsSubset(t *testing.T) {
	fleet := newZonedFleet(t, 1, 3, 40, func(s *Settings) { s.Index = 0 })
	list := ServerList{Full: true}
	for i := range 120 { // the subset starts at the first server of each group, numbers 0 and 60
		zone := fmt.Sprint("zone", 1+i%2)
		if i%60 < 30 {
			zone = "zone0"
		}
		list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("t%04d", i), Zone: zone})
	}
	fleet.execute(fleet.b.Handle(fleet.now, list))
	fleet.run("pay", 10, 5*time.Second)
	if len(fleet.sentToZone) != 1 {
		t.Fatalf("the subset has servers in more than one zone: %v", fleet.sentToZone)
	}
	fleet.silent["zone0"] = true
	fleet.run("pay", 10, 2*time.Second)
	if offered, served := fleet.run("pay", 10, 5*time.Second); served*10 < offered*7 {
		t.Errorf("%d of %d served", served, offered)
	}
}

// In fleets of any size, two seconds after a zone becomes unreachable, nodes with few requests each send it, all
// together, less than a tenth of the earlier requests, and the other zones get no more than their share of these.
func TestFleetOfAnySizeAvoidsUnreachableZone(t *testing.T) {
	for _, nodes := range []int{10, 100, 1000} {
		before, during, others := 0, 0, 0
		for i := range nodes {
			fleet := newZonedFleet(t, uint64(i), 3, max(3, nodes/5), func(s *Settings) { s.Balancers, s.Index = nodes, i })
			fleet.run("pay", 5, 2*time.Second)
			clear(fleet.sentToZone)
			fleet.run("pay", 5, 2*time.Second)
			before += fleet.sentToZone["zone1"]
			fleet.silent["zone1"] = true
			fleet.run("pay", 5, 3*time.Second)
			clear(fleet.sentToZone)
			fleet.probesSent = 0
			fleet.run("pay", 5, 2*time.Second)
			during += fleet.sentToZone["zone1"] - fleet.probesSent
			others += fleet.sentToZone["zone0"] + fleet.sentToZone["zone2"]
		}
		if during*10 > before {
			t.Errorf("%d nodes: %d requests to the unreachable zone in addition to probes, %d before", nodes, during, before)
		}
		if most := 2*before + before*3/2; others > most {
			t.Errorf("%d nodes: the other two zones got %d requests; the unreachable one got %d before", nodes, others, before)
		}
	}
}
