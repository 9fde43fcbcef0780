// Package peering carries messages between gateways, of one partner and of several, over TCP streams. It owns the links:
// who is at the other end, whether that one still hears, and what is to be told of a link that is slow or gone. What
// messages mean is their topics' owners'.
//
// What it promises:
//
//   - A link comes up only between two that have one key (Options.Key), and each frame is of that key, of this link and in
//     its place: a frame that was changed, left out, repeated or moved ends the link.
//   - What is sent over one link comes in the order in which it was sent, or the link ends and both sides are told.
//   - Nothing is dropped in silence. A message for which the queue has no room is refused to whoever sends it (ErrFull); an
//     answer or a heartbeat for which it has none ends the link (ErrOverflow).
//   - A link ends when its other side has not answered a heartbeat for Options.Silence (ErrSilent), and a beat more on the side
//     that did not open it, be it stopped, cut off, one way or both, or its reader stalled; or when bytes could not be written for Options.Stuck (ErrStuck). That is the
//     end of the link and of no other.
//   - At most Options.Queue bytes wait on a link, and it takes two goroutines, one that reads it from hello to end and one
//     that writes it. What a topic does with a message must not block its reader.
//   - No time of day counts: clocks may be set while links are up.
//
// A gateway that starts anew under its name is another incarnation (Peer.Life); its links take the place of the old incarnation's.
package peering

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/listener"
)

// Peer is a gateway at the other end of a link.
type Peer struct {
	Partner     string `cbor:"1,keyasint"` // whose gateway it is
	Name        string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint"`           // drawn at its start: another one has forgotten what this one knew
	Calls       string `cbor:"5,keyasint,omitempty"` // address at which it takes partners' requests; empty: it takes none
}

// GatewayID names a gateway whatever its incarnation.
type GatewayID struct{ Partner, Name string }

// ID is the peer's name among all.
func (p Peer) ID() GatewayID { return GatewayID{p.Partner, p.Name} }

func (w GatewayID) String() string { return w.Partner + "/" + w.Name }

// Errors of links and of what is sent over them.
var (
	ErrFull     = errors.New("peering: the queue to this gateway is full")
	ErrOverflow = errors.New("peering: no room for an answer or a heartbeat")
	ErrSilent   = errors.New("peering: heartbeats are not answered")
	ErrStuck    = errors.New("peering: bytes could not be written in time")
	ErrKey      = errors.New("peering: the other side has another key")
	ErrStrange  = errors.New("peering: the other side is none of ours")
	ErrFrame    = errors.New("peering: a frame is malformed")
	ErrReplaced = errors.New("peering: a newer link took its place")
	ErrClosed   = errors.New("peering: closed")
)

// RemoteError is what the other side says of a question that it could not answer.
type RemoteError struct{ Words string }

func (e *RemoteError) Error() string { return e.Words }

// Handler takes what comes. It is called on the link's reader, one message after another, and must not block: what takes
// time goes on elsewhere and replies later. reply is nil for a message that asks nothing; else it is called once.
type Handler func(from *Link, body []byte, reply func(answer any, err error))

// Answer is a Handler of questions of one form, which f answers at once or later.
func Answer[Q, A any](f func(from *Link, q Q, answer func(A))) Handler {
	return func(from *Link, body []byte, reply func(any, error)) {
		if reply == nil {
			return // nobody waits for it
		}
		var q Q
		if err := Decode(body, &q); err != nil {
			reply(nil, err)
			return
		}
		f(from, q, func(a A) { reply(a, nil) })
	}
}

// Hear is a Handler of messages of one form that ask nothing. One that is malformed is passed over.
func Hear[M any](f func(from *Link, m M)) Handler {
	return func(from *Link, body []byte, _ func(any, error)) {
		var m M
		if Decode(body, &m) == nil {
			f(from, m)
		}
	}
}

// Options are what a Hub is made of.
type Options struct {
	Self    Peer
	Listen  string                      // address; with port 0 the system chooses one
	Key     func(partner string) []byte // that links with a partner's gateways are keyed by; nil: none of ours
	Topics  map[string]Handler
	Up      func(*Link)                      // a link came up. It must not block
	Changed func(p Peer, up bool, why error) // the first link of a peer came up, or the last one ended. It must not block
	Beat    time.Duration                    // between two heartbeats; 0: 250 ms
	Silence time.Duration                    // without an answer to one, after which a link ends; 0: 1 s
	Stuck   time.Duration                    // in which bytes must be written; 0: Silence
	Queue   int                              // bytes that wait on a link at most; 0: 2 MiB
	Log     *slog.Logger
}

// Bounds.
const (
	MaxFrame         = 1 << 20 // bytes of a frame's body
	frameOverhead    = 64      // bytes that a frame counts beside its own in a queue
	minRedial        = 50 * time.Millisecond
	maxRedial        = time.Second
	maxSilentRedial  = 8 * time.Second // for one whose links come up and end soon
	stableSilences   = 5               // times the silence, after which a link has stood
	maxHandshakes    = 8               // links with which a gateway shakes hands at once
	handshakeTimeout = 2 * time.Second
)

// Hub has all links of a gateway.
type Hub struct {
	options  Options
	listener *listener.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	start    time.Time

	handshakes chan struct{} // to shake hands

	mu        sync.Mutex
	links     map[GatewayID][]*Link // the newest last
	targets   map[string]*target
	stats     Stats
	queueFull atomic.Int64
}

// target is an address that a link is held to.
type target struct {
	cancel context.CancelFunc
	up     bool
	since  time.Duration // hub's time since which it is so
}

// Stats count what links did since the start.
type Stats struct {
	Up       int            `json:"up"`               // links that came up
	Ended    map[string]int `json:"ended,omitempty"`  // by why
	Rejected int            `json:"turned,omitempty"` // connections that were rejected at their hello
	Full     int64          `json:"full,omitempty"`   // messages that were refused for want of room
}

// withDefaults are the options with what the comments of its fields say of zero values.
func (o Options) withDefaults() Options {
	o.Beat, o.Silence, o.Queue = cmp.Or(o.Beat, 250*time.Millisecond), cmp.Or(o.Silence, time.Second), cmp.Or(o.Queue, 2<<20)
	o.Stuck = cmp.Or(o.Stuck, o.Silence)
	if o.Changed == nil {
		o.Changed = func(Peer, bool, error) {}
	}
	if o.Up == nil {
		o.Up = func(*Link) {}
	}
	return o
}

// Open listens. Links come in from now on, and go out as Keep says, until Close.
func Open(o Options) (*Hub, error) {
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peering: %w", err)
	}
	return Serve(ln, o), nil
}

// Serve is Open with a listener, which Close closes.
func Serve(ln net.Listener, o Options) *Hub {
	o = o.withDefaults()
	h := &Hub{options: o, listener: listener.New(ln, o.Log), start: time.Now(), links: map[GatewayID][]*Link{}, targets: map[string]*target{}, stats: Stats{Ended: map[string]int{}}, handshakes: make(chan struct{}, maxHandshakes)}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.tasks.Go(h.accept)
	return h
}

// now is the time since the hub was opened.
func (h *Hub) now() time.Duration { return time.Since(h.start) }

// Addr is where it listens.
func (h *Hub) Addr() string { return h.listener.Addr().String() }

// Self is this gateway.
func (h *Hub) Self() Peer { return h.options.Self }

// Close ends all links and returns once every goroutine has ended.
func (h *Hub) Close() {
	h.cancel()
	h.listener.Close()
	for _, l := range h.Links("") {
		l.fail(ErrClosed)
	}
	h.tasks.Wait()
}

// accept takes links that others open.
func (h *Hub) accept() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.tasks.Go(func() {
			if err := h.serve(c, false, "", func() {}); errors.Is(err, ErrKey) || errors.Is(err, ErrStrange) || errors.Is(err, ErrFrame) {
				h.options.Log.Warn("connection rejected", "from", c.RemoteAddr(), "error", err)
			}
		})
	}
}

// Keep holds a link to the gateway of a partner at an address, and opens another whenever it has ended, until Drop or
// Close.
func (h *Hub) Keep(address, partner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targets[address] != nil || h.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.targets[address] = &target{cancel: cancel, since: h.now()}
	h.tasks.Go(func() { h.maintain(ctx, address, partner) })
}

// Drop no longer holds a link to an address; one that is up ends.
func (h *Hub) Drop(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := h.targets[address]; k != nil {
		k.cancel()
		delete(h.targets, address)
	}
}

// Down is for how long the link to a kept address has been down; 0: it is up, or the address is not kept.
func (h *Hub) Down(address string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := h.targets[address]; k != nil && !k.up {
		return h.now() - k.since
	}
	return 0
}

// setUp notes that the link to a kept address is up or down.
func (h *Hub) setUp(address string, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := h.targets[address]; k != nil {
		k.up, k.since = up, h.now()
	}
}

func (h *Hub) maintain(ctx context.Context, address, partner string) {
	d := net.Dialer{Timeout: h.options.Silence, KeepAlive: -1}
	if own, ok := h.listener.Addr().(*net.TCPAddr); ok && !own.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: own.IP} // links go out from where they come in
	}
	wait := minRedial
	for ctx.Err() == nil {
		c, err := d.DialContext(ctx, "tcp", address)
		stood, up := time.Duration(0), false
		if err == nil {
			stop := context.AfterFunc(ctx, func() { c.Close() })
			done := h.acquireHandshake(ctx) // one whose start has it open many links does not shake hands with all of them at once
			begin := time.Now()
			err = h.serve(c, true, partner, func() { up = true; done(); h.setUp(address, true) })
			done()
			stop()
			h.setUp(address, false)
			stood = time.Since(begin)
		}
		if errors.Is(err, ErrKey) || errors.Is(err, ErrStrange) {
			h.options.Log.Warn("no link", "to", address, "partner", partner, "error", err)
			wait = maxRedial
		}
		silent := up && (errors.Is(err, ErrSilent) || errors.Is(err, ErrStuck))
		clock.Sleep(ctx, wait/2+rand.N(wait))
		wait = Redial(wait, up, silent, stood, h.options.Silence)
	}
}

// acquireHandshake waits for its turn to shake hands, and returns what ends it.
func (h *Hub) acquireHandshake(ctx context.Context) (done func()) {
	select {
	case h.handshakes <- struct{}{}:
		return sync.OnceFunc(func() { <-h.handshakes })
	case <-ctx.Done():
		return func() {}
	}
}

// Redial is the next pause before a link is opened again, after one of wait. After a link that stood it begins anew. A link that
// came up and soon fell silent was with somebody who is there and too slow: hellos and tables are dear, and a fleet that is short
// of processor time must not spend it on links that it then loses again, so there the pause grows for longer.
func Redial(wait time.Duration, up, silent bool, stood, silence time.Duration) time.Duration {
	switch {
	case up && silent && stood < stableSilences*silence:
		return min(max(2*wait, silence), maxSilentRedial)
	case up && stood > maxRedial:
		return minRedial
	}
	return max(wait, min(2*wait, maxRedial))
}

// serve is a link's reader from hello to end. It returns why the link ended.
func (h *Hub) serve(c net.Conn, dialed bool, partner string, up func()) error {
	defer c.Close()
	stop := context.AfterFunc(h.ctx, func() { c.Close() })
	defer stop()
	s, err := handshake(c, h.options, dialed, partner)
	if err != nil {
		h.mu.Lock()
		h.stats.Rejected++
		h.mu.Unlock()
		return err
	}
	l := &Link{Peer: s.peer, hub: h, conn: c, dialed: dialed, reader: s.in, out: s.out, queued: make(chan struct{}, 1), pending: map[uint64]func(frame){}, done: make(chan struct{})}
	l.answeredPulse.Store(int64(h.now()))
	l.lastPulse.Store(int64(h.now()))
	if !h.add(l) {
		return ErrClosed
	}
	up()
	written := make(chan struct{})
	h.tasks.Go(func() { defer close(written); l.writeLoop() })
	l.fail(l.readLoop())
	<-written
	h.remove(l)
	return l.Err()
}

// add has a link be the one to its peer. An older incarnation's end with it.
func (h *Hub) add(l *Link) bool {
	h.mu.Lock()
	if h.ctx.Err() != nil {
		h.mu.Unlock()
		return false
	}
	who := l.Peer.ID()
	old := h.links[who]
	var gone []*Link
	for _, o := range old {
		if o.Peer.Incarnation != l.Peer.Incarnation {
			gone = append(gone, o)
		}
	}
	h.links[who] = append(old, l)
	h.stats.Up++
	h.mu.Unlock()
	for _, o := range gone {
		o.fail(ErrReplaced)
	}
	h.options.Up(l)
	if len(old) == len(gone) {
		h.options.Log.Info("link", "gateway", who, "life", l.Peer.Incarnation, "up", true)
		h.options.Changed(l.Peer, true, nil)
	}
	return true
}

func (h *Hub) remove(l *Link) {
	h.mu.Lock()
	who := l.Peer.ID()
	h.links[who] = slices.DeleteFunc(h.links[who], func(o *Link) bool { return o == l })
	last := !slices.ContainsFunc(h.links[who], func(o *Link) bool { return o.Peer.Incarnation == l.Peer.Incarnation })
	if len(h.links[who]) == 0 {
		delete(h.links, who)
	}
	h.stats.Ended[endReason(l.Err())]++
	h.mu.Unlock()
	if last {
		if h.ctx.Err() == nil {
			h.options.Log.Info("link", "gateway", who, "life", l.Peer.Incarnation, "up", false, "why", l.Err())
		}
		h.options.Changed(l.Peer, false, l.Err())
	}
}

// endReason is why a link ended, in a word or two.
func endReason(err error) string {
	for _, k := range []struct {
		err  error
		word string
	}{{ErrSilent, "silent"}, {ErrStuck, "stuck"}, {ErrOverflow, "overflow"}, {ErrFrame, "malformed"}, {ErrReplaced, "replaced"}, {ErrClosed, "closed here"}} {
		if errors.Is(err, k.err) {
			return k.word
		}
	}
	return "broken"
}

// To is the newest link to a gateway; nil: there is none.
func (h *Hub) To(who GatewayID) *Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	if all := h.links[who]; len(all) > 0 {
		return all[len(all)-1]
	}
	return nil
}

// Links are the newest link to each gateway of a partner; empty: to each of all. They come in the order of names.
func (h *Hub) Links(partner string) (out []*Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for who, all := range h.links {
		if partner == "" || who.Partner == partner {
			out = append(out, all[len(all)-1])
		}
	}
	slices.SortFunc(out, func(a, b *Link) int {
		return cmp.Or(cmp.Compare(a.Peer.Partner, b.Peer.Partner), cmp.Compare(a.Peer.Name, b.Peer.Name))
	})
	return out
}

// Stats are what links did so far.
func (h *Hub) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stats
	s.Full = h.queueFull.Load()
	s.Ended = map[string]int{}
	for k, v := range h.stats.Ended {
		s.Ended[k] = v
	}
	return s
}

// Link is a stream to one incarnation of a gateway.
type Link struct {
	Peer Peer

	hub           *Hub
	conn          net.Conn
	reader        *frameReader
	out           *frameWriter
	queued        chan struct{} // takes a word when the queue is no longer empty
	dialed        bool          // this side opened it, and beats
	answeredPulse atomic.Int64  // ns of the hub's time when the pulse was sent that was answered last
	lastPulse     atomic.Int64  // ns of the hub's time when the other side's pulse came last, and
	peerStamp     atomic.Int64  // its At
	rtt           atomic.Int64  // ns
	done          chan struct{}

	lastBeat, pausedUntil time.Duration // hub's time of the last heartbeat, and of the last one that was late by more than another; the writer's

	mu          sync.Mutex
	frames      [][]byte               // that wait to be written
	queuedBytes int                    // bytes of them
	pending     map[uint64]func(frame) // by the number of the question; the zero frame says that the link has ended
	number      uint64
	err         error
}

// kinds of frames
const (
	frameBeat    = iota + 1 // of who opened the link, with a pulse
	frameEcho               // what the other answers each with
	frameNotify             // a message that asks nothing
	frameRequest            // answered by reply of its number
	frameReply              //
	frameReject             // in place of a reply
)

type frame struct {
	_      struct{} `cbor:",toarray"`
	Kind   uint8
	Number uint64
	Topic  string
	Body   cbor.RawMessage
}

// pulse is what heartbeats carry. One that goes there and one that comes back prove both directions to both sides: the beat
// brings the other side's own stamp back to it.
type pulse struct {
	_    struct{} `cbor:",toarray"`
	At   int64    // ns of the sender's hub
	Echo int64    // the At that came last from the other side; 0: none has
	RTT  int64    // ns, as the one who opened the link measures it
}

// Done is closed once the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Err is why it ended; nil: it has not.
func (l *Link) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// RTT is how long heartbeats took there and back, about; 0: none has yet.
func (l *Link) RTT() time.Duration { return time.Duration(l.rtt.Load()) }

// Quiet is how long ago the other side's last heartbeat came: more than a beat says that it is late, stopped or cut off.
func (l *Link) Quiet() time.Duration { return l.hub.now() - time.Duration(l.lastPulse.Load()) }

// fail ends the link for a reason; the first one counts.
func (l *Link) fail(why error) {
	l.mu.Lock()
	var left map[uint64]func(frame)
	if l.err == nil {
		l.err, left, l.pending = why, l.pending, nil
		close(l.done)
	}
	l.mu.Unlock()
	l.conn.Close()
	for _, told := range left {
		told(frame{})
	}
}

// enqueue queues a frame.
func (l *Link) enqueue(f frame) error {
	text, err := encoding.Marshal(f)
	if err != nil {
		return fmt.Errorf("peering: %w", err)
	}
	if len(text) > MaxFrame {
		return fmt.Errorf("%w: %d bytes; allowed: %d", ErrFrame, len(text), MaxFrame)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	if l.queuedBytes+len(text)+frameOverhead > l.hub.options.Queue {
		l.hub.queueFull.Add(1)
		return ErrFull
	}
	l.queuedBytes += len(text) + frameOverhead
	l.frames = append(l.frames, text)
	select {
	case l.queued <- struct{}{}:
	default:
	}
	return nil
}

// dequeue takes a frame from the queue; nil: it is empty.
func (l *Link) dequeue() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.frames) == 0 {
		l.frames = nil
		return nil
	}
	text := l.frames[0]
	l.frames[0] = nil
	l.frames = l.frames[1:]
	l.queuedBytes -= len(text) + frameOverhead
	return text
}

// Tell sends a message that asks nothing. No error says that it was queued, and no more.
func (l *Link) Tell(topic string, message any) error {
	body, err := encoding.Marshal(message)
	if err != nil {
		return fmt.Errorf("peering: %s: %w", topic, err)
	}
	return l.enqueue(frame{Kind: frameNotify, Topic: topic, Body: body})
}

// PendingRequest is a question that is under way.
type PendingRequest struct {
	link   *Link
	number uint64
	answer chan frame
}

// startRequest sends a question; told is called once with its answer, on the link's reader, or with the zero frame when the link ends.
func (l *Link) startRequest(topic string, question any, told func(frame)) (number uint64, err error) {
	body, err := encoding.Marshal(question)
	if err != nil {
		return 0, fmt.Errorf("peering: %s: %w", topic, err)
	}
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return 0, l.err
	}
	l.number++
	number = l.number
	l.pending[number] = told
	l.mu.Unlock()
	if err := l.enqueue(frame{Kind: frameRequest, Number: number, Topic: topic, Body: body}); err != nil {
		if l.cancelRequest(number) {
			return 0, err
		}
		return number, nil // the link has ended meanwhile, and that was told
	}
	return number, nil
}

// cancelRequest has an answer be told no more. false: it has been told, or is being told now.
func (l *Link) cancelRequest(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, was := l.pending[number]
	delete(l.pending, number)
	return was
}

// Request sends a question. It comes in its place among all that is sent over the link; Wait brings the answer.
func (l *Link) Request(topic string, question any) (*PendingRequest, error) {
	a := &PendingRequest{link: l, answer: make(chan frame, 1)}
	var err error
	if a.number, err = l.startRequest(topic, question, func(f frame) { a.answer <- f }); err != nil {
		return nil, err
	}
	return a, nil
}

// Wait waits for the answer until ctx or the link ends, and reads it into what answer points to. What the other side says
// instead is a RemoteError.
func (a *PendingRequest) Wait(ctx context.Context, answer any) error {
	select {
	case f := <-a.answer:
		return a.link.readReply(f, answer)
	case <-ctx.Done():
		a.link.cancelRequest(a.number)
		return ctx.Err()
	}
}

// RequestAsync sends a question as Ask does, and has told called once, on the link's reader or on whoever ends the link, with what
// reads the answer into what it is given; told must not block. forget has it not be called any more.
func (l *Link) RequestAsync(topic string, question any, told func(read func(answer any) error)) (forget func(), err error) {
	n, err := l.startRequest(topic, question, func(f frame) { told(func(answer any) error { return l.readReply(f, answer) }) })
	return func() { l.cancelRequest(n) }, err
}

// readReply reads the answer to a question.
func (l *Link) readReply(f frame, answer any) error {
	switch f.Kind {
	case frameReply:
		if err := decoding.Unmarshal(f.Body, answer); err != nil {
			return fmt.Errorf("%w: %w", ErrFrame, err)
		}
		return nil
	case frameReject:
		var words string
		if err := decoding.Unmarshal(f.Body, &words); err != nil {
			return fmt.Errorf("%w: %w", ErrFrame, err)
		}
		return &RemoteError{words}
	}
	return l.Err()
}

// Do asks and waits.
func (l *Link) Do(ctx context.Context, topic string, question, answer any) error {
	a, err := l.Request(topic, question)
	if err != nil {
		return err
	}
	return a.Wait(ctx, answer)
}

// readLoop takes one frame after another until the link ends.
func (l *Link) readLoop() error {
	for {
		text, err := l.reader.next()
		if err != nil {
			return err
		}
		var f frame
		if err := decoding.Unmarshal(text, &f); err != nil {
			return fmt.Errorf("%w: %w", ErrFrame, err)
		}
		if err := l.handle(f); err != nil {
			return err
		}
	}
}

// handle does what a frame asks for.
func (l *Link) handle(f frame) error {
	switch f.Kind {
	case frameBeat, frameEcho:
		var p pulse
		if err := decoding.Unmarshal(f.Body, &p); err != nil {
			return fmt.Errorf("%w: a heartbeat: %w", ErrFrame, err)
		}
		if (f.Kind == frameEcho) != l.dialed {
			return fmt.Errorf("%w: a heartbeat of the wrong side", ErrFrame)
		}
		return l.receivePulse(p)
	case frameNotify, frameRequest:
		handle := l.hub.options.Topics[f.Topic]
		if handle == nil {
			if f.Kind == frameRequest {
				return l.sendReply(f.Number, nil, fmt.Errorf("topic %q is not known here", f.Topic))
			}
			return nil // of a later version
		}
		if f.Kind == frameNotify {
			handle(l, f.Body, nil)
			return nil
		}
		handle(l, f.Body, func(answer any, err error) {
			if err := l.sendReply(f.Number, answer, err); err != nil {
				l.fail(err)
			}
		})
	case frameReply, frameReject:
		l.mu.Lock()
		to := l.pending[f.Number]
		delete(l.pending, f.Number)
		l.mu.Unlock()
		if to != nil {
			to(f)
		}
	default:
		return fmt.Errorf("%w: kind %d", ErrFrame, f.Kind)
	}
	return nil
}

// receivePulse takes the other side's heartbeat, and answers the one who beats.
func (l *Link) receivePulse(p pulse) error {
	now := int64(l.hub.now())
	l.lastPulse.Store(now)
	l.peerStamp.Store(p.At)
	if p.Echo > l.answeredPulse.Load() && p.Echo <= now {
		l.answeredPulse.Store(p.Echo)
		took, was := now-p.Echo, l.rtt.Load()
		if !l.dialed {
			took = p.RTT // the answer to this side's pulse has waited for the next beat
		} else if was > 0 {
			took = was + (took-was)/8
		}
		l.rtt.Store(max(1, took))
	}
	if l.dialed {
		return nil
	}
	body, err := encoding.Marshal(pulse{At: now, Echo: p.At})
	if err != nil {
		return fmt.Errorf("peering: a heartbeat: %w", err)
	}
	if l.enqueue(frame{Kind: frameEcho, Body: body}) != nil {
		return ErrOverflow
	}
	return nil
}

// sendReply queues an answer; that there is no room for it ends the link, or the other side would wait for nothing.
func (l *Link) sendReply(number uint64, answer any, refused error) error {
	f := frame{Kind: frameReply, Number: number}
	if refused != nil {
		f.Kind, answer = frameReject, refused.Error()
	}
	var err error
	if f.Body, err = encoding.Marshal(answer); err != nil {
		return fmt.Errorf("peering: an answer: %w", err)
	}
	if err := l.enqueue(f); errors.Is(err, ErrFull) {
		return ErrOverflow
	}
	return nil // a link that has ended has been told of
}

// writeLoop sends what is queued, and heartbeats, until the link ends.
func (l *Link) writeLoop() {
	tick := time.NewTicker(l.hub.options.Beat)
	defer tick.Stop()
	l.lastBeat = l.hub.now()
	for {
		text := l.dequeue()
		var err error
		if text != nil {
			select { // a heartbeat does not wait until the queue is empty
			case <-tick.C:
				err = l.sendBeat()
			default:
			}
		} else {
			select {
			case <-l.done:
				return
			case <-l.queued:
			case <-tick.C:
				err = l.sendBeat()
			}
		}
		if err == nil && text != nil {
			err = l.writeFrame(text)
		}
		if err != nil {
			l.fail(err)
			return
		}
	}
}

// sendBeat sends a heartbeat, if this side opened the link, unless the other side has been silent for too long. Who did not open it
// hears what came of its pulse by the next beat, one beat later.
func (l *Link) sendBeat() error {
	now := l.hub.now()
	if late := now - l.lastBeat - l.hub.options.Beat; late > l.hub.options.Beat {
		l.pausedUntil = now // this process was stopped, or had no processor: that time is its own silence, not the other's
	}
	l.lastBeat = now
	silence := l.hub.options.Silence
	if !l.dialed {
		silence += l.hub.options.Beat
	}
	if now-max(time.Duration(l.answeredPulse.Load()), l.pausedUntil) > silence {
		return fmt.Errorf("%w for %v", ErrSilent, l.hub.options.Silence)
	}
	if !l.dialed {
		return nil
	}
	body, err := encoding.Marshal(pulse{At: int64(now), Echo: l.peerStamp.Load(), RTT: l.rtt.Load()})
	if err != nil {
		return fmt.Errorf("peering: a heartbeat: %w", err)
	}
	text, err := encoding.Marshal(frame{Kind: frameBeat, Body: body})
	if err != nil {
		return fmt.Errorf("peering: a heartbeat: %w", err)
	}
	return l.writeFrame(text)
}

// writeFrame writes a frame.
func (l *Link) writeFrame(text []byte) error {
	l.conn.SetWriteDeadline(time.Now().Add(l.hub.options.Stuck))
	err := l.out.write(text)
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return fmt.Errorf("%w (%v)", ErrStuck, l.hub.options.Stuck)
	}
	return err
}
