// Package gossip transports datagrams between nodes. It owns the UDP socket, the cluster's key and a limit on the bytes sent. It
// drives the state machines of internal/membership and internal/zonestate, which decide what is sent, and publishes and logs their
// state.
//
// It guarantees that datagrams of another key have no effect, that at most maxSendRate bytes per second are sent, and that no method
// except Run blocks for longer than the loop of Run takes for one event. A datagram that can't be sent or read counts as lost.
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

// maxQueuedDatagrams is the maximum number of datagrams that wait for the loop of Run. Further ones are dropped.
const maxQueuedDatagrams = 256

// Options are the parameters of a Transport.
type Options struct {
	Self       membership.Peer
	Listen     string             // address of the UDP socket
	Key        []byte             // key of the cluster, as returned by LoadKey
	Membership membership.Options // options of the membership protocol
	ZoneState  *zonestate.Options // nil disables zone state
	Clock      clock.Clock
	Log        *slog.Logger
}

// Transport sends and receives the gossip of one node. Only the goroutine of Run accesses its state, except for channels, atomics and
// fields that never change.
type Transport struct {
	options  Options
	conn     packetConn
	machine  *membership.Machine
	exchange *exchange // nil if Options.ZoneState is

	loads          chan Load        // from PublishLoad
	incoming       chan datagram    // from read
	statusRequests chan chan Status // from Status
	started        chan struct{}    // closed when Run starts
	done           chan struct{}    // closed when Run ends
	active         atomic.Pointer[[]membership.Peer]
	queueFull      atomic.Int64 // datagrams dropped because the queue was full

	loggedStatus     map[string]membership.Status // last logged status, by name
	publishedChanges int                          // value of machine.Changes when members were last published; -1: not yet
	counts           Counts
	failures         sendFailures

	sendBudget      float64       // bytes that may be sent now
	budgetUpdatedAt time.Duration // clock time when sendBudget was computed
}

// packetConn is the subset of net.UDPConn that a Transport uses.
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
		return nil, fmt.Errorf("gossip: generating seed: %w", err)
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
		return nil, fmt.Errorf("gossip: resolving listen address: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return &Transport{
		options:          options,
		conn:             conn,
		machine:          machine,
		exchange:         x,
		loads:            make(chan Load, 1),
		incoming:         make(chan datagram, maxQueuedDatagrams),
		statusRequests:   make(chan chan Status),
		started:          make(chan struct{}),
		done:             make(chan struct{}),
		loggedStatus:     map[string]membership.Status{},
		publishedChanges: -1,
	}, nil
}

// Addr returns the address of the socket.
func (t *Transport) Addr() netip.AddrPort { return t.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run takes part in the gossip until ctx ends, and then announces that the node leaves. It must be called at most once.
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

// tick runs the timers of the state machines that are due.
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

// Close closes a transport that was not run. For one that runs, it waits until Run has ended, after its context has been cancelled.
func (t *Transport) Close() {
	select {
	case <-t.started:
		<-t.done
	default:
		t.conn.Close()
	}
}
