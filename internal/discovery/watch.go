package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"
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
	maxListBytes    = 16 << 20

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
	subscriptions   chan struct{}
	LongPollTimeout time.Duration // how long a poll may wait for news; 0: as fits how the registry is asked
	Grace           time.Duration // and how much later it is doubted
	lastPollFailed  bool          // the last call to a service. It belongs to Ask
	epoch           time.Time     // spans since then order what was heard: the wall clock may be stepped

	mu      sync.Mutex
	current *agent // where the list is watched now
}

// NewWatch returns a Watch of the registry at addr that goes on from the version rev of its list; -1: from
// none. It asks nothing before Push or Ask.
func NewWatch(addr string, rev int64, sink Sink, log *slog.Logger) *Watch {
	return &Watch{sink: sink, log: log, current: newAgent(addr, rev), subscriptions: make(chan struct{}, 1), epoch: time.Now()}
}

func (w *Watch) agent() *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// SetAddress watches another address from now on. Versions count anew there, so its complete list is asked for;
// what the node holds stays in use until that has come. A poll to the old address ends.
func (w *Watch) SetAddress(addr string) {
	w.mu.Lock()
	old := w.current
	if old.addr == addr {
		w.mu.Unlock()
		return
	}
	w.current = newAgent(addr, -1)
	w.current.dial = old.dial
	w.mu.Unlock()
	old.abandon()
	old.client.CloseIdleConnections()
}

// closeIdle leaves no connection behind.
func (w *Watch) closeIdle() { w.agent().client.CloseIdleConnections() }

// Subscribe starts a watch where discovery is asked. It never blocks.
func (w *Watch) Subscribe() {
	select {
	case w.subscriptions <- struct{}{}:
	default:
	}
}

// DialBy has connections be opened by something else than a net.Dialer, as tests do, as long as the watch does not move. It comes
// before Push and Ask.
func (w *Watch) DialBy(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	w.agent().dial = dial
}

// timeouts are the hold and the grace of a poll.
func (w *Watch) timeouts(hold, grace time.Duration) (time.Duration, time.Duration) {
	if w.LongPollTimeout > 0 {
		hold = w.LongPollTimeout
	}
	if w.Grace > 0 {
		grace = w.Grace
	}
	return hold, grace
}

// deliver passes on what a poll told, and goes on from there. It tells whether the poll told anything that could be read.
func (w *Watch) deliver(p *agent, l List, err error) bool {
	if err != nil {
		if errors.Is(err, errMalformed) {
			p.revision = -1 // what the dropped answer told is missing: the full list mends that
		}
		return false
	}
	p.revision = l.Rev
	if p.ctx.Err() == nil && hasChanges(l) {
		w.sink.UpdateList(l)
	}
	return true
}
