package membership

import (
	"errors"
	"net/netip"
	"reflect"
	"strings"
	"testing"
)

var testKey = []byte("a key of the cluster")

// largestMessage returns a message that uses every field.
func largestMessage() Message {
	long := Peer{Name: strings.Repeat("n", MaxName), Region: strings.Repeat("r", MaxZoneName), Zone: strings.Repeat("z", MaxZoneName),
		Addr: netip.MustParseAddrPort("[2001:db8::1]:65535"), ListenOnly: true}
	short := Peer{Name: "a", Addr: netip.MustParseAddrPort("10.1.2.3:7946")}
	m := Message{Kind: Ack, From: IDOf("me"), Seq: 1 << 31, MemberID: 7, Digest: 1 << 63, Updates: []Update{
		{ID: IDOf(long.Name), Incarnation: 1<<31 - 1, Status: Suspect, Suspector: IDOf("a"), Peer: &long},
		{ID: IDOf("a"), Incarnation: 3, Status: Left, Peer: &short},
		{ID: 5, Status: Dead}, {ID: 6, Incarnation: 1}}}
	return m
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	m := largestMessage()
	b := Encode(m, testKey)
	got, err := Decode(b, testKey)
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("Decode(Encode(m)) = %+v, %v; want %+v", got, err, m)
	}
	updateBytes := 0
	for _, u := range m.Updates {
		updateBytes += updateSize(u)
	}
	if len(b) != headSize+updateBytes+tagSize || headSize+MaxUpdateBytes+tagSize > MaxDatagram {
		t.Errorf("datagram has %d bytes with %d bytes of updates; maximum datagram is %d", len(b), updateBytes, headSize+MaxUpdateBytes+tagSize)
	}
}

// A datagram with the key of another cluster, of another version, truncated, with a flipped bit, or with an update of one
// member under another member's ID is rejected completely.
func TestMalformedDatagramsAreRejected(t *testing.T) {
	good := Encode(largestMessage(), testKey)
	if _, err := Decode(good, []byte("another key")); !errors.Is(err, ErrKey) {
		t.Errorf("Decode with another cluster's key: %v", err)
	}
	for i := range good {
		bad := append([]byte(nil), good...)
		bad[i] ^= 0x10
		if m, err := Decode(bad, testKey); err == nil || m.Kind != 0 {
			t.Errorf("Decode with a flipped bit in byte %d: %+v, %v", i, m, err)
		}
		if m, err := Decode(good[:i], testKey); err == nil || m.Kind != 0 {
			t.Errorf("Decode of %d bytes: %+v, %v", i, m, err)
		}
	}
	resign := func(change func([]byte)) []byte {
		body := append([]byte(nil), good[:len(good)-tagSize]...)
		change(body)
		return append(body, tag(body, testKey)...)
	}
	if _, err := Decode(resign(func(b []byte) { b[0] = version + 1 }), testKey); !errors.Is(err, ErrVersion) {
		t.Errorf("Decode of another version: %v", err)
	}
	for name, change := range map[string]func([]byte){
		"unknown kind":         func(b []byte) { b[1] = 9 },
		"zero sender ID":       func(b []byte) { copy(b[2:10], make([]byte, 8)) },
		"another member's ID":  func(b []byte) { b[headSize] ^= 1 },
		"unknown flag":         func(b []byte) { b[headSize+12] |= 0x80 },
		"incarnation too high": func(b []byte) { b[headSize+8] = 0xff },
		"name too long":        func(b []byte) { b[headSize+21] = 200 },
	} {
		if m, err := Decode(resign(change), testKey); !errors.Is(err, ErrMalformed) || m.Kind != 0 {
			t.Errorf("%s: Decode = %+v, %v; want ErrMalformed", name, m, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	good := Encode(largestMessage(), testKey)
	f.Add(good[:len(good)-tagSize])
	f.Add(Encode(Message{Kind: Ping, From: 1}, testKey)[:headSize])
	f.Fuzz(func(t *testing.T, body []byte) {
		b := append(append([]byte(nil), body...), tag(body, testKey)...) // a datagram that a peer with the key could send
		m, err := Decode(b, testKey)
		if err != nil {
			return
		}
		if encoded := Encode(m, testKey); string(encoded) != string(b) {
			t.Errorf("Decode(%x) = %+v, which is encoded as %x", b, m, encoded)
		}
	})
}
