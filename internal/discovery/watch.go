package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"
)

// Limits of a watch. An agent that was silent never answers the polls of that time, not even after it recovers, so another
// poll is started a grace period after the long poll's timeout. The two together bound how long a change may go unnoticed
// after the agent recovers.
//
// An agent runs on the node's own machine, answers at once at no cost, and has to deliver changes at once: it is polled
// three times a second. A service is shared by all nodes, so polls have a cost, and its changes have more time to arrive
// (6 s after it fell silent, or 2 s after a long poll). It may also be slow, since it handles polls one after another.
const (
	agentLongPoll   = 300 * time.Millisecond
	agentGrace      = 100 * time.Millisecond
	serviceLongPoll = 2 * time.Second
	serviceGrace    = 500 * time.Millisecond
	backoffInitial  = 50 * time.Millisecond
	backoffMax      = 200 * time.Millisecond // between polls of an agent that fails at once
	maxListBytes    = 16 << 20

	// maxPolls bounds the concurrent polls. While discovery is silent, overdue polls stay open beside the next ones,
	// because the service may just be slow to answer, or a node short of processor time may be late to read the answer.
	maxPolls = 3
)

// noRevision is the revision of a watch that holds no list and therefore requests the full one.
const noRevision = -1

// Sink receives the updates of a Watch. Its methods must not block for long.
type Sink interface {
	// UpdateList is called with each update of the endpoint list.
	UpdateList(List)
	// ListFailed is called when a subscription could not be made or was interrupted.
	ListFailed()
}

// Watch follows the endpoint list of the registry and notifies its Sink of changes. Exactly one of Push and Poll runs, in one
// goroutine; the other methods may be called by any goroutine.
type Watch struct {
	// LongPollTimeout is how long discovery may hold a poll to wait for a change; 0: the default of the mode. Neither it
	// nor Grace may be set once Push or Poll was called.
	LongPollTimeout time.Duration
	// Grace is how long after that timeout another poll is started beside an unanswered one; 0: the default of the mode.
	Grace time.Duration

	sink           Sink
	log            *slog.Logger
	subscriptions  chan struct{} // of capacity 1
	lastPollFailed bool          // used only by the goroutine of Poll
	epoch          time.Time     // the progress of polls is measured from here by the monotonic clock, since the wall clock may be stepped

	mu      sync.Mutex
	current *agent // the agent that is followed now
}

// NewWatch returns a Watch of the registry at addr that continues from revision rev of its list; -1: the node holds no
// list. It does not poll before Push or Poll is called.
func NewWatch(addr string, rev int64, sink Sink, log *slog.Logger) *Watch {
	return &Watch{
		sink:          sink,
		log:           log,
		subscriptions: make(chan struct{}, 1),
		epoch:         time.Now(),
		current:       newAgent(addr, rev),
	}
}

// agent returns the agent that is followed now.
func (w *Watch) agent() *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// SetAddress moves the watch to another address. Its revisions are unrelated to those of the old one, so the full list is
// requested; the current list stays in use until that arrives. Polls to the old address are cancelled.
func (w *Watch) SetAddress(addr string) {
	old := w.replaceAgent(addr)
	if old == nil {
		return
	}
	old.cancel()
	old.client.CloseIdleConnections()
}

// replaceAgent sets the current address. It returns the agent of the old address, or nil if the address is unchanged.
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

// SetDialer replaces the net.Dialer that opens connections, also for later addresses. It is meant for tests and must be
// called before Push or Poll.
func (w *Watch) SetDialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	w.agent().dial = dial
}

// pollTimeouts are the time limits of a poll.
type pollTimeouts struct {
	longPoll time.Duration // how long discovery may hold the poll to wait for a change
	grace    time.Duration // how long after that another poll is started
}

// silenceTimeout returns how long a poll may go unanswered before another one is started beside it.
func (t pollTimeouts) silenceTimeout() time.Duration { return t.longPoll + t.grace }

// pollTimes returns the timeouts that were set on the Watch, or else the defaults of the mode.
func (w *Watch) pollTimes(longPoll, grace time.Duration) pollTimeouts {
	if w.LongPollTimeout > 0 {
		longPoll = w.LongPollTimeout
	}
	if w.Grace > 0 {
		grace = w.Grace
	}
	return pollTimeouts{longPoll: longPoll, grace: grace}
}

// deliver passes the list of a poll to the Sink and sets the revision from which the next poll asks for changes. It reports
// whether the poll succeeded.
func (w *Watch) deliver(a *agent, list List, err error) bool {
	if errors.Is(err, errMalformedAnswer) {
		a.revision = noRevision // the changes in the rejected answer are missing, so the full list is requested
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
