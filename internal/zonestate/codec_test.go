package zonestate

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// seeds returns a message of each kind as a datagram.
func seeds() (out [][]byte) {
	row := Row{
		Place:   1 << 31,
		Plane:   1,
		Page:    1,
		Author:  Author{1, 2},
		Seq:     3,
		Age:     4 * ms,
		From:    5,
		Entries: []Entry{{Sent, 6, 7.5}, {Lag, 8, 1e-9}},
	}
	outOfBounds := Row{Author: Author{ID: 9}, Age: maxAge + 1, From: 1 << 20}
	for _, m := range []Message{
		{Kind: Up, From: 1, Rows: []Row{row}},
		{Kind: Down, From: 2, Token: 1, Echo: 2, Held: 3, Rows: []Row{row, outOfBounds}},
		{Kind: Reply, From: 3},
		{Kind: Query, From: 4, Wants: []Want{{1, time.Second}, {2, time.Hour * 99}}},
	} {
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
				t.Error("a malformed message is returned in part")
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

// Ages are rounded up, values keep seven digits, and the longest row fits into a message.
func TestAgesRoundUpAndMessagesFit(t *testing.T) {
	var entries []Entry
	for i := range MaxEntries {
		entries = append(entries, Entry{Demand, Subject(i), 1000.0 / 3})
	}
	m := Message{Kind: Down, From: 1, Rows: []Row{{Author: Author{ID: 1}, Age: 1500*time.Microsecond + 1, Entries: entries}}}
	b := Append(nil, m)
	got, err := Parse(b)
	if err != nil || len(b) > MaxMessage || got.Rows[0].Age != 2*ms || math.Abs(got.Rows[0].Entries[3].Value-1000.0/3) > 0.0001 {
		t.Errorf("%d bytes, %v: %+v", len(b), err, got)
	}
}
