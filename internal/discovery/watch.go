package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Times of a watch. An agent that is silent answers nothing, not even once it is back, so a call is doubted a little
// after its hold is over: the two together bound how long what the agent has can go unheard once it is back.
//
// An agent is on the node's own machine, answers at once and at no cost, and what it has counts as told at once: it is
// asked three times a second. A service that all nodes ask has a cost, and is held to another clock (6 s after it fell
// silent, or 2 s after a hold).
const (
	agentHold    = 300 * time.Millisecond
	agentGrace   = 100 * time.Millisecond
	serviceHold  = 2 * time.Second
	serviceGrace = 500 * time.Millisecond
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 200 * time.Millisecond // of an agent that fails at once
	maxList      = 16 << 20

	// mostCalls are open at an agent at once: while it is silent each doubted call stays open beside the next ones, for
	// a node that is short of processor time may only be late to read an answer.
	mostCalls = 3
)

// Sink is told what a watch finds. Its methods may block for a moment only.
type Sink interface {
	TakeList(List)
	ListFailed() // a subscription could not be made, or broke
}

// Watch follows the list of servers at the registry and tells its changes.
type Watch struct {
	sink   Sink
	log    *slog.Logger
	wanted chan struct{}
	Hold   time.Duration // how long a call may wait for news; 0: as fits how the registry is asked
	Grace  time.Duration // and how much later it is doubted

	mu sync.Mutex
	at *place // where the list is watched now
}

// place is an address of discovery, with all that holds there only.
type place struct {
	ctx    context.Context // ends when the watch moves elsewhere
	leave  context.CancelFunc
	addr   string
	client *http.Client
	rev    int64 // the version held; -1: none, so the whole list is asked for. It belongs to Push or Ask
}

func newPlace(addr string, rev int64) *place {
	p := &place{addr: addr, rev: rev,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: mostCalls, DisableCompression: true}}}
	p.ctx, p.leave = context.WithCancel(context.Background())
	return p
}

// NewWatch returns a Watch of the registry at addr that goes on from the version rev of its list; -1: from
// none. It asks nothing before Push or Ask.
func NewWatch(addr string, rev int64, sink Sink, log *slog.Logger) *Watch {
	return &Watch{sink: sink, log: log, at: newPlace(addr, rev), wanted: make(chan struct{}, 1)}
}

func (w *Watch) place() *place {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.at
}

// Move watches another address from now on. Versions count anew there, so its whole list is asked for;
// what the node holds stays in use until that has come. A call to the old address ends.
func (w *Watch) Move(addr string) {
	w.mu.Lock()
	old := w.at
	if old.addr == addr {
		w.mu.Unlock()
		return
	}
	w.at = newPlace(addr, -1)
	w.mu.Unlock()
	old.leave()
	old.client.CloseIdleConnections()
}

// closeIdle leaves no connection behind.
func (w *Watch) closeIdle() { w.place().client.CloseIdleConnections() }

// Subscribe starts a watch where discovery is asked. It never blocks.
func (w *Watch) Subscribe() {
	select {
	case w.wanted <- struct{}{}:
	default:
	}
}

// Push watches an agent from the start until ctx ends. The next call follows each answer at once: a watch is
// lost when it is late.
func (w *Watch) Push(ctx context.Context) {
	defer w.closeIdle()
	for ctx.Err() == nil {
		w.follow(ctx, w.place())
	}
}

// ending is how a call ended.
type ending struct {
	list List
	err  error
}

// follow watches an agent at one place until the watch moves or ctx ends. A call that has said nothing by the end of
// its hold and grace is doubted: another is made beside it, and whichever answers first counts. The others end with
// it, so that news never comes out of order. After a failure that came at once it waits a little.
func (w *Watch) follow(ctx context.Context, p *place) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	defer context.AfterFunc(p.ctx, end)()
	hold, grace := w.times(agentHold, agentGrace)
	wait, silent := backoffFirst, false
	for ctx.Err() == nil {
		round, over := context.WithCancel(ctx)
		answers := make(chan ending, mostCalls)
		var calls []context.CancelFunc // that are open, the oldest first
		call := func() {
			if len(calls) == mostCalls {
				calls[0]()
				calls = calls[1:]
			}
			one, cancel := context.WithCancel(round)
			calls = append(calls, cancel)
			go func(rev int64) {
				l, err := w.call(one, p, rev, hold)
				if one.Err() == nil || err == nil {
					select {
					case answers <- ending{l, err}:
					default: // another one's answer counts
					}
				}
			}(p.rev)
		}
		call()
		doubt := time.NewTicker(hold + grace)
		var t ending
		for waiting := true; waiting; {
			select {
			case t = <-answers:
				waiting = false
			case <-doubt.C:
				if !silent {
					silent = true
					w.log.Warn("discovery is silent; asking again")
				}
				call()
			case <-ctx.Done():
				t.err, waiting = ctx.Err(), false
			}
		}
		doubt.Stop()
		over()
		if ctx.Err() != nil {
			return
		}
		if w.take(p, t.list, t.err) {
			wait, silent = backoffFirst, false
			continue
		}
		if wait == backoffFirst {
			w.log.Warn("discovery does not answer; asking again", "error", t.err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, backoffMost)
	}
}

// times are the hold and the grace of a call.
func (w *Watch) times(hold, grace time.Duration) (time.Duration, time.Duration) {
	if w.Hold > 0 {
		hold = w.Hold
	}
	if w.Grace > 0 {
		grace = w.Grace
	}
	return hold, grace
}

// Ask serves Subscribes until ctx ends: a watch that goes on until it fails, which is reported once.
func (w *Watch) Ask(ctx context.Context) {
	defer w.closeIdle()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wanted:
		}
		for ctx.Err() == nil {
			p := w.place()
			if err := w.watch(ctx, p); err != nil && p.ctx.Err() == nil {
				if ctx.Err() == nil {
					w.log.Warn("the subscription failed", "error", err)
					w.sink.ListFailed()
				}
				break
			}
		}
	}
}

// watch makes one call to a service, gives it up where it stays silent, and passes on what it tells.
func (w *Watch) watch(ctx context.Context, p *place) error {
	hold, grace := w.times(serviceHold, serviceGrace)
	ctx, cancel := context.WithTimeout(ctx, hold+grace)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	l, err := w.call(ctx, p, p.rev, hold)
	w.take(p, l, err)
	return err
}

// take passes on what a call told, and goes on from there. It tells whether the call told anything that could be read.
func (w *Watch) take(p *place, l List, err error) bool {
	if err != nil {
		if errors.Is(err, errMalformed) {
			p.rev = -1 // what the dropped answer told is missing: the whole list mends that
		}
		return false
	}
	p.rev = l.Rev
	if p.ctx.Err() == nil && (l.Full || len(l.Targets) > 0) { // else a hold has ended without news
		w.sink.TakeList(l)
	}
	return true
}

// errMalformed is of an answer that came and can't be read.
var errMalformed = errors.New("malformed")

// call asks for what is newer than a version, and waits for that as long as ctx goes on.
func (w *Watch) call(ctx context.Context, p *place, rev int64, hold time.Duration) (List, error) {
	u := url.URL{Scheme: "http", Host: p.addr, Path: "/registry/instances"}
	if rev >= 0 {
		u.RawQuery = url.Values{"from": {strconv.FormatInt(rev, 10)},
			"hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	l, err := Parse(text)
	if err == nil && !l.Full && l.Rev < rev {
		err = fmt.Errorf("list: rev %d comes after %d", l.Rev, rev)
	}
	if err != nil {
		return List{}, fmt.Errorf("watch: %w: %w", errMalformed, err)
	}
	return l, nil
}
