// Package gossip is the one room that carries datagrams between nodes: a UDP socket, the cluster's key, and a bound on what
// goes out. It decides nothing: who lives is internal/membership', and what nodes tell one another is internal/zonestate'.
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

// Options are what a Room is made of.
type Options struct {
	Self      membership.Peer
	Listen    string // address of the UDP socket
	Key       []byte
	Members   membership.Options
	ZoneState *zonestate.Options // nil: no facts are told, and none are taken
	Clock     clock.Clock
	Log       *slog.Logger
}

// Transport is one node's.
type Transport struct {
	options        Options
	conn           packetConn
	machine        *membership.Machine
	exchange       *exchange // nil: none
	loads          chan Seen
	incoming       chan datagram
	statusRequests chan chan Status
	done           chan struct{}
	started        chan struct{}
	active         atomic.Pointer[[]membership.Peer]
	loggedStatus   map[string]membership.Status // as was logged last
	loggedChanges  int                          // changes of the membership that were
	counts         Counts
	overruns       atomic.Int64
	sendBudget     float64 // bytes that may go out
	budgetAt       time.Duration
	failures       sendFailures
}

// packetConn are what a Room needs of a net.UDPConn.
type packetConn interface {
	ReadFromUDPAddrPort(p []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(p []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Open opens the socket. Nothing goes out before Run.
func Open(o Options) (*Transport, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	m, err := membership.New(o.Self, o.Members, binary.LittleEndian.Uint64(seed[:]))
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	addr, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	t := &Transport{options: o, conn: conn, machine: m, loads: make(chan Seen, 1), incoming: make(chan datagram, 256), statusRequests: make(chan chan Status), done: make(chan struct{}),
		started: make(chan struct{}), loggedStatus: map[string]membership.Status{}, loggedChanges: -1}
	if o.ZoneState != nil {
		id, _ := m.Self()
		if t.exchange, err = newExchange(o, id, binary.LittleEndian.Uint64(seed[:])+1); err != nil {
			conn.Close()
			return nil, fmt.Errorf("gossip: %w", err)
		}
	}
	return t, nil
}

// Addr is where it listens.
func (t *Transport) Addr() netip.AddrPort { return t.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run takes part until ctx ends, and then says goodbye.
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
		case l := <-t.incoming:
			t.receive(l)
		case to := <-t.statusRequests:
			to <- t.status()
		case s := <-t.loads:
			t.setLoad(s)
		case <-timer.C:
			t.tick()
		}
		t.publishMembers()
		t.updateView()
		timer.Reset(max(0, t.options.Clock.Until(t.next())))
	}
}

// next is when tick is due.
func (t *Transport) next() time.Duration {
	if t.exchange == nil {
		return t.machine.Next()
	}
	return min(t.machine.Next(), t.exchange.machine.Next())
}

func (t *Transport) tick() {
	if now := t.options.Clock.Now(); t.machine.Next() <= now {
		t.send(t.machine.Tick(now))
	}
	if x := t.exchange; x != nil && x.machine.Next() <= t.options.Clock.Now() {
		t.updateView()
		t.sendZoneState(x.machine.Tick(t.options.Clock.Now()))
		t.logZones()
	}
}

// Close closes a room that was not run; one that runs ends with its context.
func (t *Transport) Close() {
	select {
	case <-t.started:
		<-t.done
	default:
		t.conn.Close()
	}
}
