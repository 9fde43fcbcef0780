package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// The subsets of many nodes cover each group evenly, and a busy node takes a larger one.
func TestSubsetsCoverGroupsEvenly(t *testing.T) {
	count := map[string]int{}
	const nodes = 60
	for i := range nodes {
		b := newBalancer(t, func(s *Settings) { s.Tier, s.Balancers, s.Index = 1, nodes, i })
		b.Handle(msec, ServerList{Full: true, Servers: servers(40)})
		b.selectServer(&request{class: b.classes["get"]})
		for _, s := range append(append([]*server{}, b.subset.left...), b.subset.right...) {
			count[s.ID]++
		}
		if idle := b.subsetSize; idle >= 20 {
			t.Fatalf("an idle node's subset has %d servers, want fewer than 20", idle)
		}
		b.meanInFlight = 8
		if b.updateSubset(); b.subsetSize < 12 {
			t.Fatalf("a busy node's subset has %d servers, want at least 12", b.subsetSize)
		}
	}
	least, most := nodes, 0
	for _, s := range servers(40) {
		least, most = min(least, count[s.ID]), max(most, count[s.ID])
	}
	if least < 4 || most-least > 3 {
		t.Errorf("servers are in %d to %d subsets, want at least 4 and a difference of at most 3", least, most)
	}
}

// subsetShares returns the sum of each server's shares in the subsets of all nodes, and the subsets.
func subsetShares(t *testing.T, nodes, servers int) (sum map[string]float64, subsets [][]string) {
	t.Helper()
	sum = map[string]float64{}
	for i := range nodes {
		b := newBalancer(t, func(s *Settings) { s.Balancers, s.Index = nodes, i })
		list := ServerList{Full: true}
		for k := range servers {
			list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("s%04d", k)})
		}
		b.Handle(time.Second, list)
		b.updateSubset()
		var subset []string
		for _, s := range slices.Concat(b.subset.left, b.subset.right) {
			sum[s.ID] += s.subsetShare
			subset = append(subset, s.ID)
		}
		subsets = append(subsets, subset)
	}
	return sum, subsets
}

// For any numbers of nodes and servers, all subsets together contain the same share of each server, and few adjacent
// nodes have the same subset.
func TestSubsetsTogetherCoverAllServersEvenly(t *testing.T) {
	for _, c := range []struct{ copies, servers int }{{200, 60}, {300, 60}, {60, 400}, {300, 5}, {7, 13}, {97, 89}, {1, 40}, {2, 3}} {
		sum, subsets := subsetShares(t, c.copies, c.servers)
		least, most := math.Inf(1), 0.0
		for k := range c.servers {
			v := sum[fmt.Sprintf("s%04d", k)]
			least, most = min(least, v), max(most, v)
		}
		if least <= 0 || most/least > 1.0001 {
			t.Errorf("%d nodes, %d servers: the shares of a server add up to %.3f to %.3f, want them equal", c.copies, c.servers, least, most)
		}
		same := 0
		for i := range subsets[1:] {
			if slices.Equal(subsets[i], subsets[i+1]) && len(subsets[i]) < c.servers {
				same++
			}
		}
		if same > len(subsets)/10 {
			t.Errorf("%d nodes, %d servers: %d adjacent nodes have the same subset", c.copies, c.servers, same)
		}
	}
}

// One more node or server changes few of a node's connections in the left group, where the nodes are in their own
// order.
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
		t.Errorf("with one more server %d of %d subset members are kept, want at least 60%%", kept, all)
	}
}

func TestCoprimeStride(t *testing.T) {
	for n := 1; n < 2000; n++ {
		m := coprimeStride(n)
		a, b := m, n
		for b > 0 {
			a, b = b, a%b
		}
		if a != 1 || m < 1 || n > 10 && (m < n/2 || m > n*9/10) {
			t.Fatalf("coprimeStride(%d) = %d", n, m)
		}
	}
}

// Nodes that learn of a new node count at different times use two layouts of subsets for a while, each of them even:
// together they must contain every server, and none much more than its share.
func TestSubsetsCoverAllServersWhileNodesDisagreeOnNodeCount(t *testing.T) {
	for _, c := range []struct{ was, is, servers int }{{200, 190, 60}, {190, 200, 60}, {100, 200, 60}, {60, 61, 400}, {300, 150, 30}} {
		before, _ := subsetShares(t, c.was, c.servers)
		after, _ := subsetShares(t, c.is, c.servers)
		sum := map[string]float64{}
		for i := range c.was { // half of the nodes know the new count; removed ones still use the old one
			nodes := c.was
			if i%2 == 0 && i < c.is {
				nodes = c.is
			}
			b := newBalancer(t, func(s *Settings) { s.Balancers, s.Index = nodes, i })
			list := ServerList{Full: true}
			for k := range c.servers {
				list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("s%04d", k)})
			}
			b.Handle(time.Second, list)
			b.updateSubset()
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
				t.Errorf("from %d to %d nodes, %d servers: %s gets %.2f of its share", c.was, c.is, c.servers, id, v)
				break
			}
		}
	}
}

// After a release all nodes are new at once and have no statistics: the first requests of 300 nodes must reach 60
// servers about evenly, not the few that are first in the order.
func TestNewNodesSpreadFirstRequests(t *testing.T) {
	const nodes, serverCount = 300, 60
	for _, reported := range []bool{false, true} {
		first := map[string]int{}
		for i := range nodes {
			set := testSettings()
			set.Balancers, set.Index, set.Tier = nodes, i, 1
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			list := ServerList{Full: true}
			for k := range serverCount {
				list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("s%04d", k)})
			}
			b.Handle(time.Second, list)
			if reported { // every node has the same load reports, and one server looks idle
				for k := range serverCount {
					busy := 3.0
					if k == 7 {
						busy = 0
					}
					b.Handle(time.Second, LoadUpdate{Loads: []ServerLoad{{Server: list.Servers[k].ID, Busy: busy}}})
				}
			}
			for _, s := range sends(b.Handle(time.Second+msec, Request{ID: "x", Class: "get", Deadline: 2 * time.Second})) {
				first[s.Server]++
			}
		}
		most, reached := 0, 0
		for id, c := range first {
			if reached++; !reported || id != "s0007" {
				most = max(most, c)
			}
		}
		// The mean is five per server; by chance, one of 60 servers gets fifteen in one of 1000 such releases.
		if most > 15 || reached < serverCount*9/10 {
			t.Errorf("the first requests reached %d servers, one of which got %d; want at least 90%% of the servers and at most 15", reached, most)
		}
		// A server that looks idle to all nodes gets the first requests of the nodes whose subsets contain it, and of
		// no others.
		if in := 0; reported {
			sum, _ := subsetShares(t, nodes, serverCount)
			in = int(sum["s0007"]) + 3
			if first["s0007"] > 2*in {
				t.Errorf("%d of %d first requests go to the server that looks idle; it is in about %d subsets", first["s0007"], nodes, in)
			}
		}
	}
}

// The subset is computed again only if it would change: an unchanged one allocates no memory, even if more servers
// are wanted than exist. After a change of the list it is computed again, whatever size is wanted.
func TestUnchangedSubsetIsNotRecomputed(t *testing.T) {
	for _, c := range []struct {
		copies, servers int
		busy            float64
	}{{1, 8, 0}, {1, 8, 64}, {3, 8, 64}, {20, 8, 9}, {300, 60, 5}, {300, 60, 1000}} {
		b := newBalancer(t, func(s *Settings) { s.Balancers = c.copies })
		list := ServerList{Full: true}
		for k := range c.servers {
			list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("s%04d", k)})
		}
		b.Handle(time.Second, list)
		b.meanInFlight = c.busy
		b.updateSubset()
		if n := testing.AllocsPerRun(10, b.updateSubset); n > 0 {
			t.Errorf("%+v: %v allocations for an unchanged subset, want 0", c, n)
		}
		list.Servers = list.Servers[1:]
		b.Handle(2*time.Second, list)
		b.updateSubset()
		first := func(s *server) bool { return s.ID == "s0000" }
		if slices.ContainsFunc(slices.Concat(b.subset.left, b.subset.right), first) || len(b.subset.left) == 0 {
			t.Errorf("%+v: the subset contains the removed server or its left group is empty", c)
		}
	}
}
