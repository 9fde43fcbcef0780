package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"woodpick"
	"woodpick/internal/clock"
	"woodpick/internal/descriptors"
	"woodpick/internal/discovery"
	"woodpick/internal/engine"
	"woodpick/internal/figures"
)

// RefusedBy is the header by which a partner's gateway tells which of its rules a call was refused by.
const RefusedBy = "X-Refused-By"

// maxAnswer bounds all of an answer but its body: heads, 1xx before them, chunks' sizes.
const maxAnswer = 16 << 10

// reply is what came back on a connection: an answer read whole, or why there is none.
type reply struct {
	engine.Outcome
	err error
}

// conn is a connection to a server. Its reader watches it for as long as it is open, so that one
// closed by the server leaves the idle ones at once.
type conn struct {
	net.Conn
	to     discovery.Host
	in     *bounded
	br     *bufio.Reader // over in; empty between answers
	waiter chan reply    // the attempt on it takes one reply here; nil while idle. Guarded by Back.mu
	since  time.Duration
	way    time.Duration // that it took to come up: what is written takes less to arrive
	begun  time.Duration // when the request on it was begun
	took   time.Duration // from then to the end of its answer, the last time
	stage  stage         // guarded by Back.mu
	dead   bool          // guarded by Back.mu
	passed bool          // the rest of an answer is read by somebody else. Guarded by Back.mu
}

// stage is how far the request on a connection is.
type stage int

const (
	resting stage = iota // no byte of a request is written: whatever comes in answers none
	writing
	written // whole
)

// errTooLong ends an answer that is longer than one may be, be it by its head or by what comes before it.
var errTooLong = errors.New("the answer is too long")

// bounded reads up to a number of bytes that its reader sets anew for each answer. Neither http.ReadResponse
// nor io.ReadAll has a bound of its own: one endless head would fill the memory.
type bounded struct {
	io.Reader
	left int
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// Back runs attempts over pools of kept connections, the last used first. http.Transport would
// send some requests again by itself, and does not tell whether the last byte was written.
type Back struct {
	clock clock.Clock
	share *descriptors.Share // of all connections to servers, over all pools
	count *figures.Set
	dial  func(ctx context.Context, network, address string) (net.Conn, error) // for tests: instead of net.Dialer's

	mu     sync.Mutex
	limits Limits
	idle   map[discovery.Host][]*conn // the oldest first
	open   int
	made   int
	seen   map[string]discovery.Target // the listed servers by uid
	closed bool
}

// Limits bound connections to servers, and tell what their answers say.
type Limits struct {
	Most           int           // open or being opened
	ConnectTimeout time.Duration // for one to come up
	Idle           time.Duration // a server closes one that has been idle for so long
	Settle         time.Duration // behind an answer, before the next request may follow: see DefaultSettle
	Busy           string        // name that X-Load has for the calls that a server holds; empty: none is read
	AskPath        string        // where servers answer with their report alone; empty: they are not asked
	From           net.IP        // that connections go out from; nil: any
}

// DefaultSettle is longer than a second answer comes behind the first where a server gives two, which is some
// milliseconds: written before it has come, the next request would get it for its own.
const DefaultSettle = 10 * time.Millisecond

// settleShare is the part of an exchange's time that the next one may wait for its connection to settle, rather than have
// one more opened: a handshake costs the server work, and may take longer than expected.
const settleShare = 0.25

// keep is how long a connection may be idle: closed a little before the server does, or a request might cross
// its close and end as a reset.
func (l Limits) keep() time.Duration { return l.Idle - l.Idle/10 }

// NewBack returns a Back that knows no servers yet.
func NewBack(c clock.Clock, share *descriptors.Share, count *figures.Set, l Limits) *Back {
	return &Back{clock: c, share: share, count: count, limits: l, idle: map[discovery.Host][]*conn{}, seen: map[string]discovery.Target{}}
}

// SetLimits changes the limits. Connections that are being opened go by the old ones; idle ones beyond the new
// ones are closed, the oldest first.
func (b *Back) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
	for b.open > l.Most && b.dropOldest() {
	}
}

// Close closes the idle connections, and from now on every other once its attempt has ended.
func (b *Back) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for b.dropOldest() {
	}
}

// errNoRoom says that the node is out of descriptors, which is no server's fault.
var errNoRoom = errors.New("no descriptor left for a connection")

// Run makes an attempt and tells how it ended. Its connection is closed by then, or idle again.
func (b *Back) Run(a *engine.Attempt) engine.Outcome {
	ctx, cancel := context.WithCancel(a.Context())
	if a.Call.Request.Rest == nil { // of an upload the time begins with its end
		ctx, cancel = context.WithTimeout(a.Context(), b.clock.Until(a.Deadline))
	}
	defer cancel()
	r := b.try(ctx, a)
	if r.At == 0 {
		r.At = b.clock.Now()
	}
	return r
}

func (b *Back) try(ctx context.Context, a *engine.Attempt) engine.Outcome {
	var (
		c      *conn
		waiter chan reply
	)
	for {
		waiter = make(chan reply, 1)
		var (
			fresh bool
			err   error
		)
		c, fresh, err = b.connect(ctx, a.To, waiter)
		switch {
		case errors.Is(err, errNoRoom):
			return engine.Outcome{Ending: woodpick.Void}
		case err != nil && a.Withdrawn():
			return engine.Outcome{Ending: woodpick.Withdrawn}
		case err != nil:
			return engine.Outcome{Ending: woodpick.Unreachable}
		}
		if !a.Allowed() {
			b.giveUp(c, waiter)
			return engine.Outcome{Ending: woodpick.Void}
		}
		if b.begin(c, waiter) {
			break
		}
		if fresh {
			return engine.Outcome{Ending: woodpick.Unreachable}
		}
	}
	if why, begins := b.mayBegin(ctx, a, c); !begins {
		b.giveUp(c, waiter)
		return engine.Outcome{Ending: why}
	}
	// A timed-out or cancelled attempt closes its connection, which ends the wait below.
	stop := context.AfterFunc(ctx, func() { b.giveUp(c, waiter) })
	defer stop()
	if a.Call.Request.Rest != nil {
		return b.upload(a, c, waiter)
	}
	// The whole request in one write: what Write returns tells whether its last byte left.
	var out bytes.Buffer
	out.Grow(512 + len(a.Call.Request.Body))
	if err := request(a, b.clock.Until(a.Deadline), bytes.NewReader(a.Call.Request.Body)).Write(&out); err != nil {
		b.giveUp(c, waiter)
		return engine.Outcome{Ending: woodpick.Void}
	}
	text := out.Bytes()
	sent, err := c.Write(text)
	if err != nil {
		b.giveUp(c, waiter)
	} else {
		b.wrote(c)
		b.count.Relay()
	}
	got := <-waiter
	switch {
	case got.err == nil:
		return got.Outcome
	case a.Withdrawn():
		return engine.Outcome{Ending: woodpick.Withdrawn}
	case sent < len(text):
		// The server never got the last byte, so it has not begun: sending again is harmless.
		return engine.Outcome{Ending: woodpick.Unreachable}
	case ctx.Err() != nil:
		return engine.Outcome{Ending: woodpick.TimedOut}
	}
	return engine.Outcome{Ending: woodpick.Broken}
}

// request is what goes to a server. Method, target, body, id and idempotency key go on as they came.
func request(a *engine.Attempt, left time.Duration, body io.Reader) *http.Request {
	h := http.Header{
		"User-Agent":   {""}, // none
		"X-Request-Id": {a.Call.ID},
		"X-Deadline":   {strconv.FormatFloat(max(left, time.Millisecond).Seconds(), 'f', 6, 64)},
	}
	if a.Call.Request.Key != "" {
		h["Idempotency-Key"] = []string{a.Call.Request.Key}
	}
	for _, f := range a.Call.Request.Beside {
		h[f.Name] = []string{f.Value}
	}
	if a.Call.Request.ContentType != "" {
		h["Content-Type"] = []string{a.Call.Request.ContentType}
	}
	r := &http.Request{Method: a.Call.Request.Method, URL: &url.URL{Opaque: a.Call.Request.Target}, Host: "backend.local",
		Header: h, ContentLength: int64(len(a.Call.Request.Body))}
	if a.Call.Request.Rest != nil {
		r.ContentLength = a.Call.Request.Length
	}
	if r.ContentLength != 0 {
		r.Body = io.NopCloser(body)
	}
	return r
}

// connect takes the idle connection used last, or opens a fresh one.
func (b *Back) connect(ctx context.Context, to discovery.Host, waiter chan reply) (c *conn, fresh bool, err error) {
	c, settles, err := b.take(to, waiter)
	if c != nil || err != nil {
		if settles > 0 {
			clock.Sleep(ctx, settles)
		}
		return c, false, err
	}
	b.mu.Lock()
	dialer := net.Dialer{Timeout: b.limits.ConnectTimeout, KeepAlive: -1}
	if b.limits.From != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: b.limits.From}
	}
	b.mu.Unlock()
	dial := dialer.DialContext
	if b.dial != nil {
		dial = b.dial
	}
	begin := b.clock.Now()
	nc, err := dial(ctx, "tcp", to.Endpoint)
	if err != nil {
		b.mu.Lock()
		b.release()
		b.mu.Unlock()
		for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
			if errors.Is(err, own) {
				err = errors.Join(errNoRoom, err)
			}
		}
		return nil, true, fmt.Errorf("connect: %w", err)
	}
	c = b.watch(nc, to, waiter)
	c.way = b.clock.Now() - begin
	return c, true, nil
}

// watch starts the reader of a connection that an attempt is about to use.
func (b *Back) watch(nc net.Conn, to discovery.Host, waiter chan reply) *conn {
	in := &bounded{Reader: nc}
	c := &conn{Conn: nc, to: to, in: in, br: bufio.NewReader(in), waiter: waiter}
	go b.read(c)
	return c
}

// begin has a request written next, unless the server has closed the connection or said something
// meanwhile, which can be no answer to it: then the connection is closed, and another will do.
func (b *Back) begin(c *conn, waiter chan reply) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiter == waiter && !spokenOrClosed(c.Conn) {
		c.stage, c.begun = writing, b.clock.Now()
		return true
	}
	if c.waiter == waiter {
		c.waiter = nil
		b.drop(c)
	}
	return false
}

// mayBegin says whether an attempt may begin on its connection, and how it ends if not. What it waited for may have taken
// long: its caller may have gone by then, its time may be over, and its server may have been told to drain.
func (b *Back) mayBegin(ctx context.Context, a *engine.Attempt, c *conn) (why woodpick.Ending, begins bool) {
	b.mu.Lock()
	serves := b.serves(c.to)
	b.mu.Unlock()
	switch {
	case serves && ctx.Err() == nil && a.Begin(b.clock.Now(), c.way):
		return 0, true
	case a.Withdrawn():
		return woodpick.Withdrawn, false
	case ctx.Err() != nil:
		return woodpick.Unreachable, false
	}
	return woodpick.Void, false
}

// serves says that a server is the one that a host names, and takes requests. The caller holds mu.
func (b *Back) serves(h discovery.Host) bool {
	t, listed := b.seen[h.Server]
	return listed && t.State == woodpick.Ready && t.Host() == h
}

// take returns an idle connection and how long it has yet to settle, or nil once there is room to open one: one that soon
// will have settled, or any where no other can be opened. When short, idle connections to other servers are closed.
func (b *Back) take(to discovery.Host, waiter chan reply) (c *conn, settles time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, settles = b.soonest(to)
	if (c == nil || settles > c.patience()) && b.reserve() {
		return nil, 0, nil
	}
	if c != nil {
		b.unlist(c)
		c.waiter, c.stage = waiter, resting
		return c, settles, nil
	}
	for b.dropOldest() {
		if b.reserve() {
			return nil, 0, nil
		}
	}
	return nil, 0, errNoRoom
}

// reserve takes a place for one more connection, if there is one. The caller holds mu.
func (b *Back) reserve() bool {
	if b.open >= b.limits.Most || !b.share.Take() {
		return false
	}
	b.open++
	b.made++
	return true
}

// soonest is the idle connection to a host that is of use first, and how long it has yet to settle; nil: there is none. It
// is the one used last, unless that would have to be waited for too long: one that has been idle for longer is likelier
// to be closed by its server just then. The caller holds mu.
func (b *Back) soonest(to discovery.Host) (c *conn, settles time.Duration) {
	now := b.clock.Now()
	for _, free := range slices.Backward(b.idle[to]) {
		left := max(0, free.since+b.limits.Settle-now)
		if left <= free.patience() {
			return free, left
		}
		if c == nil || left < settles {
			c, settles = free, left
		}
	}
	return c, settles
}

// patience is how long a connection is waited for rather than another opened.
func (c *conn) patience() time.Duration {
	return max(c.way, time.Duration(settleShare*float64(c.took)))
}

// unlist takes a connection from the idle ones, if it is among them. The caller holds mu.
func (b *Back) unlist(c *conn) {
	free := b.idle[c.to]
	if i := slices.Index(free, c); i >= 0 {
		b.idle[c.to] = slices.Delete(free, i, i+1)
	}
	if len(b.idle[c.to]) == 0 {
		delete(b.idle, c.to)
	}
}

// release gives a connection's place back. The caller holds mu.
func (b *Back) release() {
	b.open--
	b.share.Give()
}

// dropOldest closes the connection that has been idle for longest, if there is one. The caller holds mu.
func (b *Back) dropOldest() bool {
	var oldest *conn
	for _, free := range b.idle {
		if len(free) > 0 && (oldest == nil || free[0].since < oldest.since) {
			oldest = free[0]
		}
	}
	if oldest != nil {
		b.drop(oldest)
	}
	return oldest != nil
}

// drop closes a connection and forgets it. The caller holds mu.
func (b *Back) drop(c *conn) {
	if c.dead {
		return
	}
	c.dead = true
	b.release()
	c.Close()
	b.unlist(c)
}

// giveUp closes a connection under the attempt that waits on it, unless its reply has come: then the
// connection may serve another attempt already.
func (b *Back) giveUp(c *conn, waiter chan reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.waiter == waiter {
		c.waiter = nil
		b.drop(c)
		waiter <- reply{err: context.Canceled}
	}
}

// Connections is how many are open or being opened.
func (b *Back) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// wrote notes that a request is written whole, and frees the connection if it is answered already.
func (b *Back) wrote(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.stage = written
	if c.waiter == nil && !c.dead && !c.passed {
		b.rest(c)
	}
}

// rest keeps a connection for the next attempt, if its server is still the one that it was made to. The
// caller holds mu.
func (b *Back) rest(c *conn) {
	if b.closed || !b.serves(c.to) {
		b.drop(c)
		return
	}
	b.idle[c.to] = append(b.idle[c.to], c)
}

// read watches a connection: it hands each answer to the attempt that waits for it, and drops the
// connection when it ends or says something that no request asked for. Until a request is being
// written it leaves what comes to the kernel, where begin sees it.
func (b *Back) read(c *conn) {
	for keep := true; keep; {
		awaitBytes(c.Conn)
		b.mu.Lock()
		asked := c.waiter != nil && c.stage != resting
		b.mu.Unlock()
		r := reply{err: errUnasked}
		if asked {
			r, keep = b.readAnswer(c)
		} else {
			keep = false
		}
		b.mu.Lock()
		waiter := c.waiter
		c.waiter = nil
		if waiter != nil && r.Reply.Rest != nil {
			c.passed, keep = true, false // whoever reads the rest has the connection from now on
		} else if waiter != nil && keep {
			c.since, c.took = r.At, r.At-c.begun
			if c.stage == written { // an answer that came early must not let another request into this one
				b.rest(c)
			}
		} else {
			keep = false
			b.drop(c)
		}
		b.mu.Unlock()
		if waiter != nil {
			waiter <- r
		}
	}
}

var errUnasked = errors.New("the server spoke or closed before it was asked")

// errCut says that an answer is not whole, or can't be told to be.
var errCut = errors.New("the answer is not whole")

// readAnswer reads one answer, and tells whether the connection is of further use. Only a whole 200 is a
// success. What can't be read may have run. An answer is good even if more follows that belongs to none,
// but then the next answer could not be told from that.
func (b *Back) readAnswer(c *conn) (reply, bool) {
	c.in.left = maxAnswer
	resp, err := http.ReadResponse(c.br, nil)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.br, nil)
	}
	if err != nil {
		return reply{err: fmt.Errorf("answer: %w", err)}, false
	}
	ok := resp.StatusCode == http.StatusOK
	// Without a length the connection's end in order ends the body (RFC 9112 section 6.3); a server that dies resets it.
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if ok && resp.ContentLength > maxPassed {
		return reply{err: errCut}, false
	}
	reusable := framed && !resp.Close
	r := reply{Outcome: engine.Outcome{At: b.clock.Now(), Load: b.load(resp.Header)}}
	if ok {
		r.Ending = woodpick.Success
		r.Reply = engine.Reply{ContentType: resp.Header.Get("Content-Type"), Length: resp.ContentLength}
	}
	if ok && resp.ContentLength > maxBody {
		r.Reply.Rest = b.rests(c, resp.Body, reusable)
		return r, false
	}
	var body []byte
	if ok || framed && resp.ContentLength <= maxBody {
		c.in.left += chunkOverhead * maxBody
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
		if ok && err != nil {
			return reply{err: errors.Join(errCut, err)}, false
		}
		r.At = b.clock.Now()
	}
	if ok {
		r.Reply.Body = body
		if len(body) > maxBody {
			r.Reply.Length, r.Reply.Rest = -1, b.rests(c, resp.Body, reusable)
			return r, false
		}
		return r, reusable && c.br.Buffered() == 0
	}
	r.Ending = woodpick.Failure
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Run") == "1" {
		r.Ending, r.Why = woodpick.Overloaded, resp.Header.Get(RefusedBy)
	}
	return r, err == nil && reusable && resp.ContentLength <= maxBody && len(body) <= maxBody && c.br.Buffered() == 0
}

// rests is what follows of an answer that passes through.
func (b *Back) rests(c *conn, body io.Reader, keep bool) io.ReadCloser {
	c.in.left = chunkOverhead * maxPassed
	return &stream{back: b, conn: c, body: body, left: maxPassed, keep: keep}
}

// rawConn is the connection below the runtime's, or nil if there is none.
func rawConn(nc net.Conn) syscall.RawConn {
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// peek looks into the kernel's buffer of a connection: whether its other side has said something that
// was not read yet, or has closed.
func peek(fd uintptr) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// awaitBytes waits until a connection has bytes to read, has been closed by either side, or has failed.
func awaitBytes(nc net.Conn) {
	if raw := rawConn(nc); raw != nil {
		raw.Read(peek) // an error shows at the next read
	}
}

// spokenOrClosed asks the same without waiting.
func spokenOrClosed(nc net.Conn) (is bool) {
	raw := rawConn(nc)
	if raw == nil {
		return false
	}
	// Control and not Read: the connection's reader holds the lock that Read takes.
	err := raw.Control(func(fd uintptr) { is = peek(fd) })
	return is || err != nil
}

// Servers follows the list: idle connections to a server that left, drains or started anew are closed.
func (b *Back) Servers(targets []discovery.Target, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	named := map[string]bool{}
	for _, t := range targets {
		named[t.ID] = true
		old, known := b.seen[t.ID]
		b.seen[t.ID] = t
		if known && (t.State != woodpick.Ready || t.Host() != old.Host()) {
			b.dropIdle(old.Host())
		}
		if t.State == woodpick.Gone {
			delete(b.seen, t.ID)
		}
	}
	for id, t := range b.seen {
		if full && !named[id] {
			b.dropIdle(t.Host())
			delete(b.seen, id)
		}
	}
}

// LetGo implements engine.Backend.
func (b *Back) LetGo(h discovery.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropIdle(h)
}

// dropIdle closes the idle connections to a host. The caller holds mu.
func (b *Back) dropIdle(h discovery.Host) {
	for free := b.idle[h]; len(free) > 0; free = b.idle[h] {
		b.drop(free[len(free)-1])
	}
}

// Sweep closes connections that have been idle for too long, until ctx ends.
func (b *Back) Sweep(ctx context.Context) {
	for {
		b.mu.Lock()
		keep := b.limits.keep()
		for _, free := range b.idle {
			for len(free) > 0 && b.clock.Now()-free[0].since >= keep {
				c := free[0]
				b.drop(c)
				free = b.idle[c.to]
			}
		}
		b.mu.Unlock()
		if clock.Sleep(ctx, max(keep/20, time.Millisecond)); ctx.Err() != nil {
			return
		}
	}
}
