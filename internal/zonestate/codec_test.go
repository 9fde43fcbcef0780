package zonestate

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// encodedMessages returns an encoded message of each kind.
func encodedMessages() (out [][]byte) {
	row := Row{
		ZoneID:    1 << 31,
		Plane:     1,
		Page:      1,
		Author:    Author{1, 2},
		Seq:       3,
		Age:       4 * ms,
		PartCount: 5,
		Entries:   []Entry{{Attempts, 6, 7.5}, {AttemptTime, 8, 1e-9}},
	}
	outOfBounds := Row{Author: Author{ID: 9}, Age: maxAge + 1, PartCount: 1 << 20}
	for _, m := range []Message{
		{Kind: PartUpdate, From: 1, Rows: []Row{row}},
		{Kind: RowUpdate, From: 2, Token: 1, Echo: 2, HeldMillis: 3, Rows: []Row{row, outOfBounds}},
		{Kind: Reply, From: 3},
		{Kind: Query, From: 4, ZoneQueries: []ZoneQuery{{1, time.Second}, {2, time.Hour * 99}}},
	} {
		out = append(out, Append(nil, m))
	}
	return out
}

func FuzzParse(f *testing.F) {
	for _, b := range encodedMessages() {
		f.Add(b)
		f.Add(b[:len(b)-1])
	}
	f.Add([]byte{Version + 1, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Parse(b)
		if err != nil {
			if !reflect.DeepEqual(m, Message{}) {
				t.Error("Parse returned an error together with a non-zero message")
			}
			return
		}
		if got := Append(nil, m); string(got) != string(b) {
			t.Errorf("Append(Parse(%x)) = %x", b, got)
		}
		machine := newTestMachine(t, 0, testPeer(0, 0), testPeer(1, 0), testPeer(2, 1))
		machine.Receive(time.Second, m)
	})
}

// Ages are rounded up, values keep seven digits, and a row with MaxEntries entries fits into a message.
func TestAgesRoundUpAndMessagesFit(t *testing.T) {
	var entries []Entry
	for i := range MaxEntries {
		entries = append(entries, Entry{Demand, Subject(i), 1000.0 / 3})
	}
	m := Message{Kind: RowUpdate, From: 1, Rows: []Row{{Author: Author{ID: 1}, Age: 1500*time.Microsecond + 1, Entries: entries}}}
	b := Append(nil, m)
	got, err := Parse(b)
	if err != nil || len(b) > MaxMessage || got.Rows[0].Age != 2*ms || math.Abs(got.Rows[0].Entries[3].Value-1000.0/3) > 0.0001 {
		t.Errorf("message of %d bytes: Parse error %v, message %+v", len(b), err, got)
	}
}
