// Package engine drives one balancer.Balancer: requests go in, attempts go out, outcomes come back, and each request gets
// exactly one response.
//
// It owns the event loop (Engine.Run), the only goroutine that touches the Balancer, and with it the requests that have no
// response yet, the timers and the endpoint list as the Balancer knows it. It promises one response to each request that
// was submitted before Run returned, at most one attempt of a request in flight as the Balancer decides, and that the
// Balancer gets each event with the time at which it happened.
//
// It knows no protocol and decides nothing: decisions are the Balancer's, attempts are carried out by a Backend, requests
// come from front ends, and endpoint lists from package discovery.
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
	Seed      uint64 // for the random draws of the balancer
	Clock     clock.Clock
	Backend   Backend
	Subscribe func()       // asks for a watch of the endpoint list; must not block
	Pushed    bool         // endpoint lists are pushed, not polled for
	Report    func() []any // further attributes for the log on traffic; nil: none
	Count     bool         // Stats is wanted
	Log       *slog.Logger
}

// Engine is the event loop round one Balancer. Its methods but Run and RestoreList may be called by any goroutine. The loop
// never blocks on I/O: responses go to channels with capacity, and attempts run in goroutines of their own.
type Engine struct {
	clock     clock.Clock
	backend   Backend
	subscribe func()
	logFields func() []any
	log       *slog.Logger
	events    chan event
	done      chan struct{} // closed once Run has returned
	ready     atomic.Bool   // a listed server is in service

	// All that follows belongs to the goroutine of Run, and before it to whoever made the Engine.

	balancer        *balancer.Balancer
	balancerTime    time.Duration // clock time of the latest event that the balancer got
	pushed          bool          // as in Options
	slowStartWindow time.Duration
	pending         map[string]*pendingRequest // by request id
	timers          timerHeap

	servers      map[string]discovery.Target // the endpoint list, by server id
	listRevision int64
	starts       discovery.Starts

	shutdownAt   time.Duration // clock time at which answerAll will come; 0: none is known
	shuttingDown bool          // after answerAll
	retiring     bool          // after retire

	sinceLog  trafficCounts
	totals    Totals          // without sinceLog
	collector *statsCollector // nil: Stats is not wanted
}

// New returns an Engine that knows no servers yet and does nothing before Run. The error names the setting
// at fault.
func New(o Options) (*Engine, error) {
	b, err := balancer.New(o.Settings, o.Seed)
	if err != nil {
		return nil, err
	}
	eng := &Engine{
		clock:           o.Clock,
		backend:         o.Backend,
		subscribe:       o.Subscribe,
		logFields:       o.Report,
		log:             o.Log,
		events:          make(chan event, eventQueueSize),
		done:            make(chan struct{}),
		balancer:        b,
		pushed:          o.Pushed,
		slowStartWindow: o.Settings.SlowStartWindow,
		pending:         map[string]*pendingRequest{},
		servers:         map[string]discovery.Target{},
	}
	if eng.logFields == nil {
		eng.logFields = func() []any { return nil }
	}
	if o.Count {
		eng.collector = newStatsCollector()
	}
	return eng, nil
}

// Submit takes a request over: its response comes on its channel. It must not be called after Retire.
func (eng *Engine) Submit(request *Request) {
	request.setOwner(eng)
	eng.post(requestArrived{request: request})
}

// Reconfigure has the balancer decide by other settings from the next event on. Settings that New would refuse
// change nothing.
func (eng *Engine) Reconfigure(settings balancer.Settings, pushed bool) {
	eng.post(reconfigure{settings: settings, pushed: pushed})
}

// Retire has Run return once every request that was submitted has its response and no attempt is in flight.
func (eng *Engine) Retire() { eng.post(retire{}) }

// Done is closed once Run has returned.
func (eng *Engine) Done() <-chan struct{} { return eng.done }

// Ready says that a listed server is in service.
func (eng *Engine) Ready() bool { return eng.ready.Load() }
