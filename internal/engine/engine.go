// Package engine drives one balancer.Balancer: it accepts requests, sends attempts, handles their outcomes and returns
// exactly one response to each request.
//
// It owns the event loop (Engine.Run), the only goroutine that accesses the Balancer, and with it the pending requests, the
// timers and the endpoint list as the Balancer knows it. It guarantees one response to each request that was submitted
// before Run returned, at most one attempt of a request in flight as the Balancer decides, and that the Balancer gets each
// event with the time at which it happened.
//
// It implements no protocol and no policy: the Balancer decides, a Backend runs the attempts, front ends submit requests,
// and package discovery provides endpoint lists.
package engine

import (
	"log/slog"
	"sync/atomic"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
)

// Options configure an Engine.
type Options struct {
	Settings     balancer.Settings
	Seed         uint64 // of the balancer's random number generator
	Clock        clock.Clock
	Backend      Backend
	Subscribe    func()       // requests a watch of the endpoint list; must not block
	ListsPushed  bool         // endpoint lists are pushed by discovery, not polled
	LogAttrs     func() []any // additional attributes of the traffic log; nil: none
	CollectStats bool         // collect what Stats returns
	Log          *slog.Logger
}

// Engine runs the event loop of one Balancer. All methods except Run and RestoreList are safe for concurrent use. The loop
// never blocks on I/O: responses go to buffered channels, and each attempt runs in its own goroutine.
type Engine struct {
	clock               clock.Clock
	backend             Backend
	requestSubscription func()
	logAttrs            func() []any
	log                 *slog.Logger
	events              chan event
	done                chan struct{} // closed once Run has returned
	ready               atomic.Bool   // a listed server is ready

	// The fields below belong to the goroutine of Run and, before Run, to the creator of the Engine.

	balancer        *balancer.Balancer
	balancerTime    time.Duration // clock time of the latest event passed to the balancer
	listsPushed     bool          // as in Options
	slowStartWindow time.Duration
	pending         map[string]*pendingRequest // by request id
	timers          timerHeap

	servers      map[string]discovery.Target // the endpoint list, by server id
	listRevision int64
	starts       discovery.StartTimes

	shutdownAt   time.Duration // clock time of the scheduled shutdown; 0: none
	shuttingDown bool          // after the shutdown event
	retiring     bool          // after the retire event

	unloggedTraffic trafficCounts
	totals          Totals          // without unloggedTraffic
	collector       *statsCollector // nil: Options.CollectStats is not set
}

// New returns an Engine without servers, which does nothing before Run. The error names the invalid setting.
func New(options Options) (*Engine, error) {
	lb, err := balancer.New(options.Settings, options.Seed)
	if err != nil {
		return nil, err
	}
	eng := &Engine{
		clock:               options.Clock,
		backend:             options.Backend,
		requestSubscription: options.Subscribe,
		logAttrs:            options.LogAttrs,
		log:                 options.Log,
		events:              make(chan event, eventQueueSize),
		done:                make(chan struct{}),
		balancer:            lb,
		listsPushed:         options.ListsPushed,
		slowStartWindow:     options.Settings.SlowStartWindow,
		pending:             map[string]*pendingRequest{},
		servers:             map[string]discovery.Target{},
	}
	if eng.logAttrs == nil {
		eng.logAttrs = func() []any { return nil }
	}
	if options.CollectStats {
		eng.collector = newStatsCollector()
	}
	return eng, nil
}

// Submit passes a request to the engine, which sends the response on the request's channel. It must not be called after
// Retire.
func (eng *Engine) Submit(request *Request) {
	request.setOwner(eng)
	eng.post(requestArrived{request: request})
}

// Reconfigure replaces the balancer's settings from the next event on. Settings that New would reject are ignored.
func (eng *Engine) Reconfigure(settings balancer.Settings, pushed bool) {
	eng.post(reconfigure{settings: settings, listsPushed: pushed})
}

// Retire makes Run return once every submitted request has its response and no attempt is in flight.
func (eng *Engine) Retire() { eng.post(retire{}) }

// Done is closed once Run has returned.
func (eng *Engine) Done() <-chan struct{} { return eng.done }

// Ready reports whether a listed server is ready.
func (eng *Engine) Ready() bool { return eng.ready.Load() }
