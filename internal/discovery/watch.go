package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"
)

// Times of a watch. An agent that is silent answers nothing, not even once it is back, so another poll is made a little
// after the long poll's time is over: the two together bound how long a change can go unheard once the agent is back.
//
// An agent is on the node's own machine, answers at once and at no cost, and a change counts as heard at once: it is polled
// three times a second. A service that all nodes poll has a cost, and has more time (6 s after it fell silent, or 2 s after
// a long poll). It may also be slow, for it works through polls in turn.
const (
	agentLongPoll   = 300 * time.Millisecond
	agentGrace      = 100 * time.Millisecond
	serviceLongPoll = 2 * time.Second
	serviceGrace    = 500 * time.Millisecond
	backoffInitial  = 50 * time.Millisecond
	backoffMax      = 200 * time.Millisecond // of an agent that fails at once
	maxListBytes    = 16 << 20

	// maxPolls are open at once: while discovery is silent each late poll stays open beside the next ones, for a
	// service may only be slow to answer, and a node that is short of processor time late to read it.
	maxPolls = 3
)

// noRevision is the revision of a watch that holds no list: the full one is asked for.
const noRevision = -1

// Sink gets what a watch finds. Its methods may block for a moment only.
type Sink interface {
	// UpdateList brings an update of the endpoint list.
	UpdateList(List)
	// ListFailed says that a subscription could not be made, or broke.
	ListFailed()
}

// Watch follows the endpoint list at the registry and tells its Sink of changes. Push or Poll is its one loop; the other
// methods may be called by any goroutine.
type Watch struct {
	// LongPollTimeout is how long a poll may wait for a change; 0: as fits the mode. It must not be set after Push or
	// Poll, nor must Grace.
	LongPollTimeout time.Duration
	// Grace is how long after that another poll is made beside one that is silent; 0: as fits the mode.
	Grace time.Duration

	sink           Sink
	log            *slog.Logger
	subscriptions  chan struct{} // has capacity for one
	lastPollFailed bool          // belongs to Poll
	epoch          time.Time     // spans since then order what was heard: the wall clock may be stepped

	mu      sync.Mutex
	current *agent // where the list is watched now
}

// NewWatch returns a Watch of the registry at addr that goes on from the revision rev of its list; -1: from
// none. It polls nothing before Push or Poll.
func NewWatch(addr string, rev int64, sink Sink, log *slog.Logger) *Watch {
	return &Watch{
		sink:          sink,
		log:           log,
		subscriptions: make(chan struct{}, 1),
		epoch:         time.Now(),
		current:       newAgent(addr, rev),
	}
}

// agent returns where the list is watched now.
func (w *Watch) agent() *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// SetAddress watches another address from now on. Revisions count anew there, so its full list is asked for; the list that
// the node has stays in use until that has come. A poll to the old address ends.
func (w *Watch) SetAddress(addr string) {
	old := w.replaceAgent(addr)
	if old == nil {
		return
	}
	old.abandon()
	old.client.CloseIdleConnections()
}

// replaceAgent makes another address the current one. It returns the agent of the old one, or nil if they are the same.
func (w *Watch) replaceAgent(addr string) *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.current
	if old.addr == addr {
		return nil
	}
	w.current = newAgent(addr, noRevision)
	w.current.dial = old.dial
	return old
}

// closeIdle closes the idle connections to the current address.
func (w *Watch) closeIdle() { w.agent().client.CloseIdleConnections() }

// DialBy has connections be opened by something else than a net.Dialer, as tests do, also after SetAddress. It must be
// called before Push or Poll.
func (w *Watch) DialBy(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	w.agent().dial = dial
}

// pollTimes are the times of a poll.
type pollTimes struct {
	longPoll time.Duration // how long discovery may wait for a change
	grace    time.Duration // how long after that another poll is made
}

// patience is how long a poll may be silent before another one is made beside it.
func (t pollTimes) patience() time.Duration { return t.longPoll + t.grace }

// times returns the times of polls: those that were set, or else the defaults of the mode.
func (w *Watch) times(longPoll, grace time.Duration) pollTimes {
	if w.LongPollTimeout > 0 {
		longPoll = w.LongPollTimeout
	}
	if w.Grace > 0 {
		grace = w.Grace
	}
	return pollTimes{longPoll: longPoll, grace: grace}
}

// deliver passes a list on and has the next poll ask for changes since. It returns false where the poll failed.
func (w *Watch) deliver(a *agent, list List, err error) bool {
	if errors.Is(err, errMalformed) {
		a.revision = noRevision // what the dropped answer said is missing: the full list mends that
	}
	if err != nil {
		return false
	}
	a.revision = list.Rev
	if a.ctx.Err() == nil && list.hasChanges() {
		w.sink.UpdateList(list)
	}
	return true
}
