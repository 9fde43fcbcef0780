package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Times of a watch. An agent that is silent answers nothing, not even once it is back, so a call is
// given up on a little after its hold is over: the hold bounds how long news can go unheard.
const (
	watchHold    = 2 * time.Second
	watchGrace   = 500 * time.Millisecond
	backoffFirst = 50 * time.Millisecond
	backoffMost  = time.Second
	maxList      = 16 << 20
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
	Hold   time.Duration // how long a call may wait for news
	Grace  time.Duration // and how much longer it is waited for

	mu sync.Mutex
	at *place // where the list is watched now
}

// place is an address of discovery, with all that holds there only.
type place struct {
	ctx    context.Context // ends when the watch moves elsewhere
	leave  context.CancelFunc
	addr   string
	client *http.Client
	rev    int64 // the version held; -1: none, so the whole list is asked for
}

func newPlace(addr string, rev int64) *place {
	p := &place{addr: addr, rev: rev,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true}}}
	p.ctx, p.leave = context.WithCancel(context.Background())
	return p
}

// NewWatch returns a Watch of the registry at addr that goes on from the version rev of its list; -1: from
// none. It asks nothing before Push or Ask.
func NewWatch(addr string, rev int64, sink Sink, log *slog.Logger) *Watch {
	return &Watch{sink: sink, log: log, at: newPlace(addr, rev),
		wanted: make(chan struct{}, 1), Hold: watchHold, Grace: watchGrace}
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

// Push watches from the start until ctx ends. The next call follows each answer at once: a watch is
// lost when it is late. Only after a failure it waits, for twice as long each time up to a bound.
func (w *Watch) Push(ctx context.Context) {
	defer w.closeIdle()
	wait := backoffFirst
	for ctx.Err() == nil {
		p := w.place()
		err := w.watch(ctx, p)
		switch {
		case err == nil || p.ctx.Err() != nil:
			wait = backoffFirst
			continue
		case ctx.Err() != nil:
			return
		case wait == backoffFirst:
			w.log.Warn("discovery does not answer; asking again", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-p.ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, backoffMost)
	}
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

// watch makes one call and posts what it tells.
func (w *Watch) watch(ctx context.Context, p *place) error {
	ctx, cancel := context.WithTimeout(ctx, w.Hold+w.Grace)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	u := url.URL{Scheme: "http", Host: p.addr, Path: "/registry/instances"}
	if p.rev >= 0 {
		u.RawQuery = url.Values{"from": {strconv.FormatInt(p.rev, 10)},
			"hold_ms": {strconv.FormatInt(w.Hold.Milliseconds(), 10)}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	l, err := Parse(text)
	if err == nil && !l.Full && l.Rev < p.rev {
		err = fmt.Errorf("list: rev %d comes after %d", l.Rev, p.rev)
	}
	if err != nil {
		p.rev = -1 // what the dropped answer told is missing: the whole list mends that
		return err
	}
	p.rev = l.Rev
	if !l.Full && len(l.Targets) == 0 {
		return nil // a hold that ended without news
	}
	if p.ctx.Err() == nil {
		w.sink.TakeList(l)
	}
	return nil
}
