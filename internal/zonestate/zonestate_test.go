package zonestate

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"
)

const ms = time.Millisecond

// testPeer returns node i in a zone.
func testPeer(i, zone int) Peer {
	addr := netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)})
	return Peer{ID: uint64(i) + 1, Addr: netip.AddrPortFrom(addr, 1), ZoneID: ZoneIDOf("r", fmt.Sprint(zone))}
}

// newTestMachine returns the machine of node i in zone 0, with a view of all.
func newTestMachine(t testing.TB, i int, all ...Peer) *Machine {
	t.Helper()
	m, err := New(0, testPeer(i, 0), Defaults(2*time.Second), uint64(i))
	if err != nil {
		t.Fatal(err)
	}
	m.SetView(0, NewView(all))
	return m
}

// drawRow draws a row from a small number of authors, zones and sequence numbers, so that rows often have the same key.
func drawRow(t *rapid.T) Row {
	r := Row{
		ZoneID: ZoneID(rapid.IntRange(1, 2).Draw(t, "zone")),
		Plane:  uint8(rapid.IntRange(0, 1).Draw(t, "plane")),
		Page:   uint8(rapid.IntRange(0, 1).Draw(t, "page")),
		Author: Author{
			ID:          uint64(rapid.IntRange(1, maxAuthors).Draw(t, "author")),
			Incarnation: uint32(rapid.IntRange(0, 2).Draw(t, "incarnation")),
		},
		Seq: uint32(rapid.IntRange(math.MaxUint32-2, math.MaxUint32+2).Draw(t, "seq")), // sequence numbers that wrap around
	}
	r.PartCount = int(r.Author.Incarnation)*10 + int(int32(r.Seq)) // determined by author and sequence number, like the content of real rows
	r.Age = time.Duration(rapid.IntRange(0, 400).Draw(t, "age")) * ms
	return r
}

func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rows := rapid.SliceOfN(rapid.Custom(drawRow), 1, 12).Draw(r, "rows")
		order := rapid.Permutation(rows).Draw(r, "order")
		duplicates := rapid.SliceOfN(rapid.SampledFrom(rows), 0, 5).Draw(r, "duplicates")
		merge := func(rows []Row) store {
			s := store{rows: map[pageKey][]storedRow{}}
			for _, x := range rows {
				madeAt := time.Second - x.Age
				x.Age = 0
				s.put(x, madeAt)
			}
			return s
		}
		a := merge(rows)
		b := merge(append(order, duplicates...))
		if !reflect.DeepEqual(a.rows, b.rows) {
			r.Fatalf("merged rows:\n%v\nmerged in another order, with duplicates:\n%v", a.rows, b.rows)
		}
	})
}

// The result of combining parts does not depend on their grouping. If the entries exceed a row, rates are dropped before the
// state of servers.
func TestCombineIsAssociative(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) Entry {
			return Entry{
				Kind:    rapid.SampledFrom([]Kind{Demand, OpenRequests, ReadyServers, OldestVersion}).Draw(t, "kind"),
				Subject: Subject(rapid.IntRange(1, 4).Draw(t, "subject")),
				Value:   float64(rapid.IntRange(0, 9).Draw(t, "value")),
			}
		})
		lists := rapid.SliceOfN(rapid.SliceOfN(entry, 0, 6), 1, 5).Draw(r, "lists")
		split := rapid.IntRange(0, len(lists)).Draw(r, "split")
		complete, _ := combine(lists...)
		left, _ := combine(lists[:split]...)
		right, _ := combine(lists[split:]...)
		if parts, _ := combine(right, left); !slices.Equal(parts, complete) {
			r.Fatalf("combined at once: %v; combined from %v and %v: %v", complete, left, right, parts)
		}
	})
	var many []Entry
	for i := range 2 * MaxEntries {
		many = append(many, Entry{Demand, Subject(i + 1), float64(i)})
	}
	many = append(many, Entry{ReadyServers, 7, 3})
	out, dropped := combine(many)
	if len(out) != MaxEntries || dropped != len(many)-1-MaxEntries || out[len(out)-1] != (Entry{ReadyServers, 7, 3}) || out[0].Value != 22 {
		t.Errorf("%d entries, %d dropped: %v", len(out), dropped, out)
	}
}

// The delay of a hop is the time since the receiver sent the echoed token, less the time for which the sender held it. Rows of a
// message without a token, or with an implausible one, are dropped.
func TestHopDelayIsBoundedByOwnToken(t *testing.T) {
	m := newTestMachine(t, 0, testPeer(0, 0), testPeer(1, 0), testPeer(2, 1))
	m.now = 10 * time.Second
	token := m.token(9 * time.Second)
	for _, c := range []struct {
		name  string
		echo  uint32
		held  uint16
		delay time.Duration
		ok    bool
	}{
		{"held for 900 ms of a second", token, 900, 104 * ms, true},
		{"not held", token, 0, 1004 * ms, true},
		{"held for longer than the round trip", token, 1100, 0, false},
		{"no token", 0, 0, 0, false},
		{"token of another incarnation", token - 1<<20, 0, 0, false},
		{"token of the future", token + 5000, 0, 0, false},
	} {
		d, ok := m.hopDelay(Message{Echo: c.echo, HeldMillis: c.held})
		if ok != c.ok || d > c.delay || ok && d < c.delay-10*ms {
			t.Errorf("%s: hopDelay = %v, %v; want about %v, %v", c.name, d, ok, c.delay, c.ok)
		}
	}
	row := Row{ZoneID: testPeer(2, 1).ZoneID, Author: Author{ID: 3}, Seq: 1, PartCount: 1, Age: 300 * ms}
	m.Receive(m.now, Message{Kind: RowUpdate, From: 3, Token: 7, Rows: []Row{row}})
	if v := m.Read(m.now, row.ZoneID, Demand, 1); v.Freshness != Unknown || m.Dropped.Unbounded != 1 {
		t.Errorf("row without an echoed token: Read = %+v, dropped %+v", v, m.Dropped)
	}
	m.Receive(m.now, Message{Kind: RowUpdate, From: 3, Token: 7, Echo: token, HeldMillis: 900, Rows: []Row{row}})
	v := m.Read(m.now, row.ZoneID, Demand, 1)
	if v.Freshness != Fresh || v.Age < 400*ms || v.Age > 410*ms || v.PartCount != 1 || v.ActiveNodes != 1 || v.Amount != 0 {
		t.Errorf("row with an echoed token: Read = %+v", v)
	}
	// The freshness depends on the age, and is Unknown for a page of which no row was received.
	m.Tick(m.now + 1700*ms)
	if v = m.Read(m.now, row.ZoneID, Demand, 1); v.Freshness != Stale || v.Since > m.now || v.Age < 2*time.Second {
		t.Errorf("after 1.7 s: Read = %+v", v)
	}
	if v := m.Read(m.now, row.ZoneID, Attempts, 1); v.Freshness != Unknown || v.ActiveNodes != 1 {
		t.Errorf("page without rows: Read = %+v", v)
	}
	if !m.Isolated(m.now) {
		t.Error("Isolated() = false without a fresh row of another node")
	}
	m.Tick(m.now + 10*time.Second)
	if v = m.Read(m.now, row.ZoneID, Demand, 1); v.Freshness != Unknown || m.Size() != 0 {
		t.Errorf("after 10 s: Read = %+v, %d rows stored", v, m.Size())
	}
}

// Rows of a faulty peer are dropped if the author is unknown, not in the zone of the row, or this node itself, or if the row has
// too many parts or is too old. Parts from a node that is not a child are dropped as well.
func TestRowsOfFaultyPeersAreDropped(t *testing.T) {
	m := newTestMachine(t, 0, testPeer(0, 0), testPeer(1, 0), testPeer(2, 1))
	m.now = time.Second
	echo := m.token(m.now)
	good := Row{ZoneID: testPeer(2, 1).ZoneID, Author: Author{ID: 3}, Seq: 1, PartCount: 1}
	for name, change := range map[string]func(*Row){
		"foreign zone":   func(r *Row) { r.ZoneID = testPeer(0, 0).ZoneID },
		"unknown author": func(r *Row) { r.Author.ID = 99 },
		"own ID":         func(r *Row) { r.Author.ID, r.ZoneID = 1, testPeer(0, 0).ZoneID },
		"too many nodes": func(r *Row) { r.PartCount = 50 },
		"too old":        func(r *Row) { r.Age = time.Minute },
	} {
		r := good
		change(&r)
		before := m.Dropped
		if m.Receive(m.now, Message{Kind: RowUpdate, From: 2, Echo: echo, Rows: []Row{r}}); m.Dropped == before || m.Size() != 0 {
			t.Errorf("%s: dropped %+v, %d rows stored", name, m.Dropped, m.Size())
		}
	}
	before := m.Dropped.Foreign
	if m.Receive(m.now, Message{Kind: PartUpdate, From: 3, Echo: echo, Rows: []Row{good}}); m.Dropped.Foreign != before+1 {
		t.Errorf("part from another zone: dropped %+v", m.Dropped)
	}
	if m.Receive(m.now, Message{Kind: RowUpdate, From: 77, Echo: echo, Rows: []Row{good}}); m.Size() != 0 {
		t.Error("row from an unknown sender was stored")
	}
}

// Each node except the root is a child of exactly one node, its parent, regardless of which nodes are bypassed.
func TestEachNodeHasOneParent(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(r, "nodes")
		fanout := rapid.IntRange(1, 9).Draw(r, "fan")
		bypassedNodes := rapid.SliceOfN(rapid.Bool(), n, n).Draw(r, "bypassed")
		var nodes []Peer
		for i := range n {
			nodes = append(nodes, testPeer(i, 0))
		}
		nodeTree := newTree(nodes, uint8(rapid.IntRange(0, 1).Draw(r, "plane")))
		bypassed := func(p Peer) bool { return bypassedNodes[p.ID-1] }
		childOf := map[uint64]int{}
		for i, p := range nodeTree {
			if bypassed(p) {
				continue
			}
			children := nodeTree.children(i, fanout, bypassed)
			if len(children) > maxChildren {
				r.Fatalf("node has %d children, more than maxChildren", len(children))
			}
			for _, c := range children {
				childOf[c.ID]++
				parent, hasParent := nodeTree.parent(nodeTree.index(c.ID), fanout, bypassed)
				if !hasParent || nodeTree[parent].ID != p.ID || bypassed(c) {
					r.Fatalf("node %d has the child %d, whose parent is %d, %v", p.ID, c.ID, nodeTree[parent].ID, hasParent)
				}
			}
		}
		for i, p := range nodeTree {
			if _, hasParent := nodeTree.parent(i, fanout, bypassed); !bypassed(p) && hasParent && childOf[p.ID] != 1 && n <= maxChildren {
				r.Fatalf("node %d is a child of %d nodes", p.ID, childOf[p.ID])
			}
		}
	})
}

func TestOptionsOutOfRangeAreRejected(t *testing.T) {
	for _, change := range []func(*Options){
		func(o *Options) { o.FreshAge = MinFreshAge(o.Delay) - 1 },
		func(o *Options) { o.Delay = 0 },
		func(o *Options) { o.Fanout = 0 },
		func(o *Options) { o.Fanout = 33 },
	} {
		o := Defaults(2 * time.Second)
		change(&o)
		if _, err := New(0, testPeer(0, 0), o, 1); err == nil {
			t.Errorf("New with options %+v returned no error", o)
		}
	}
	if _, err := New(0, Peer{}, Defaults(2*time.Second), 1); err == nil {
		t.Error("New without a node ID returned no error")
	}
}
