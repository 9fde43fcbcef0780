// Package engine drives one Balancer: requests go in, attempts go out, outcomes come back and each request gets
// exactly one final answer. It knows no protocol and decides nothing: it carries out what the module decides,
// through a Backend, and tells it what happened when it happened.
package engine

import (
	"log/slog"
	"sync/atomic"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
)

// Options are what an Engine is made of.
type Options struct {
	Settings  balancer.Settings
	Seed      uint64 // for the module's draws
	Clock     clock.Clock
	Backend   Backend
	Subscribe func()       // has discovery asked for the list; must not block
	Pushed    bool         // lists are pushed
	Report    func() []any // more for the log's report
	Count     bool         // Sight is wanted
	Log       *slog.Logger
}

// Engine has the only goroutine that touches its Balancer. It never blocks on I/O: answers go to channels
// with room, and attempts run in goroutines of their own.
type Engine struct {
	clock     clock.Clock
	balancer  *balancer.Balancer
	backend   Backend
	events    chan event
	subscribe func()
	pushed    bool
	logFields func() []any
	log       *slog.Logger

	moduleTime      time.Duration
	pending         map[string]*pendingRequest
	timers          timerHeap
	listRevision    int64 // of the list
	servers         map[string]discovery.Target
	shutdownAt      time.Duration // clock time of the last call to come; 0: none is known
	shuttingDown    bool          // after answerAll
	retiring        bool          // after retire
	ready           atomic.Bool   // a listed server may be sent to
	sinceLog        trafficCounts
	totals          Totals
	collector       *statsCollector // nil: nobody wants Sight
	slowStartWindow time.Duration
	starts          discovery.Starts
	done            chan struct{} // closed once Run has returned
}

// New returns an Engine that knows no servers yet and does nothing before Run. The error names the setting
// at fault.
func New(o Options) (*Engine, error) {
	b, err := balancer.New(o.Settings, o.Seed)
	if err != nil {
		return nil, err
	}
	if o.Report == nil {
		o.Report = func() []any { return nil }
	}
	eng := &Engine{clock: o.Clock, balancer: b, backend: o.Backend, subscribe: o.Subscribe, pushed: o.Pushed,
		logFields: o.Report, log: o.Log, events: make(chan event, 1024),
		pending: map[string]*pendingRequest{}, servers: map[string]discovery.Target{}, done: make(chan struct{}),
		slowStartWindow: o.Settings.SlowStartWindow}
	if o.Count {
		eng.collector = newStatsCollector()
	}
	return eng, nil
}

// Submit takes a request over: its answer comes on its channel. It must not be called once Retire was.
func (eng *Engine) Submit(c *Request) {
	c.mu.Lock()
	c.owner = eng
	c.mu.Unlock()
	eng.post(requestArrived{c})
}

// Reconfigure has the module decide by other settings from the next event on. Settings that New would refuse
// change nothing.
func (eng *Engine) Reconfigure(s balancer.Settings, pushed bool) { eng.post(reconfigure{s, pushed}) }

// Retire has Run return once every request that was taken is answered and its attempts have ended.
func (eng *Engine) Retire() { eng.post(retire{}) }

// Done is closed once Run has returned.
func (eng *Engine) Done() <-chan struct{} { return eng.done }

// Ready says that a listed server may be sent to.
func (eng *Engine) Ready() bool { return eng.ready.Load() }
