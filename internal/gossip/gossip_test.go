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

// open opens a transport on loopback with seeds, without zone state.
func open(t *testing.T, name, key string, seeds ...netip.AddrPort) *Transport {
	return openWith(t, name, key, nil, seeds...)
}

// openWith opens a transport on loopback with seeds, and with zone state if its options are not nil.
func openWith(t *testing.T, name, key string, zoneState *zonestate.Options, seeds ...netip.AddrPort) *Transport {
	t.Helper()
	members := membership.Defaults()
	members.ProbeInterval = 50 * time.Millisecond
	members.ProbeTimeout = 15 * time.Millisecond
	members.Seeds = seeds
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}) // find a free port, as Options.Self must contain it
	if err != nil {
		t.Fatal(err)
	}
	addr := free.LocalAddr().String()
	free.Close()
	transport, err := Open(Options{
		Self:       membership.Peer{Name: name, Addr: netip.MustParseAddrPort(addr), Zone: "z"},
		Listen:     addr,
		Key:        []byte(key),
		Membership: members,
		ZoneState:  zoneState,
		Clock:      clock.New(),
		Log:        slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return transport
}

// run runs a transport until stop is called or the test ends.
func run(t *testing.T, transport *Transport) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go transport.Run(ctx)
	testpeer.Receive(t, transport.started, "the start of Run")
	stop = func() {
		cancel()
		testpeer.Receive(t, transport.done, "the end of Run")
	}
	t.Cleanup(stop)
	return stop
}

// memberStatus returns the status of a node at a transport, or an empty string if the node is unknown there.
func memberStatus(transport *Transport, name string) string {
	for _, m := range transport.Status().Members {
		if m.Name == name {
			return m.Status
		}
	}
	return ""
}

// Three transports with one seed discover each other, and one that leaves announces it. Datagrams of another key and malformed ones
// are counted and have no effect.
func TestTransportsDiscoverEachOther(t *testing.T) {
	const key = "a key of sixteen bytes or more"
	a := open(t, "a", key)
	b := open(t, "b", key, a.Addr())
	c := open(t, "c", key, a.Addr())
	other := open(t, "other", "a key of another cluster", a.Addr())
	var stop func()
	for _, transport := range []*Transport{a, b, c, other} {
		stopped := run(t, transport)
		if transport == c {
			stop = stopped
		}
	}
	for _, pair := range []struct {
		r    *Transport
		name string
	}{{a, "b"}, {a, "c"}, {b, "a"}, {b, "c"}, {c, "a"}, {c, "b"}} {
		testpeer.Until(t, pair.name+" to be alive for the others", func() bool { return memberStatus(pair.r, pair.name) == "alive" })
	}
	testpeer.Until(t, "datagrams of another key to be counted", func() bool { return a.Status().Counts.WrongKey > 0 })
	if got := memberStatus(a, "other"); got != "" || len(other.Status().Members) > 0 {
		t.Errorf("a node of another cluster has status %q and members %+v, want none", got, other.Status().Members)
	}
	nc, err := net.Dial("udp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fmt.Fprint(nc, strings.Repeat("x", 400))
	testpeer.Until(t, "the malformed datagram to be counted", func() bool { return a.Status().Counts.Malformed > 0 })
	stop()
	testpeer.Until(t, "node c to have left for the others", func() bool { return memberStatus(a, "c") == "left" && memberStatus(b, "c") == "left" })
	if s := c.Status(); len(s.Members) != 0 {
		t.Errorf("the status after the end of Run is %+v, want no members", s)
	}
}

// A transport never exceeds its send budget, however much its state machine sends.
func TestSendRateIsBounded(t *testing.T) {
	transport := open(t, "a", "a key of sixteen bytes or more")
	defer transport.Close()
	var packets []membership.Packet
	for range 3000 {
		packets = append(packets, membership.Packet{To: transport.Addr(), Message: membership.Message{Kind: membership.Ping, From: 1}})
	}
	transport.budgetUpdatedAt = transport.options.Clock.Now()
	transport.sendBudget = maxSendRate
	transport.send(packets)
	size := int64(len(membership.Encode(packets[0].Message, transport.options.Key)))
	if sent := transport.counts.Sent * size; transport.counts.RateLimited == 0 || sent < maxSendRate/2 || transport.counts.Sent+transport.counts.RateLimited != 3000 {
		t.Errorf("%d bytes were sent with a burst of %d, and %d of 3000 datagrams were dropped", sent, maxSendRate, transport.counts.RateLimited)
	}
}

func TestInvalidKeysAndAddressInUseAreErrors(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"short": "  short \n",
		"long":  strings.Repeat("k", maxKeySize+1),
		"good":  " sixteen bytes at least\n",
	} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		key, err := LoadKey(path)
		if (err == nil) != (name == "good") || err == nil && string(key) != "sixteen bytes at least" {
			t.Errorf("%s: LoadKey returned %q, %v", name, key, err)
		}
		if err != nil && !strings.Contains(err.Error(), path) {
			t.Errorf("error %q does not name the file", err)
		}
	}
	if _, err := LoadKey(filepath.Join(dir, "none")); err == nil {
		t.Error("LoadKey of a missing file returned no error")
	}
	taken := open(t, "a", "a key of sixteen bytes or more")
	defer taken.Close()
	again := taken.options
	again.Listen = taken.Addr().String()
	if _, err := Open(again); err == nil {
		t.Error("Open with an address in use returned no error")
	}
}

// Transports that exchange zone state run beside one that does not support it, such as an older build. That one counts the messages
// as unsupported, all nodes are alive for each other, and the other transports have each other's parts.
func TestZoneStateExchangeBesidePeerWithoutIt(t *testing.T) {
	const key = "a key of sixteen bytes or more"
	options := zonestate.Defaults(2 * time.Second)
	a := openWith(t, "a", key, &options)
	b := openWith(t, "b", key, &options, a.Addr())
	c := openWith(t, "c", key, &options, a.Addr())
	withoutZoneState := open(t, "old", key, a.Addr())
	load := Load{Entries: []zonestate.Entry{{Kind: zonestate.Demand, Subject: 5, Value: 1.5}}, Names: map[zonestate.Subject]string{5: "view"}}
	for _, transport := range []*Transport{a, b, c, withoutZoneState} {
		run(t, transport)
	}
	demandSum := func(transport *Transport) (amount float64, from int) {
		transport.PublishLoad(load)
		zoneState := transport.Status().ZoneState
		if zoneState == nil || zoneState.Isolated {
			return 0, 0
		}
		for _, z := range zoneState.Zones {
			for _, report := range z.Reports {
				if report.Kind == "demand" && report.Subject == "view" && z.Freshness == "fresh" {
					return report.Value, report.PartCount
				}
			}
		}
		return 0, 0
	}
	for _, transport := range []*Transport{a, b, c} {
		testpeer.Until(t, "the sum of three parts", func() bool {
			for _, other := range []*Transport{a, b, c} {
				other.PublishLoad(load)
			}
			amount, from := demandSum(transport)
			return amount == 4.5 && from == 3
		})
	}
	testpeer.Until(t, "the node without zone state to count unsupported messages", func() bool {
		return withoutZoneState.Status().Counts.Unsupported > 0 && withoutZoneState.Status().ZoneState == nil
	})
	for _, transport := range []*Transport{a, b, c} {
		if got := memberStatus(transport, "old"); got != "alive" {
			t.Errorf("the node without zone state has status %s, want alive", got)
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
	testpeer.Until(t, "the malformed datagram and the one of another key to be counted", func() bool {
		counts := a.Status().Counts
		return counts.Malformed > before.Malformed && counts.WrongKey > before.WrongKey
	})
}
