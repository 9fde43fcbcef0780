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
	minKey = 16
	maxKey = 4 << 10
)

// LoadKey reads a cluster's key: what the file holds without white space round it.
func LoadKey(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("peers: the key: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxKey+1))
	if err != nil {
		return nil, fmt.Errorf("peers: the key: %w", err)
	}
	key := bytes.TrimSpace(text)
	if len(key) < minKey || len(text) > maxKey {
		return nil, fmt.Errorf("peers: the key in %s has %d bytes; allowed: %d to %d", path, len(key), minKey, maxKey)
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
	readPause     = time.Millisecond
	readPauseMost = 100 * time.Millisecond
)

// Transport is one node's.
type Transport struct {
	o          Options
	conn       datagrams
	machine    *membership.Machine
	exchange   *exchange // nil: none
	seen       chan Seen
	in         chan datagram
	asks       chan chan Status
	done       chan struct{}
	started    chan struct{}
	living     atomic.Pointer[[]membership.Peer]
	held       map[string]membership.Status // as was logged last
	logged     int                          // changes of the membership that were
	counts     Counts
	lost       atomic.Int64
	sendBudget float64 // bytes that may go out
	filled     time.Duration
	unsent     failures
}

// datagrams are what a Room needs of a net.UDPConn.
type datagrams interface {
	ReadFromUDPAddrPort(p []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(p []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// failures are of datagrams that could not be sent, each of them as good as lost on its way. They are logged together, once a
// while.
type failures struct {
	count  int           // since they were logged last
	logged time.Duration // clock time; 0: never
}

// failuresEvery is how often failures are logged at most.
const failuresEvery = time.Second

// datagram is what came in.
type datagram struct {
	from netip.AddrPort
	msg  membership.Message
	told *zonestate.Message // nil: msg is the membership's
	err  error
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
		return nil, fmt.Errorf("peers: %w", err)
	}
	m, err := membership.New(o.Self, o.Members, binary.LittleEndian.Uint64(seed[:]))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	addr, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	r := &Transport{o: o, conn: conn, machine: m, seen: make(chan Seen, 1), in: make(chan datagram, 256), asks: make(chan chan Status), done: make(chan struct{}),
		started: make(chan struct{}), held: map[string]membership.Status{}, logged: -1}
	if o.ZoneState != nil {
		id, _ := m.Self()
		if r.exchange, err = newExchange(o, id, binary.LittleEndian.Uint64(seed[:])+1); err != nil {
			conn.Close()
			return nil, fmt.Errorf("peers: %w", err)
		}
	}
	return r, nil
}

// Addr is where it listens.
func (r *Transport) Addr() netip.AddrPort { return r.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run takes part until ctx ends, and then says goodbye.
func (r *Transport) Run(ctx context.Context) {
	close(r.started)
	defer close(r.done)
	defer r.conn.Close()
	go r.read(r.conn)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.send(r.machine.Leave(r.o.Clock.Now()))
			return
		case l := <-r.in:
			r.take(l)
		case to := <-r.asks:
			to <- r.status()
		case s := <-r.seen:
			r.set(s)
		case <-timer.C:
			r.tick()
		}
		r.publishLoad()
		r.follow()
		timer.Reset(max(0, r.o.Clock.Until(r.next())))
	}
}

// next is when tick is due.
func (r *Transport) next() time.Duration {
	if r.exchange == nil {
		return r.machine.Next()
	}
	return min(r.machine.Next(), r.exchange.machine.Next())
}

func (r *Transport) tick() {
	if now := r.o.Clock.Now(); r.machine.Next() <= now {
		r.send(r.machine.Tick(now))
	}
	if x := r.exchange; x != nil && x.machine.Next() <= r.o.Clock.Now() {
		r.follow()
		r.pass(x.machine.Tick(r.o.Clock.Now()))
		r.publishZones()
	}
}

// receiver is the part of a UDP socket that read needs.
type receiver interface {
	ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error)
}

// read hands what comes in to the loop; what it has no time for is lost, as datagrams may be.
func (r *Transport) read(conn receiver) {
	buf := make([]byte, membership.MaxDatagram+1)
	pause := readPause
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what an earlier datagram met at its end, or a want of this machine that may last
			if r.rest(pause); r.hasEnded() {
				return
			}
			pause = min(2*pause, readPauseMost)
			continue
		}
		pause = readPause
		l := datagram{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}
		if n > 0 && buf[0] == zonestate.Version {
			l.told, l.err = r.decode(buf[:n])
		} else {
			l.msg, l.err = membership.Decode(buf[:n], r.o.Key)
		}
		select {
		case r.in <- l:
		default:
			r.lost.Add(1)
		}
	}
}

// rest waits for a while, or for the end.
func (r *Transport) rest(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.done:
	}
}

func (r *Transport) hasEnded() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// decode reads what another tells of facts.
func (r *Transport) decode(b []byte) (*zonestate.Message, error) {
	body, ok := membership.Unseal(b, r.o.Key)
	if !ok {
		return nil, membership.ErrStrange
	}
	m, err := zonestate.Parse(body)
	return &m, err
}

func (r *Transport) take(l datagram) {
	switch {
	case l.told != nil && r.exchange == nil, errors.Is(l.err, membership.ErrVersion), errors.Is(l.err, zonestate.ErrVersion):
		r.counts.Other++
	case l.err == nil && l.told != nil:
		r.counts.Received++
		r.pass(r.exchange.machine.Receive(r.o.Clock.Now(), *l.told))
	case l.err == nil:
		r.counts.Received++
		r.send(r.machine.Receive(r.o.Clock.Now(), l.from, l.msg))
	case errors.Is(l.err, membership.ErrStrange):
		r.counts.Strange++
	default:
		r.counts.Malformed++
	}
}

// send sends what the send budget allows.
func (r *Transport) send(packets []membership.Packet) {
	for _, p := range packets {
		r.write(membership.Encode(p.Message, r.o.Key), p.To)
	}
}

// write sends a datagram if the send budget allows it.
func (r *Transport) write(data []byte, to netip.AddrPort) bool {
	now := r.o.Clock.Now()
	r.sendBudget = min(maxOutgoing, r.sendBudget+(now-r.filled).Seconds()*maxOutgoing)
	r.filled = now
	if r.sendBudget < float64(len(data)) {
		r.counts.Paced++
		return false
	}
	r.sendBudget -= float64(len(data))
	if _, err := r.conn.WriteToUDPAddrPort(data, to); err != nil {
		r.fail(now, to, err)
		return false
	}
	r.counts.Sent++
	r.counts.Bytes += int64(len(data))
	return true
}

// fail notes that a datagram could not be sent.
func (r *Transport) fail(now time.Duration, to netip.AddrPort, err error) {
	r.unsent.count++
	if r.unsent.logged != 0 && now-r.unsent.logged < failuresEvery {
		return
	}
	r.o.Log.Warn("datagrams can't be sent", "count", r.unsent.count, "last_to", to, "error", err)
	r.unsent = failures{logged: now}
}

// publishLoad logs what has changed of other nodes.
func (r *Transport) publishLoad() {
	if r.logged == r.machine.Changes() {
		return
	}
	r.logged = r.machine.Changes()
	var living []membership.Peer
	for _, k := range r.machine.Members() {
		if k.Status <= membership.Suspect {
			living = append(living, k.Peer)
		}
	}
	r.living.Store(&living)
	for _, k := range r.machine.Members() {
		if was, known := r.held[k.Name]; !known || was != k.Status {
			r.held[k.Name] = k.Status
			r.o.Log.Info("member", "name", k.Name, "status", k.Status, "life", k.Incarnation)
		}
	}
}

func (r *Transport) status() Status {
	now := r.o.Clock.Now()
	_, incarnation := r.machine.Self()
	s := Status{Incarnation: incarnation, Health: r.machine.Health(), Twins: r.machine.Twins, Counts: r.counts}
	s.Counts.Lost = r.lost.Load()
	if r.exchange != nil {
		s.ZoneState = r.exchange.status(now)
	}
	for _, k := range r.machine.Members() {
		m := Member{Name: k.Name, Addr: k.Addr.String(), Region: k.Region, Zone: k.Zone, Status: k.Status.String(), Incarnation: k.Incarnation, For: now - k.Since, Heard: -1}
		if k.Heard > 0 {
			m.Heard = now - k.Heard
		}
		s.Members = append(s.Members, m)
	}
	return s
}

// Living are the other members that are held for alive, or are only suspected not to be; none before Run.
func (r *Transport) Living() []membership.Peer {
	if l := r.living.Load(); l != nil {
		return *l
	}
	return nil
}

// Status tells what is known; nothing before Run and after its end.
func (r *Transport) Status() Status {
	to := make(chan Status, 1)
	select {
	case <-r.started:
	default:
		return Status{}
	}
	select {
	case r.asks <- to:
		return <-to
	case <-r.done:
		return Status{}
	}
}

// Close closes a room that was not run; one that runs ends with its context.
func (r *Transport) Close() {
	select {
	case <-r.started:
		<-r.done
	default:
		r.conn.Close()
	}
}
