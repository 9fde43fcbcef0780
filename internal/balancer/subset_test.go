package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// subsetShares are how much of each server lies in the pools of all copies together.
func subsetShares(t *testing.T, copies, servers int) (sum map[string]float64, pools [][]string) {
	t.Helper()
	sum = map[string]float64{}
	for i := range copies {
		b := newBalancer(t, func(s *Settings) { s.Balancers, s.Index = copies, i })
		l := ServerList{Full: true}
		for k := range servers {
			l.Servers = append(l.Servers, Server{ID: fmt.Sprintf("s%04d", k)})
		}
		b.Handle(time.Second, l)
		b.fitSubset()
		var pool []string
		for _, s := range slices.Concat(b.subset.left, b.subset.right) {
			sum[s.ID] += s.subsetShare
			pool = append(pool, s.ID)
		}
		pools = append(pools, pool)
	}
	return sum, pools
}

// Whatever the numbers of nodes and servers are, all pools together take in the same part of each server, and
// hardly two nodes have the same pool.
func TestSubsetsTogetherCoverAllServersEvenly(t *testing.T) {
	for _, c := range []struct{ copies, servers int }{{200, 60}, {300, 60}, {60, 400}, {300, 5}, {7, 13}, {97, 89}, {1, 40}, {2, 3}} {
		sum, pools := subsetShares(t, c.copies, c.servers)
		least, most := math.Inf(1), 0.0
		for k := range c.servers {
			v := sum[fmt.Sprintf("s%04d", k)]
			least, most = min(least, v), max(most, v)
		}
		if least <= 0 || most/least > 1.0001 {
			t.Errorf("%d nodes, %d servers: pools take in %.3f to %.3f of a server", c.copies, c.servers, least, most)
		}
		same := 0
		for i := range pools[1:] {
			if slices.Equal(pools[i], pools[i+1]) && len(pools[i]) < c.servers {
				same++
			}
		}
		if same > len(pools)/10 {
			t.Errorf("%d nodes, %d servers: %d neighbours have one pool", c.copies, c.servers, same)
		}
	}
}

// A node more or a server more moves few of the connections that a node's pool stands for on the left, where the nodes
// follow in their order.
func TestSubsetsAreStableAsServersChange(t *testing.T) {
	_, before := subsetShares(t, 100, 60)
	_, after := subsetShares(t, 100, 61)
	kept, all := 0, 0
	for i := range before {
		for _, id := range before[i] {
			all++
			if slices.Contains(after[i], id) {
				kept++
			}
		}
	}
	if kept*10 < all*6 {
		t.Errorf("one server more: %d of %d places in pools are kept", kept, all)
	}
}

func TestStride(t *testing.T) {
	for n := 1; n < 2000; n++ {
		m := stride(n)
		a, b := m, n
		for b > 0 {
			a, b = b, a%b
		}
		if a != 1 || m < 1 || n > 10 && (m < n/2 || m > n*9/10) {
			t.Fatalf("stride(%d) is %d", n, m)
		}
	}
}

// newReportingNode is a node of many, with servers that say what they hold.
func newReportingNode(t *testing.T, asks int, busy ...float64) *Balancer {
	t.Helper()
	b := newBalancer(t, func(s *Settings) { s.Balancers, s.PollChoices, s.Tier = 1, asks, 1 })
	l := ServerList{Full: true}
	for k := range busy {
		l.Servers = append(l.Servers, Server{ID: fmt.Sprintf("s%d", k)})
	}
	b.Handle(time.Second, l)
	for k, v := range busy {
		b.Handle(time.Second, LoadUpdate{Loads: []ServerLoad{{Server: fmt.Sprintf("s%d", k), Busy: v}}})
	}
	return b
}

// sendsTo asks a node to place safe requests one after another, each answered before the next, and counts by server.
func sendsTo(t *testing.T, b *Balancer, at time.Duration, n int) map[string]int {
	t.Helper()
	sent := map[string]int{}
	for i := range n {
		id := fmt.Sprint(at, i)
		for _, a := range b.Handle(at, Request{ID: id, Class: "get", Deadline: at + time.Second}) {
			if s, ok := a.(Send); ok {
				sent[s.Server]++
				b.Handle(at, Outcome{ID: id, Server: s.Server, Result: Success, Ended: true})
			}
		}
	}
	return sent
}

// Servers that say they hold much get little, as long as that word is young.
func TestLoadReportsDecay(t *testing.T) {
	busy := []float64{9, 0, 0, 9, 0, 0}
	b := newReportingNode(t, 0, busy...)
	now := sendsTo(t, b, time.Second+msec, 600)
	if now["s0"]+now["s3"] > 30 {
		t.Errorf("the two that hold most get %d and %d of 600", now["s0"], now["s3"])
	}
	b = newReportingNode(t, 0, busy...)
	later := sendsTo(t, b, 100*time.Second, 600)
	if n := later["s0"] + later["s3"]; n < 100 {
		t.Errorf("after a hundred seconds they still get %d of 600 only", n)
	}
	b.Handle(100*time.Second, LoadUpdate{Loads: []ServerLoad{{Server: "s0", Busy: 50, Age: 90 * time.Second}, {Server: "nobody", Busy: 1}, {Server: "s1", Busy: -1}}})
	if s := b.servers["s0"]; s.reportedLoad != 50 || b.now-s.reportedAt != 90*time.Second {
		t.Errorf("a word of 90 s ago: %v, told %v ago", s.reportedLoad, b.now-s.reportedAt)
	}
	b.Handle(100*time.Second, LoadUpdate{Loads: []ServerLoad{{Server: "s0", Busy: 1, Age: 95 * time.Second}}})
	if s := b.servers["s0"]; s.reportedLoad != 50 {
		t.Error("an older word took the place of a younger one")
	}
}

// A request waits until those that were asked have said what they hold, and goes to the one that holds least.
func TestRequestGoesToLeastLoadedPolledServer(t *testing.T) {
	b := newReportingNode(t, 4, 0, 0, 0, 0, 0, 0, 0, 0)
	at := 10 * time.Second
	acts := b.Handle(at, Request{ID: "x", Class: "get", Deadline: at + time.Second})
	ask, ok := acts[0].(Poll)
	if !ok || len(ask.Servers) != 4 || len(acts) != 2 {
		t.Fatalf("actions %+v; want four servers asked, and a Wake", acts)
	}
	left := 0
	for _, s := range ask.Servers {
		if slices.ContainsFunc(b.subset.left, func(o *server) bool { return o.ID == s }) {
			left++
		}
	}
	if left != 2 {
		t.Errorf("%d of those asked are of the left group; want one draw from each for either", left)
	}
	for i, s := range ask.Servers {
		busy := 3.0
		if i == 2 {
			busy = 0
		}
		acts = b.Handle(at+msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: s, Busy: busy}}})
		if i < 3 && len(acts) > 0 {
			t.Fatalf("after %d answers: %+v", i+1, acts)
		}
	}
	if len(acts) != 1 || acts[0].(Send).Server != ask.Servers[2] {
		t.Errorf("actions %+v; want it sent to %s", acts, ask.Servers[2])
	}
	if acts = b.Handle(at+2*msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: ask.Servers[0], Busy: 0}}}); len(acts) > 0 {
		t.Errorf("a word that comes late has it do %+v", acts)
	}
}

// Where some say nothing, the request waits for a part of the time that an answer takes and goes to one of those that have;
// where nobody does, it goes by what is known.
func TestRequestDoesNotWaitForSilentServer(t *testing.T) {
	for _, answers := range []int{1, 0} {
		b := newReportingNode(t, 4, 1, 1, 1, 1, 1, 1, 1, 1)
		at := 10 * time.Second
		acts := b.Handle(at, Request{ID: "x", Class: "get", Deadline: at + time.Second})
		ask, wake := acts[0].(Poll), acts[1].(SetTimer)
		if ask.Timeout <= 0 || wake.At != at+ask.Timeout || ask.Timeout > time.Duration(b.classes["get"].meanLatency) {
			t.Fatalf("it waits %v, until %v", ask.Timeout, wake.At)
		}
		for _, s := range ask.Servers[:answers] {
			b.Handle(at+msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: s, Busy: 7}}})
		}
		acts = b.Handle(wake.At, Timer{Token: wake.Token})
		if len(acts) != 1 {
			t.Fatalf("%d answers: %+v", answers, acts)
		}
		if to := acts[0].(Send).Server; answers == 1 && to != ask.Servers[0] {
			t.Errorf("it goes to %s, and only %s has answered", to, ask.Servers[0])
		}
		if b.requests["x"].polling != 0 {
			t.Error("it still waits for words")
		}
	}
}

// A client that leaves while servers are asked has nothing sent for it.
func TestNothingIsSentForClientDisconnectedWhilePolling(t *testing.T) {
	b := newReportingNode(t, 2, 0, 0, 0, 0)
	at := 10 * time.Second
	ask := b.Handle(at, Request{ID: "x", Class: "get", Deadline: at + time.Second})[0].(Poll)
	b.Handle(at+msec, ClientDisconnected{ID: "x"})
	for _, s := range ask.Servers {
		if acts := b.Handle(at+2*msec, LoadUpdate{ID: "x", Loads: []ServerLoad{{Server: s, Busy: 0}}}); len(acts) > 0 {
			t.Errorf("%+v", acts)
		}
	}
	if len(b.requests) != 0 {
		t.Error("its request is kept")
	}
}

// Nodes that hear of a change of their number at different times lay their pools out in two ways for a while, each of
// them even: together no server is left out, and none lies in much more than its part.
func TestSubsetsCoverAllServersWhileNodesDisagreeOnNodeCount(t *testing.T) {
	for _, c := range []struct{ was, is, servers int }{{200, 190, 60}, {190, 200, 60}, {100, 200, 60}, {60, 61, 400}, {300, 150, 30}} {
		before, _ := subsetShares(t, c.was, c.servers)
		after, _ := subsetShares(t, c.is, c.servers)
		sum := map[string]float64{}
		for i := range c.was { // every second node has heard; those that are gone by the new number still send by the old
			copies := c.was
			if i%2 == 0 && i < c.is {
				copies = c.is
			}
			b := newBalancer(t, func(s *Settings) { s.Balancers, s.Index = copies, i })
			l := ServerList{Full: true}
			for k := range c.servers {
				l.Servers = append(l.Servers, Server{ID: fmt.Sprintf("s%04d", k)})
			}
			b.Handle(time.Second, l)
			b.fitSubset()
			var all float64
			for _, s := range b.ready {
				all += s.subsetShare
			}
			for _, s := range b.ready {
				sum[s.ID] += s.subsetShare / all
			}
		}
		mean := float64(c.was) / float64(c.servers)
		for k := range c.servers {
			id := fmt.Sprintf("s%04d", k)
			if v := sum[id] / mean; v < 0.3 || v > 1.8 || before[id] == 0 || after[id] == 0 {
				t.Errorf("%d nodes that become %d, %d servers: %s gets %.2f of its part", c.was, c.is, c.servers, id, v)
				break
			}
		}
	}
}

// After a release all nodes are new at once and know nothing: the first requests of three hundred go to sixty servers as
// evenly as chance has it, and to no few that come first in the order.
func TestNewNodesDoNotStartAtOneServer(t *testing.T) {
	const nodes, n = 300, 60
	for _, reported := range []bool{false, true} {
		first := map[string]int{}
		for i := range nodes {
			set := testSettings()
			set.Balancers, set.Index, set.Tier = nodes, i, 1
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			l := ServerList{Full: true}
			for k := range n {
				l.Servers = append(l.Servers, Server{ID: fmt.Sprintf("s%04d", k)})
			}
			b.Handle(time.Second, l)
			if reported { // every node has heard the same of all, and one looks idle
				for k := range n {
					busy := 3.0
					if k == 7 {
						busy = 0
					}
					b.Handle(time.Second, LoadUpdate{Loads: []ServerLoad{{Server: l.Servers[k].ID, Busy: busy}}})
				}
			}
			for _, s := range sends(b.Handle(time.Second+msec, Request{ID: "x", Class: "get", Deadline: 2 * time.Second})) {
				first[s.Server]++
			}
		}
		most, met := 0, 0
		for id, c := range first {
			if met++; !reported || id != "s0007" {
				most = max(most, c)
			}
		}
		// Five each on average; fifteen at one of sixty comes by chance in one of a thousand such releases.
		if most > 15 || met < n*9/10 {
			t.Errorf("first calls met %d servers, %d of them one", met, most)
		}
		// Who looks idle to all gets the first request of those whose pool it lies in, and of nobody else.
		if in := 0; reported {
			sum, _ := subsetShares(t, nodes, n)
			in = int(sum["s0007"]) + 3
			if first["s0007"] > 2*in {
				t.Errorf("%d of %d first calls go to the server that looks idle to all; it lies in about %d pools", first["s0007"], nodes, in)
			}
		}
	}
}

// A pool is cut anew only where that changes it: the same again costs no memory, also where more servers are wanted than there
// are. Once the list has changed it is cut again, however much is wanted.
func TestUnchangedSubsetIsNotRecomputed(t *testing.T) {
	for _, c := range []struct {
		copies, servers int
		busy            float64
	}{{1, 8, 0}, {1, 8, 64}, {3, 8, 64}, {20, 8, 9}, {300, 60, 5}, {300, 60, 1000}} {
		b := newBalancer(t, func(s *Settings) { s.Balancers = c.copies })
		l := ServerList{Full: true}
		for k := range c.servers {
			l.Servers = append(l.Servers, Server{ID: fmt.Sprintf("s%04d", k)})
		}
		b.Handle(time.Second, l)
		b.meanInFlight = c.busy
		b.fitSubset()
		if n := testing.AllocsPerRun(10, b.fitSubset); n > 0 {
			t.Errorf("%+v: %v allocations for the same pool", c, n)
		}
		l.Servers = l.Servers[1:]
		b.Handle(2*time.Second, l)
		b.fitSubset()
		first := func(s *server) bool { return s.ID == "s0000" }
		if slices.ContainsFunc(slices.Concat(b.subset.left, b.subset.right), first) || len(b.subset.left) == 0 {
			t.Errorf("%+v: the pool still has the server that has left, or has none", c)
		}
	}
}
