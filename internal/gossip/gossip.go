// Package gossip is the one room that carries datagrams between nodes: a UDP socket, the cluster's key, and a bound on what
// goes out. It decides nothing: who lives is internal/membership', and what nodes tell one another is internal/zonestate'.
package gossip

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/membership"
	"damsontrestle/internal/zonestate"
)

// Bounds of a key's file.
const (
	minKeySize = 16
	maxKeySize = 4 << 10
)

// LoadKey reads a cluster's key: what the file holds without white space round it.
func LoadKey(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("gossip: the key: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxKeySize+1))
	if err != nil {
		return nil, fmt.Errorf("gossip: the key: %w", err)
	}
	key := bytes.TrimSpace(text)
	if len(key) < minKeySize || len(text) > maxKeySize {
		return nil, fmt.Errorf("gossip: the key in %s has %d bytes; allowed: %d to %d", path, len(key), minKeySize, maxKeySize)
	}
	return key, nil
}

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

// maxOutgoing bounds what a node sends, in bytes a second; a burst of as much may go at once. A member's probes, answers and
// words take a few hundred.
const maxOutgoing = 64 << 10

// Waits behind reads that fail one after the other.
const (
	minReadPause = time.Millisecond
	maxReadPause = 100 * time.Millisecond
)

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

// sendFailures are of datagrams that could not be sent, each of them as good as lost on its way. They are logged together, once a
// while.
type sendFailures struct {
	count  int           // since they were logged last
	logged time.Duration // clock time; 0: never
}

// failureLogInterval is how often failures are logged at most.
const failureLogInterval = time.Second

// datagram is what came in.
type datagram struct {
	from      netip.AddrPort
	msg       membership.Message
	zoneState *zonestate.Message // nil: msg is the membership's
	err       error
}

// Counts are of datagrams since the start.
type Counts struct {
	Sent      int64 `json:"sent"`
	Bytes     int64 `json:"bytes"` // of these, without the headers of UDP and IP
	Received  int64 `json:"received"`
	Strange   int64 `json:"strange"` // of another key
	Malformed int64 `json:"malformed"`
	Other     int64 `json:"other"` // of another version, or facts where none are taken
	Lost      int64 `json:"lost"`  // came faster than they were taken
	Paced     int64 `json:"paced"` // not sent, for too much went out
}

// Status is what a Room knows.
type Status struct {
	Incarnation uint32           `json:"life"`
	Health      int              `json:"ill_health"` // 0: well; up to 8
	Twins       int              `json:"twins"`      // words of lives under this name that were none of this process's
	Members     []Member         `json:"members"`
	Counts      Counts           `json:"datagrams"`
	ZoneState   *ZoneStateStatus `json:"facts,omitempty"`
}

// Member is what is known of another node.
type Member struct {
	Name        string        `json:"name"`
	Addr        string        `json:"address"`
	Region      string        `json:"region,omitempty"`
	Zone        string        `json:"zone,omitempty"`
	Status      string        `json:"status"` // alive, suspect, dead, left
	Incarnation uint32        `json:"life"`
	For         time.Duration `json:"for"`             // how long it has been of this status here
	Heard       time.Duration `json:"heard,omitempty"` // how long ago a message of its own came; negative: never
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

// receiver is the part of a UDP socket that read needs.
type receiver interface {
	ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error)
}

// read hands what comes in to the loop; what it has no time for is lost, as datagrams may be.
func (t *Transport) read(conn receiver) {
	buf := make([]byte, membership.MaxDatagram+1)
	pause := minReadPause
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what an earlier datagram met at its end, or a want of this machine that may last
			if t.pause(pause); t.stopped() {
				return
			}
			pause = min(2*pause, maxReadPause)
			continue
		}
		pause = minReadPause
		l := datagram{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}
		if n > 0 && buf[0] == zonestate.Version {
			l.zoneState, l.err = t.decodeZoneState(buf[:n])
		} else {
			l.msg, l.err = membership.Decode(buf[:n], t.options.Key)
		}
		select {
		case t.incoming <- l:
		default:
			t.overruns.Add(1)
		}
	}
}

// pause waits for a while, or for the end.
func (t *Transport) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.done:
	}
}

func (t *Transport) stopped() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// decodeZoneState reads what another tells of facts.
func (t *Transport) decodeZoneState(b []byte) (*zonestate.Message, error) {
	body, ok := membership.Unseal(b, t.options.Key)
	if !ok {
		return nil, membership.ErrStrange
	}
	m, err := zonestate.Parse(body)
	return &m, err
}

func (t *Transport) receive(l datagram) {
	switch {
	case l.zoneState != nil && t.exchange == nil, errors.Is(l.err, membership.ErrVersion), errors.Is(l.err, zonestate.ErrVersion):
		t.counts.Other++
	case l.err == nil && l.zoneState != nil:
		t.counts.Received++
		t.sendZoneState(t.exchange.machine.Receive(t.options.Clock.Now(), *l.zoneState))
	case l.err == nil:
		t.counts.Received++
		t.send(t.machine.Receive(t.options.Clock.Now(), l.from, l.msg))
	case errors.Is(l.err, membership.ErrStrange):
		t.counts.Strange++
	default:
		t.counts.Malformed++
	}
}

// send sends what the send budget allows.
func (t *Transport) send(packets []membership.Packet) {
	for _, p := range packets {
		t.write(membership.Encode(p.Message, t.options.Key), p.To)
	}
}

// write sends a datagram if the send budget allows it.
func (t *Transport) write(data []byte, to netip.AddrPort) bool {
	now := t.options.Clock.Now()
	t.sendBudget = min(maxOutgoing, t.sendBudget+(now-t.budgetAt).Seconds()*maxOutgoing)
	t.budgetAt = now
	if t.sendBudget < float64(len(data)) {
		t.counts.Paced++
		return false
	}
	t.sendBudget -= float64(len(data))
	if _, err := t.conn.WriteToUDPAddrPort(data, to); err != nil {
		t.noteFailure(now, to, err)
		return false
	}
	t.counts.Sent++
	t.counts.Bytes += int64(len(data))
	return true
}

// noteFailure notes that a datagram could not be sent.
func (t *Transport) noteFailure(now time.Duration, to netip.AddrPort, err error) {
	t.failures.count++
	if t.failures.logged != 0 && now-t.failures.logged < failureLogInterval {
		return
	}
	t.options.Log.Warn("datagrams can't be sent", "count", t.failures.count, "last_to", to, "error", err)
	t.failures = sendFailures{logged: now}
}

// publishMembers logs what has changed of other nodes.
func (t *Transport) publishMembers() {
	if t.loggedChanges == t.machine.Changes() {
		return
	}
	t.loggedChanges = t.machine.Changes()
	var living []membership.Peer
	for _, k := range t.machine.Members() {
		if k.Status <= membership.Suspect {
			living = append(living, k.Peer)
		}
	}
	t.active.Store(&living)
	for _, k := range t.machine.Members() {
		if was, known := t.loggedStatus[k.Name]; !known || was != k.Status {
			t.loggedStatus[k.Name] = k.Status
			t.options.Log.Info("member", "name", k.Name, "status", k.Status, "life", k.Incarnation)
		}
	}
}

func (t *Transport) status() Status {
	now := t.options.Clock.Now()
	_, incarnation := t.machine.Self()
	s := Status{Incarnation: incarnation, Health: t.machine.Health(), Twins: t.machine.Twins, Counts: t.counts}
	s.Counts.Lost = t.overruns.Load()
	if t.exchange != nil {
		s.ZoneState = t.exchange.status(now)
	}
	for _, k := range t.machine.Members() {
		m := Member{Name: k.Name, Addr: k.Addr.String(), Region: k.Region, Zone: k.Zone, Status: k.Status.String(), Incarnation: k.Incarnation, For: now - k.Since, Heard: -1}
		if k.Heard > 0 {
			m.Heard = now - k.Heard
		}
		s.Members = append(s.Members, m)
	}
	return s
}

// Living are the other members that are held for alive, or are only suspected not to be; none before Run.
func (t *Transport) Living() []membership.Peer {
	if l := t.active.Load(); l != nil {
		return *l
	}
	return nil
}

// Status tells what is known; nothing before Run and after its end.
func (t *Transport) Status() Status {
	to := make(chan Status, 1)
	select {
	case <-t.started:
	default:
		return Status{}
	}
	select {
	case t.statusRequests <- to:
		return <-to
	case <-t.done:
		return Status{}
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
