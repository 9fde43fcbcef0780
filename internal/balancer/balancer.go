// Package balancer decides where a load balancer sends each request, when it tries again and when it gives up. It does
// no I/O: the host feeds events to a Balancer and carries out the actions it returns.
//
// The interface is in settings.go, events.go, actions.go and this file. Each decision has a file of its own: the
// endpoint list, classes, requests and their attempts, admission and delay, selection of a server, its subset, slow
// start, outlier detection, zones, load reports and retries. There are no hedged requests: a request has one attempt in
// flight at a time.
//
// A Balancer belongs to one goroutine. Its only clock is the now given to Handle, which must never go back, and its
// only randomness is the seed given to New, so the same events always give the same actions. Balancers share nothing.
// Memory is held for each request until it is answered and its attempts have ended, and for each server until it has
// left the list and its attempts have ended.
//
// Tuning constants are shares, ratios or counts; almost every length of time is a setting or was observed.
package balancer

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	rngStream     = 0x51a7e // PCG stream of every Balancer; the seed is the host's
	startBadShare = 0.02    // share of bad results before any is known
)

// Balancer decides for one node. See the package comment for its contract.
type Balancer struct {
	settings     Settings
	rng          *rand.Rand
	now          time.Duration
	actions      []Action
	servers      map[string]*server
	ready        []*server // ready servers in the shared order
	allGroups    groups    // the two groups of the design
	subset       groups    // the part of each that this node draws from
	subsetSize   int       // servers in the subset
	subsetStarts runStarts // where the node's runs begin in the two groups
	subsetTurns  float64   // how often the nodes' runs go round the group together
	meanInFlight float64   // requests in flight, averaged over sends
	requests     map[string]*request
	delayed      []*request
	zones        []*zone // in the order of their names
	probedZone   *zone   // whose probe is being selected; else nil
	classes      map[string]*class
	classOrder   []*class // every class in the order of the settings, then the unknown one

	badShare         float64 // share of bad results, overlong replies among them, of all attempts
	lastSuccess      time.Duration
	retryTokens      float64 // what is left of the retry budget
	window           float64 // own requests admitted at once (first tier)
	inFlight         int
	meanReportedLoad float64 // requests that a server holds, on average over load reports
	shedShare        float64 // share of requests answered without an attempt, decayed
	listFailures     int
	subscribeAt      time.Duration
	meanSize         float64 // of the listed servers, on average
}

// New returns a Balancer that knows no servers yet. The error names the setting at fault.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:    set,
		rng:         rand.New(rand.NewPCG(seed, rngStream)),
		servers:     map[string]*server{},
		requests:    map[string]*request{},
		classes:     map[string]*class{},
		badShare:    startBadShare,
		retryTokens: maxRetryTokens / 2,
	}
	b.takeClasses(set.Classes)
	return b, nil
}

// Handle takes one event at the clock time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	switch e := e.(type) {
	case ServerList:
		b.takeList(e)
	case ListFailed:
		b.listFailures++
		b.pollAgain()
	case Request:
		b.takeRequest(e)
	case Uploaded:
		b.takeUploaded(e)
	case Outcome:
		b.takeOutcome(e)
	case Started:
		if r := b.requests[e.ID]; r != nil {
			r.streaming = true
		}
	case ClientDisconnected:
		b.finish(b.requests[e.ID])
	case LoadUpdate:
		b.takeLoadUpdate(e)
	case Timer:
		b.takeTimer(e)
	case Reconfigure:
		b.reconfigure(e.Settings)
	}
	return b.actions
}

// emit adds an action to those that Handle returns.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// takeTimer hands a timer on to the list or the request that it was set for. A host may round a time down, so a timer
// can come a little early: nothing relies on its being late enough, and a review that finds nothing due sets another.
func (b *Balancer) takeTimer(e Timer) {
	if e.Token == listTimer {
		b.takeListTimer()
		return
	}
	r := b.requests[strings.TrimPrefix(e.Token, requestTimerPrefix)]
	if r != nil {
		b.takeRequestTimer(r)
	}
}

// takeListTimer asks for the list if that is due.
func (b *Balancer) takeListTimer() {
	planned := b.subscribeAt > 0
	if planned && b.now+b.settings.Tick >= b.subscribeAt {
		b.subscribeAt = 0
		b.emit(Subscribe{})
	}
}

// takeRequestTimer reviews a request that waits for load reports or for a server.
func (b *Balancer) takeRequestTimer(r *request) {
	if b.now+b.settings.Tick >= r.timerAt {
		r.timerAt = 0
	}
	if r.polling > 0 && r.timerAt == 0 {
		b.polledAll(r)
		return
	}
	if r.delayed {
		b.delay(r)
		b.releaseDelayed()
	}
}
