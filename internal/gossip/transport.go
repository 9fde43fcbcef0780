// Package gossip is the transport of datagrams between nodes: a UDP socket, the cluster's key, and a bound on the bytes sent. It
// drives the state machines of internal/membership and internal/zonestate, which decide what is sent, and it publishes and
// logs what they hold.
//
// It promises that datagrams of another key change nothing, that at most maxOutgoing bytes a second are sent, and that no
// method but Run blocks for longer than the loop of Run takes for one event. A datagram that can't be sent or read counts
// as lost.
package gossip

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/membership"
	"damsontrestle/internal/zonestate"
)

// maxQueuedDatagrams is how many datagrams may wait for the loop of Run. What comes beyond is dropped.
const maxQueuedDatagrams = 256

// Options are the parameters of a Transport.
type Options struct {
	Self       membership.Peer
	Listen     string             // address of the UDP socket
	Key        []byte             // of the cluster, as LoadKey returns it
	Membership membership.Options // of the membership protocol
	ZoneState  *zonestate.Options // nil: zone state is neither sent nor received
	Clock      clock.Clock
	Log        *slog.Logger
}

// Transport carries the gossip of one node. Its state belongs to the goroutine of Run, but for the channels, the atomics and
// what never changes.
type Transport struct {
	options  Options
	conn     packetConn
	machine  *membership.Machine
	exchange *exchange // nil: Options.ZoneState was

	loads          chan Load        // from PublishLoad
	incoming       chan datagram    // from read
	statusRequests chan chan Status // from Status
	started        chan struct{}    // closed when Run begins
	done           chan struct{}    // closed when Run ends
	active         atomic.Pointer[[]membership.Peer]
	overruns       atomic.Int64 // datagrams that the loop had no time for

	loggedStatus  map[string]membership.Status // by name, as it was logged last
	loggedChanges int                          // Changes of the membership when it was logged last
	counts        Counts
	failures      sendFailures

	sendBudget float64       // bytes that may be sent
	budgetAt   time.Duration // when sendBudget was computed
}

// packetConn is what a Transport needs of a net.UDPConn.
type packetConn interface {
	ReadFromUDPAddrPort(p []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(p []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Open opens the socket. Nothing is sent before Run.
func Open(options Options) (*Transport, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("gossip: seed: %w", err)
	}
	seed := binary.LittleEndian.Uint64(random[:])
	machine, err := membership.New(options.Self, options.Membership, seed)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	var x *exchange
	if options.ZoneState != nil {
		id, _ := machine.Self()
		x, err = newExchange(options, id, seed+1)
		if err != nil {
			return nil, fmt.Errorf("gossip: %w", err)
		}
	}
	addr, err := net.ResolveUDPAddr("udp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: address: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return &Transport{
		options:        options,
		conn:           conn,
		machine:        machine,
		exchange:       x,
		loads:          make(chan Load, 1),
		incoming:       make(chan datagram, maxQueuedDatagrams),
		statusRequests: make(chan chan Status),
		started:        make(chan struct{}),
		done:           make(chan struct{}),
		loggedStatus:   map[string]membership.Status{},
		loggedChanges:  -1,
	}, nil
}

// Addr returns the address of the socket.
func (t *Transport) Addr() netip.AddrPort { return t.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run takes part in the gossip until ctx ends, and then announces that the node leaves. It is called once.
func (t *Transport) Run(ctx context.Context) {
	close(t.started)
	defer close(t.done)
	defer t.conn.Close()
	go t.read(t.conn)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			t.send(t.machine.Leave(t.options.Clock.Now()))
			return
		case d := <-t.incoming:
			t.receive(d)
		case reply := <-t.statusRequests:
			reply <- t.status()
		case load := <-t.loads:
			t.setLoad(load)
		case <-timer.C:
			t.tick()
		}
		t.publishMembers()
		t.updateView()
		timer.Reset(max(0, t.options.Clock.Until(t.nextTick())))
	}
}

// nextTick returns the time at which tick is due.
func (t *Transport) nextTick() time.Duration {
	if t.exchange == nil {
		return t.machine.Next()
	}
	return min(t.machine.Next(), t.exchange.machine.Next())
}

// tick has the machines do what is due.
func (t *Transport) tick() {
	now := t.options.Clock.Now()
	if t.machine.Next() <= now {
		t.send(t.machine.Tick(now))
	}
	if x := t.exchange; x != nil && x.machine.Next() <= t.options.Clock.Now() {
		t.updateView()
		t.sendZoneState(x.machine.Tick(t.options.Clock.Now()))
		t.logZones()
	}
}

// Close closes a transport that was not run. One that runs ends with its context; then Close waits for that.
func (t *Transport) Close() {
	select {
	case <-t.started:
		<-t.done
	default:
		t.conn.Close()
	}
}
