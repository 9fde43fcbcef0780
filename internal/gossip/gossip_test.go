package gossip

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/membership"
	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/zonestate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// open opens a room on loopback that knows of seeds.
func open(t *testing.T, name, key string, seeds ...netip.AddrPort) *Transport {
	return openWith(t, name, key, nil, seeds...)
}

func openWith(t *testing.T, name, key string, told *zonestate.Options, seeds ...netip.AddrPort) *Transport {
	t.Helper()
	o := membership.Defaults()
	o.Period, o.Timeout, o.Seeds = 50*time.Millisecond, 15*time.Millisecond, seeds
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}) // a port of which the room can tell before it opens
	if err != nil {
		t.Fatal(err)
	}
	at := free.LocalAddr().String()
	free.Close()
	r, err := Open(Options{Self: membership.Peer{Name: name, Addr: netip.MustParseAddrPort(at), Zone: "z"}, Listen: at, Key: []byte(key), Members: o, ZoneState: told,
		Clock: clock.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// run runs a room until the test's end, or until stop.
func run(t *testing.T, r *Transport) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go r.Run(ctx)
	testpeer.Receive(t, r.started, "its start")
	stop = func() {
		cancel()
		testpeer.Receive(t, r.done, "its end")
	}
	t.Cleanup(stop)
	return stop
}

// status is what a room holds of another, by name.
func status(r *Transport, name string) string {
	for _, m := range r.Status().Members {
		if m.Name == name {
			return m.Status
		}
	}
	return ""
}

// Three rooms that know one of them come to know all; who leaves says so. One of another key is not heard, and neither is
// what is no datagram of theirs.
func TestTransportsDiscoverEachOther(t *testing.T) {
	const key = "a key of sixteen bytes or more"
	a := open(t, "a", key)
	b, c := open(t, "b", key, a.Addr()), open(t, "c", key, a.Addr())
	other := open(t, "other", "a key of another cluster", a.Addr())
	var stop func()
	for _, r := range []*Transport{a, b, c, other} {
		stopped := run(t, r)
		if r == c {
			stop = stopped
		}
	}
	for _, pair := range []struct {
		r    *Transport
		name string
	}{{a, "b"}, {a, "c"}, {b, "a"}, {b, "c"}, {c, "a"}, {c, "b"}} {
		testpeer.Until(t, pair.name+" is alive for the others", func() bool { return status(pair.r, pair.name) == "alive" })
	}
	testpeer.Until(t, "the strange datagrams are counted", func() bool { return a.Status().Counts.Strange > 0 })
	if got := status(a, "other"); got != "" || len(other.Status().Members) > 0 {
		t.Errorf("another cluster's room is held for %q, and knows %+v", got, other.Status().Members)
	}
	nc, err := net.Dial("udp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fmt.Fprint(nc, strings.Repeat("x", 400))
	testpeer.Until(t, "the malformed datagram is counted", func() bool { return a.Status().Counts.Malformed > 0 })
	stop()
	testpeer.Until(t, "the one that left has left for the others", func() bool { return status(a, "c") == "left" && status(b, "c") == "left" })
	if s := c.Status(); len(s.Members) != 0 {
		t.Errorf("a room that has ended tells %+v", s)
	}
}

// A room never sends beyond its pace, whatever its machine wants.
func TestSendRateIsBounded(t *testing.T) {
	r := open(t, "a", "a key of sixteen bytes or more")
	defer r.Close()
	var packets []membership.Packet
	for range 3000 {
		packets = append(packets, membership.Packet{To: r.Addr(), Message: membership.Message{Kind: membership.Ping, From: 1}})
	}
	r.budgetAt = r.options.Clock.Now()
	r.sendBudget = maxOutgoing
	r.send(packets)
	size := int64(len(membership.Encode(packets[0].Message, r.options.Key)))
	if sent := r.counts.Sent * size; r.counts.Paced == 0 || sent < maxOutgoing/2 || r.counts.Sent+r.counts.Paced != 3000 {
		t.Errorf("%d bytes went out of %d allowed at once, %d datagrams were held back", sent, maxOutgoing, r.counts.Paced)
	}
}

func TestInvalidKeysAndAddresses(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"short": "  short \n", "long": strings.Repeat("k", maxKeySize+1), "good": " sixteen bytes at least\n"} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		key, err := LoadKey(path)
		if (err == nil) != (name == "good") || err == nil && string(key) != "sixteen bytes at least" {
			t.Errorf("%s: %q, %v", name, key, err)
		}
		if err != nil && !strings.Contains(err.Error(), path) {
			t.Errorf("%v does not name the file", err)
		}
	}
	if _, err := LoadKey(filepath.Join(dir, "none")); err == nil {
		t.Error("a key was read from no file")
	}
	taken := open(t, "a", "a key of sixteen bytes or more")
	defer taken.Close()
	if _, err := Open(Options{Self: taken.options.Self, Listen: taken.Addr().String(), Key: taken.options.Key, Members: taken.options.Members, Clock: taken.options.Clock, Log: taken.options.Log}); err == nil {
		t.Error("an address that is taken was taken again")
	}
}

// Rooms that tell one another of zones stand beside one that knows of no such thing, as an older build: it counts what it
// does not understand, all live for all, and the others know of one another's parts.
func TestZoneStateBesidePeerWithout(t *testing.T) {
	const key = "a key of sixteen bytes or more"
	o := zonestate.Defaults(2 * time.Second)
	a := openWith(t, "a", key, &o)
	b, c, old := openWith(t, "b", key, &o, a.Addr()), openWith(t, "c", key, &o, a.Addr()), open(t, "old", key, a.Addr())
	told := Seen{Entries: []zonestate.Entry{{Kind: zonestate.Demand, Subject: 5, Value: 1.5}}, Names: map[zonestate.Subject]string{5: "view"}}
	for _, r := range []*Transport{a, b, c, old} {
		run(t, r)
	}
	sum := func(r *Transport) (amount float64, from int) {
		r.PublishLoad(told)
		f := r.Status().ZoneState
		if f == nil || f.Alone {
			return 0, 0
		}
		for _, z := range f.Zones {
			for _, x := range z.Told {
				if x.What == "demand" && x.Of == "view" && z.Word == "fresh" {
					return x.Amount, x.From
				}
			}
		}
		return 0, 0
	}
	for _, r := range []*Transport{a, b, c} {
		testpeer.Until(t, "three parts to be known", func() bool {
			for _, other := range []*Transport{a, b, c} {
				other.PublishLoad(told)
			}
			amount, from := sum(r)
			return amount == 4.5 && from == 3
		})
	}
	testpeer.Until(t, "the older one to have counted", func() bool { return old.Status().Counts.Other > 0 && old.Status().ZoneState == nil })
	for _, r := range []*Transport{a, b, c} {
		if got := status(r, "old"); got != "alive" {
			t.Errorf("the older one is %s", got)
		}
	}
	nc, err := net.Dial("udp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	before := a.Status().Counts
	nc.Write(membership.Seal([]byte{zonestate.Version, 1, 2, 3}, []byte(key)))
	nc.Write(membership.Seal(append([]byte{zonestate.Version}, make([]byte, 30)...), []byte("a key of another cluster")))
	testpeer.Until(t, "the malformed and the strange one to be counted", func() bool {
		is := a.Status().Counts
		return is.Malformed > before.Malformed && is.Strange > before.Strange
	})
}
