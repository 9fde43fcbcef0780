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

func peer(i, zone int) Peer {
	return Peer{ID: uint64(i) + 1, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 1), Place: PlaceOf("r", fmt.Sprint(zone))}
}

func machine(t testing.TB, i int, all ...Peer) *Machine {
	t.Helper()
	m, err := New(0, peer(i, 0), Defaults(2*time.Second), uint64(i))
	if err != nil {
		t.Fatal(err)
	}
	m.See(0, NewView(all))
	return m
}

// drawn is a row of a few authors, zones and sequences, so that draws meet.
func drawn(t *rapid.T) Row {
	r := Row{Place: Place(rapid.IntRange(1, 2).Draw(t, "place")), Plane: uint8(rapid.IntRange(0, 1).Draw(t, "plane")), Page: uint8(rapid.IntRange(0, 1).Draw(t, "page")),
		Author: Author{uint64(rapid.IntRange(1, maxAuthors).Draw(t, "author")), uint32(rapid.IntRange(0, 2).Draw(t, "life"))},
		Seq:    uint32(rapid.IntRange(math.MaxUint32-2, math.MaxUint32+2).Draw(t, "seq"))} // sequences that wrap
	r.From = int(r.Author.Incarnation)*10 + int(int32(r.Seq)) // what it says follows from who made it when
	r.Age = time.Duration(rapid.IntRange(0, 400).Draw(t, "age")) * ms
	return r
}

func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rows := rapid.SliceOfN(rapid.Custom(drawn), 1, 12).Draw(r, "rows")
		order := rapid.Permutation(rows).Draw(r, "order")
		again := rapid.SliceOfN(rapid.SampledFrom(rows), 0, 5).Draw(r, "again")
		a, b := store{rows: map[pageKey][]storedRow{}}, store{rows: map[pageKey][]storedRow{}}
		for _, x := range rows {
			x, made := x, time.Second-x.Age
			x.Age = 0
			a.put(x, made)
		}
		for _, x := range append(order, again...) {
			x, made := x, time.Second-x.Age
			x.Age = 0
			b.put(x, made)
		}
		if !reflect.DeepEqual(a.rows, b.rows) {
			r.Fatalf("%v\nand in another order, some twice,\n%v", a.rows, b.rows)
		}
	})
}

// Parts are put together in any grouping, and rows that have no room for all lose rates before what is known of servers.
func TestCombineIsAssociative(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) Entry {
			return Entry{rapid.SampledFrom([]Kind{Demand, Open, Ready, Oldest}).Draw(t, "kind"), Subject(rapid.IntRange(1, 4).Draw(t, "subject")), float64(rapid.IntRange(0, 9).Draw(t, "value"))}
		})
		lists := rapid.SliceOfN(rapid.SliceOfN(entry, 0, 6), 1, 5).Draw(r, "lists")
		at := rapid.IntRange(0, len(lists)).Draw(r, "at")
		complete, _ := combine(lists...)
		left, _ := combine(lists[:at]...)
		right, _ := combine(lists[at:]...)
		if parts, _ := combine(right, left); !slices.Equal(parts, complete) {
			r.Fatalf("%v, and by %v and %v: %v", complete, left, right, parts)
		}
	})
	var many []Entry
	for i := range 2 * MostEntries {
		many = append(many, Entry{Demand, Subject(i + 1), float64(i)})
	}
	many = append(many, Entry{Ready, 7, 3})
	out, cut := combine(many)
	if len(out) != MostEntries || cut != len(many)-1-MostEntries || out[len(out)-1] != (Entry{Ready, 7, 3}) || out[0].Value != 22 {
		t.Errorf("%d entries, %d cut: %v", len(out), cut, out)
	}
}

// A hop counts as the time since the receiver's own token, less that for which the sender says it had it; with none, and
// with one that cannot be, nothing is taken.
func TestHopDelayIsBoundedByOwnToken(t *testing.T) {
	m := machine(t, 0, peer(0, 0), peer(1, 0), peer(2, 1))
	m.now = 10 * time.Second
	token := m.token(9 * time.Second)
	for _, c := range []struct {
		name string
		echo uint32
		held uint16
		most time.Duration
		ok   bool
	}{
		{"a second, of which it held it for 900 ms", token, 900, 104 * ms, true},
		{"not held at all", token, 0, 1004 * ms, true},
		{"held for longer than it was away", token, 1100, 0, false},
		{"none", 0, 0, 0, false},
		{"of another life", token - 1<<20, 0, 0, false},
		{"of the future", token + 5000, 0, 0, false},
	} {
		d, ok := m.hopDelay(Message{Echo: c.echo, Held: c.held})
		if ok != c.ok || d > c.most || ok && d < c.most-10*ms {
			t.Errorf("%s: %v, %v; want about %v, %v", c.name, d, ok, c.most, c.ok)
		}
	}
	row := Row{Place: peer(2, 1).Place, Author: Author{ID: 3}, Seq: 1, From: 1, Age: 300 * ms}
	m.Receive(m.now, Message{Kind: Down, From: 3, Token: 7, Rows: []Row{row}})
	if v := m.Read(m.now, row.Place, Demand, 1); v.Word != Unknown || m.Dropped.Unbounded != 1 {
		t.Errorf("%+v, %+v", v, m.Dropped)
	}
	m.Receive(m.now, Message{Kind: Down, From: 3, Token: 7, Echo: token, Held: 900, Rows: []Row{row}})
	v := m.Read(m.now, row.Place, Demand, 1)
	if v.Word != Fresh || v.Age < 400*ms || v.Age > 410*ms || v.From != 1 || v.Of != 1 || v.Amount != 0 {
		t.Errorf("%+v", v)
	}
	// The word goes with the age; what was never told of is unknown, and so is a page that never came.
	m.Tick(m.now + 1700*ms)
	if v = m.Read(m.now, row.Place, Demand, 1); v.Word != Stale || v.Since > m.now || v.Age < 2*time.Second {
		t.Errorf("%+v", v)
	}
	if v := m.Read(m.now, row.Place, Sent, 1); v.Word != Unknown || v.Of != 1 {
		t.Errorf("%+v", v)
	}
	if !m.Alone(m.now) {
		t.Error("with nothing fresh of anybody it is not alone")
	}
	m.Tick(m.now + 10*time.Second)
	if v = m.Read(m.now, row.Place, Demand, 1); v.Word != Unknown || m.Size() != 0 {
		t.Errorf("%+v, %d rows", v, m.Size())
	}
}

// What one mistaken peer can do is bounded: rows of an author that is not of their zone, of more nodes than there are, or in
// this node's own name are dropped, and so are parts of who is no child.
func TestRowsOfFaultyPeersAreDropped(t *testing.T) {
	m := machine(t, 0, peer(0, 0), peer(1, 0), peer(2, 1))
	m.now = time.Second
	echo := m.token(m.now)
	good := Row{Place: peer(2, 1).Place, Author: Author{ID: 3}, Seq: 1, From: 1}
	for name, change := range map[string]func(*Row){
		"foreign zone":   func(r *Row) { r.Place = peer(0, 0).Place },
		"unknown author": func(r *Row) { r.Author.ID = 99 },
		"own name":       func(r *Row) { r.Author.ID, r.Place = 1, peer(0, 0).Place },
		"too many nodes": func(r *Row) { r.From = 50 },
		"too old":        func(r *Row) { r.Age = time.Minute },
	} {
		r := good
		change(&r)
		before := m.Dropped
		if m.Receive(m.now, Message{Kind: Down, From: 2, Echo: echo, Rows: []Row{r}}); m.Dropped == before || m.Size() != 0 {
			t.Errorf("%s: %+v, %d rows", name, m.Dropped, m.Size())
		}
	}
	before := m.Dropped.Foreign
	if m.Receive(m.now, Message{Kind: Up, From: 3, Echo: echo, Rows: []Row{good}}); m.Dropped.Foreign != before+1 {
		t.Errorf("a part from another zone: %+v", m.Dropped)
	}
	if m.Receive(m.now, Message{Kind: Down, From: 77, Echo: echo, Rows: []Row{good}}); m.Size() != 0 {
		t.Error("a stranger's row was taken")
	}
}

// Every node but the root has one parent that counts it for a child, whoever is passed over.
func TestEachNodeHasOneParent(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n, fan := rapid.IntRange(1, 40).Draw(r, "nodes"), rapid.IntRange(1, 9).Draw(r, "fan")
		down := rapid.SliceOfN(rapid.Bool(), n, n).Draw(r, "passed over")
		var nodes []Peer
		for i := range n {
			nodes = append(nodes, peer(i, 0))
		}
		tr := newTree(nodes, uint8(rapid.IntRange(0, 1).Draw(r, "plane")))
		skip := func(p Peer) bool { return down[p.ID-1] }
		sons := map[uint64]int{}
		for i, p := range tr {
			if skip(p) {
				continue
			}
			kids := tr.children(i, fan, skip)
			if len(kids) > maxChildren {
				r.Fatalf("%d children", len(kids))
			}
			for _, c := range kids {
				sons[c.ID]++
				up, has := tr.parent(tr.index(c.ID), fan, skip)
				if !has || tr[up].ID != p.ID || skip(c) {
					r.Fatalf("%d counts %d for a child, whose parent is %d, %v", p.ID, c.ID, tr[up].ID, has)
				}
			}
		}
		for i, p := range tr {
			if _, has := tr.parent(i, fan, skip); !skip(p) && has && sons[p.ID] != 1 && n <= maxChildren {
				r.Fatalf("%d is the child of %d", p.ID, sons[p.ID])
			}
		}
	})
}

func TestOptionsOutOfRangeAreRejected(t *testing.T) {
	for _, change := range []func(*Options){func(o *Options) { o.Fresh = Least(o.Delay) - 1 }, func(o *Options) { o.Delay = 0 }, func(o *Options) { o.Fan = 0 }, func(o *Options) { o.Fan = 33 }} {
		o := Defaults(2 * time.Second)
		change(&o)
		if _, err := New(0, peer(0, 0), o, 1); err == nil {
			t.Errorf("%+v was taken", o)
		}
	}
	if _, err := New(0, Peer{}, Defaults(2*time.Second), 1); err == nil {
		t.Error("a node without an ID was taken")
	}
}

// seeds are messages of each kind.
func seeds() (out [][]byte) {
	row := Row{Place: 1 << 31, Plane: 1, Page: 1, Author: Author{1, 2}, Seq: 3, Age: 4 * ms, From: 5, Entries: []Entry{{Sent, 6, 7.5}, {Lag, 8, 1e-9}}}
	for _, m := range []Message{{Kind: Up, From: 1, Rows: []Row{row}}, {Kind: Down, From: 2, Token: 1, Echo: 2, Held: 3, Rows: []Row{row, {Author: Author{ID: 9}, Age: maxAge + 1, From: 1 << 20}}},
		{Kind: Tell, From: 3}, {Kind: Query, From: 4, Wants: []Want{{1, time.Second}, {2, time.Hour * 99}}}} {
		out = append(out, Append(nil, m))
	}
	return out
}

func FuzzParse(f *testing.F) {
	for _, b := range seeds() {
		f.Add(b)
		f.Add(b[:len(b)-1])
	}
	f.Add([]byte{Version + 1, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Parse(b)
		if err != nil {
			if !reflect.DeepEqual(m, Message{}) {
				t.Error("something of a malformed message")
			}
			return
		}
		if got := Append(nil, m); string(got) != string(b) {
			t.Errorf("%x is written as %x", b, got)
		}
		k := machine(t, 0, peer(0, 0), peer(1, 0), peer(2, 1))
		k.Receive(time.Second, m)
	})
}

// Ages are rounded up and amounts kept to seven digits; what is as long as may be fits.
func TestAgesRoundUpAndMessagesFit(t *testing.T) {
	var entries []Entry
	for i := range MostEntries {
		entries = append(entries, Entry{Demand, Subject(i), 1000.0 / 3})
	}
	m := Message{Kind: Down, From: 1, Rows: []Row{{Author: Author{ID: 1}, Age: 1500*time.Microsecond + 1, Entries: entries}}}
	b := Append(nil, m)
	got, err := Parse(b)
	if err != nil || len(b) > MaxMessage || got.Rows[0].Age != 2*ms || math.Abs(got.Rows[0].Entries[3].Value-1000.0/3) > 0.0001 {
		t.Errorf("%d bytes, %v: %+v", len(b), err, got)
	}
}

func BenchmarkReceiveRow(b *testing.B) {
	var all []Peer
	for i := range 300 {
		all = append(all, peer(i, i%6))
	}
	m := machine(b, 0, all...)
	row := Row{Place: peer(1, 1).Place, From: 50}
	for i := range 10 {
		row.Entries = append(row.Entries, Entry{Demand, Subject(i), 1})
	}
	for i := range 300 {
		m.links[uint64(i)+1] = &link{}
	}
	row.Author.ID = m.view.trees[row.Place][0][0].ID
	now := time.Second
	for b.Loop() {
		now += ms
		row.Seq++
		m.Receive(now, Message{Kind: Down, From: row.Author.ID, Echo: m.token(now), Rows: []Row{row}})
	}
}

func BenchmarkNewView(b *testing.B) {
	var all []Peer
	for i := range 300 {
		all = append(all, peer(i, i%6))
	}
	for b.Loop() {
		NewView(all)
	}
}
