package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/clock"
)

// Times of a watch. An agent that is silent answers nothing, not even once it is back, so a poll is doubted a little
// after its hold is over: the two together bound how long what the agent has can go unheard once it is back.
//
// An agent is on the node's own machine, answers at once and at no cost, and what it has counts as told at once: it is
// asked three times a second. A service that all nodes ask has a cost, and is held to another clock (6 s after it fell
// silent, or 2 s after a hold). It may also be slow, for it works through polls in turn.
const (
	agentLongPoll   = 300 * time.Millisecond
	agentGrace      = 100 * time.Millisecond
	serviceLongPoll = 2 * time.Second
	serviceGrace    = 500 * time.Millisecond
	backoffInitial  = 50 * time.Millisecond
	backoffMax      = 200 * time.Millisecond // of an agent that fails at once
	maxList         = 16 << 20

	// maxPolls are open at once: while discovery is silent each doubted poll stays open beside the next ones, for a
	// service may only be slow to answer, and a node that is short of processor time late to read it.
	maxPolls = 3
)

// Sink is told what a watch finds. Its methods may block for a moment only.
type Sink interface {
	UpdateList(List)
	ListFailed() // a subscription could not be made, or broke
}

// Watch follows the list of servers at the registry and tells its changes.
type Watch struct {
	sink            Sink
	log             *slog.Logger
	wanted          chan struct{}
	LongPollTimeout time.Duration // how long a poll may wait for news; 0: as fits how the registry is asked
	Grace           time.Duration // and how much later it is doubted
	failed          bool          // the last call to a service. It belongs to Ask
	began           time.Time     // spans since then order what was heard: the wall clock may be stepped

	mu sync.Mutex
	at *agent // where the list is watched now
}

// agent is an address of discovery, with all that holds there only.
type agent struct {
	ctx    context.Context // ends when the watch moves elsewhere
	leave  context.CancelFunc
	addr   string
	client *http.Client
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	rev    int64 // the version held; -1: none, so the full list is asked for. It belongs to Push or Ask
}

func newAgent(addr string, rev int64) *agent {
	p := &agent{addr: addr, rev: rev, dial: (&net.Dialer{}).DialContext}
	p.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: maxPolls, DisableCompression: true, DialContext: p.connect}}
	p.ctx, p.leave = context.WithCancel(context.Background())
	return p
}

// pollKey is under which a poll's context holds itself, for connect.
type pollKey struct{}

// connect opens a connection for a poll, and gives up with it. Left to itself http.Transport goes on for as long as the
// system does, minutes on a network that drops what is sent, and each such connection counts among the few that it opens.
func (p *agent) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	if request, ok := ctx.Value(pollKey{}).(context.Context); ok {
		ctx = request
	}
	return p.dial(ctx, network, addr)
}

// NewWatch returns a Watch of the registry at addr that goes on from the version rev of its list; -1: from
// none. It asks nothing before Push or Ask.
func NewWatch(addr string, rev int64, sink Sink, log *slog.Logger) *Watch {
	return &Watch{sink: sink, log: log, at: newAgent(addr, rev), wanted: make(chan struct{}, 1), began: time.Now()}
}

func (w *Watch) agent() *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.at
}

// SetAddress watches another address from now on. Versions count anew there, so its complete list is asked for;
// what the node holds stays in use until that has come. A poll to the old address ends.
func (w *Watch) SetAddress(addr string) {
	w.mu.Lock()
	old := w.at
	if old.addr == addr {
		w.mu.Unlock()
		return
	}
	w.at = newAgent(addr, -1)
	w.at.dial = old.dial
	w.mu.Unlock()
	old.leave()
	old.client.CloseIdleConnections()
}

// closeIdle leaves no connection behind.
func (w *Watch) closeIdle() { w.agent().client.CloseIdleConnections() }

// Subscribe starts a watch where discovery is asked. It never blocks.
func (w *Watch) Subscribe() {
	select {
	case w.wanted <- struct{}{}:
	default:
	}
}

// DialBy has connections be opened by something else than a net.Dialer, as tests do, as long as the watch does not move. It comes
// before Push and Ask.
func (w *Watch) DialBy(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	w.agent().dial = dial
}

// Push watches an agent from the start until ctx ends. The next poll follows each answer at once: a watch is
// lost when it is late.
func (w *Watch) Push(ctx context.Context) {
	defer w.closeIdle()
	for ctx.Err() == nil {
		w.follow(ctx, w.agent())
	}
}

// pollResult is how a poll ended.
type pollResult struct {
	call *openPoll
	list List
	err  error
}

// openPoll is a poll that has not ended.
type openPoll struct {
	cancel     context.CancelFunc
	begun      time.Time
	progressAt atomic.Int64 // ns from Watch.began until bytes of its answer were read last; 0: none were
}

// round are the polls that are open beside one another, until one of them is answered.
type round struct {
	watch   *Watch
	at      *agent
	hold    time.Duration
	answers chan pollResult
	calls   []*openPoll
}

// call makes one more poll. Where too many are open already one of them ends.
func (r *round) call(ctx context.Context) {
	if len(r.calls) == maxPolls {
		r.endOne()
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &openPoll{cancel: cancel, begun: time.Now()}
	r.calls = append(r.calls, c)
	go func(rev int64) {
		l, err := r.watch.poll(ctx, r.at, rev, r.hold, func() { c.progressAt.Store(int64(max(1, time.Since(r.watch.began)))) })
		if ctx.Err() == nil || err == nil {
			select {
			case r.answers <- pollResult{c, l, err}:
			default: // another one's answer counts
			}
		}
	}(r.at.rev)
}

// endOne ends the poll of least promise: the oldest of those whose answer has not begun to come, or else the one that was
// silent for longest. A list that comes in pieces may take longer than others are waited for.
func (r *round) endOne() {
	least := slices.MinFunc(r.calls, func(a, b *openPoll) int {
		return cmp.Or(cmp.Compare(a.progressAt.Load(), b.progressAt.Load()), a.begun.Compare(b.begun))
	})
	least.cancel()
	r.calls = slices.DeleteFunc(r.calls, func(c *openPoll) bool { return c == least })
}

// hopes tells whether a poll is open that may still be answered where another has failed: a later one, or one whose
// answer is coming.
func (r *round) hopes(failed *openPoll) bool {
	return slices.ContainsFunc(r.calls, func(c *openPoll) bool {
		return c != failed && (c.begun.After(failed.begun) || c.progressAt.Load() > 0)
	})
}

// wait returns the first answer, or the failure that leaves no hope of one. Each time that there is none within the hold
// and the grace another poll is made.
func (r *round) wait(ctx context.Context, patience time.Duration, doubted func()) pollResult {
	suspicion := time.NewTicker(patience)
	defer suspicion.Stop()
	for {
		select {
		case e := <-r.answers:
			if e.err == nil || !r.hopes(e.call) {
				return e
			}
			r.calls = slices.DeleteFunc(r.calls, func(c *openPoll) bool { return c == e.call })
		case <-suspicion.C:
			doubted()
			r.call(ctx)
		case <-ctx.Done():
			return pollResult{err: ctx.Err()}
		}
	}
}

// follow watches an agent at one place until the watch moves or ctx ends. A poll that has said nothing by the end of
// its hold and grace is doubted: another is made beside it, and whichever answers first counts. The others end with
// it, so that news never comes out of order. After a failure that came at once it waits a little.
func (w *Watch) follow(ctx context.Context, p *agent) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	defer context.AfterFunc(p.ctx, end)()
	hold, grace := w.times(agentLongPoll, agentGrace)
	pause, silent := backoffInitial, false
	doubted := func() {
		if !silent {
			silent = true
			w.log.Warn("discovery is silent; polling again")
		}
	}
	for ctx.Err() == nil {
		requests, over := context.WithCancel(ctx)
		r := &round{watch: w, at: p, hold: hold, answers: make(chan pollResult, maxPolls)}
		r.call(requests)
		e := r.wait(requests, hold+grace, doubted)
		over()
		if ctx.Err() != nil {
			return
		}
		if w.take(p, e.list, e.err) {
			pause, silent = backoffInitial, false
			continue
		}
		if pause == backoffInitial {
			w.log.Warn("discovery does not answer; polling again", "error", e.err)
		}
		clock.Sleep(ctx, pause)
		pause = min(2*pause, backoffMax)
	}
}

// times are the hold and the grace of a poll.
func (w *Watch) times(hold, grace time.Duration) (time.Duration, time.Duration) {
	if w.LongPollTimeout > 0 {
		hold = w.LongPollTimeout
	}
	if w.Grace > 0 {
		grace = w.Grace
	}
	return hold, grace
}

// Poll serves Subscribes until ctx ends: a watch that goes on until it fails, which is reported once.
func (w *Watch) Poll(ctx context.Context) {
	defer w.closeIdle()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wanted:
		}
		for ctx.Err() == nil {
			p := w.agent()
			if err := w.watch(ctx, p); err != nil && p.ctx.Err() == nil {
				if ctx.Err() == nil {
					w.log.Warn("the subscription failed", "error", err)
					w.failed = true
					w.sink.ListFailed()
				}
				break
			}
		}
	}
}

// watch asks a service once, and passes on what it tells. Where it stays silent it is asked again beside the open poll:
// to give that up and wait in turn anew would take most of the time after which a change counts as told. After a failure
// an answer is told also where it is no news: whoever waits longer after each failure is to know that this is over.
func (w *Watch) watch(ctx context.Context, p *agent) error {
	hold, grace := w.times(serviceLongPoll, serviceGrace)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	r := &round{watch: w, at: p, hold: hold, answers: make(chan pollResult, maxPolls)}
	r.call(ctx)
	e := r.wait(ctx, hold+grace, func() { w.log.Warn("discovery is silent; polling again") })
	if w.take(p, e.list, e.err) && w.failed {
		w.failed = false
		if !expectNotified(e.list) {
			w.sink.UpdateList(e.list)
		}
	}
	return e.err
}

// expectNotified says that a list is news, and not the end of a hold without any.
func expectNotified(l List) bool { return l.Full || len(l.Targets) > 0 }

// take passes on what a poll told, and goes on from there. It tells whether the poll told anything that could be read.
func (w *Watch) take(p *agent, l List, err error) bool {
	if err != nil {
		if errors.Is(err, errMalformed) {
			p.rev = -1 // what the dropped answer told is missing: the full list mends that
		}
		return false
	}
	p.rev = l.Rev
	if p.ctx.Err() == nil && expectNotified(l) {
		w.sink.UpdateList(l)
	}
	return true
}

// errMalformed is of an answer that came and can't be read.
var errMalformed = errors.New("malformed")

// poll asks for what is newer than a version, and waits for that as long as ctx goes on. heard is called whenever a part
// of the answer has come.
func (w *Watch) poll(ctx context.Context, p *agent, rev int64, hold time.Duration, heard func()) (List, error) {
	u := url.URL{Scheme: "http", Host: p.addr, Path: "/registry/instances"}
	if rev >= 0 {
		u.RawQuery = url.Values{"from": {strconv.FormatInt(rev, 10)},
			"hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}.Encode()
	}
	req, err := http.NewRequestWithContext(context.WithValue(ctx, pollKey{}, ctx), http.MethodGet, u.String(), nil)
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	heard()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(progressReader{resp.Body, heard}, maxList))
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	l, err := Parse(text)
	switch {
	case err != nil || l.Full:
	case rev < 0:
		err = errors.New("list: changes without the whole list that was asked for")
	case l.Rev < rev:
		err = fmt.Errorf("list: rev %d comes after %d", l.Rev, rev)
	}
	if err != nil {
		return List{}, fmt.Errorf("watch: %w: %w", errMalformed, err)
	}
	return l, nil
}

// progressReader tells of each part that it reads.
type progressReader struct {
	io.Reader
	progress func()
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.progress()
	}
	return n, err
}
