// Package balancer decides where a load balancer sends each request, when it retries and when it gives up. It does no
// I/O: the host passes events to a Balancer and carries out the actions it returns.
//
// The interface is in settings.go, events.go, actions.go and this file. Each decision has its own file: the endpoint
// list, classes, requests and their attempts, admission and delay, server selection, subsets, slow start, outlier
// detection, zones, load reports and retries. Requests are not hedged: each has at most one attempt in flight.
//
// A Balancer must be used by one goroutine at a time. Its only clock is the now argument of Handle, which must not
// decrease, and its only randomness is the seed given to New, so the same events always return the same actions.
// Balancers share no state. Memory is held for each request until it has its response and its attempts have ended,
// and for each server until it has left the list and its attempts have ended.
//
// Tuning constants are shares, ratios or counts; almost every duration is a setting or is measured at run time.
package balancer

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	rngStream             = 0x51a7e // PCG stream of every Balancer; the host chooses the seed
	initialBadResultShare = 0.02    // assumed share of bad results before the first one
)

// Balancer makes the decisions of one node. See the package comment for its contract.
type Balancer struct {
	settings       Settings
	rng            *rand.Rand
	now            time.Duration
	actions        []Action
	servers        map[string]*server
	ready          []*server    // ready servers in the shared order
	allGroups      groups       // all ready servers, split into the two groups that selection compares
	subset         groups       // the part of each group that this node draws from
	subsetSize     int          // servers in the subset
	subsetOffsets  groupOffsets // start of the node's subset in each group
	subsetCoverage float64      // subsets, over all nodes, that contain each server
	meanInFlight   float64      // requests in flight, averaged over sends
	requests       map[string]*request
	delayed        []*request
	zones          []*zone // sorted by name
	probedZone     *zone   // zone that a probe is being selected for, or nil
	classes        map[string]*class
	classOrder     []*class // the classes in the order of the settings, then the unknown class

	badResultShare   float64 // share of attempts with a bad result, including overlong replies
	lastSuccess      time.Duration
	retryTokens      float64 // remaining retry budget
	window           float64 // own requests admitted concurrently (first tier)
	inFlight         int
	meanReportedLoad float64 // mean number of requests at a server, over load reports
	shedShare        float64 // share of requests rejected without an attempt, decayed
	listFailures     int
	subscribeAt      time.Duration
	meanSize         float64 // mean listed size of the ready servers
}

// New returns a Balancer without servers. The error names the invalid setting.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:       set,
		rng:            rand.New(rand.NewPCG(seed, rngStream)),
		servers:        map[string]*server{},
		requests:       map[string]*request{},
		classes:        map[string]*class{},
		badResultShare: initialBadResultShare,
		retryTokens:    maxRetryTokens / 2,
	}
	b.setClasses(set.Classes)
	return b, nil
}

// Handle processes one event at the clock time now and returns the actions to carry out, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	switch e := e.(type) {
	case ServerList:
		b.handleServerList(e)
	case ListFailed:
		b.listFailures++
		b.scheduleSubscribe()
	case Request:
		b.handleRequest(e)
	case Uploaded:
		b.handleUploaded(e)
	case Outcome:
		b.handleOutcome(e)
	case ReplyBegun:
		b.handleReplyBegun(e)
	case Started:
		if r := b.requests[e.ID]; r != nil {
			r.streaming = true
		}
	case ClientDisconnected:
		b.finish(b.requests[e.ID])
	case LoadUpdate:
		b.handleLoadUpdate(e)
	case Timer:
		b.handleTimer(e)
	case Reconfigure:
		b.reconfigure(e.Settings)
	}
	return b.actions
}

// emit appends an action to those that Handle returns.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// handleTimer passes a timer to the list or to the request that set it. The host may round times down, so a timer can
// fire slightly early: no code relies on the exact time, and a check that finds nothing due sets another timer.
func (b *Balancer) handleTimer(e Timer) {
	if e.Token == listTimer {
		b.handleListTimer()
		return
	}
	r := b.requests[strings.TrimPrefix(e.Token, requestTimerPrefix)]
	if r != nil {
		b.handleRequestTimer(r)
	}
}

// handleListTimer subscribes to the list if that is due.
func (b *Balancer) handleListTimer() {
	planned := b.subscribeAt > 0
	if planned && b.now+b.settings.Tick >= b.subscribeAt {
		b.subscribeAt = 0
		b.emit(Subscribe{})
	}
}

// handleRequestTimer re-examines a request that waits for load reports or for a server.
func (b *Balancer) handleRequestTimer(r *request) {
	if b.now+b.settings.Tick >= r.timerAt {
		r.timerAt = 0
	}
	if r.polling > 0 && r.timerAt == 0 {
		b.finishPoll(r)
		return
	}
	if r.delayed {
		b.delay(r)
		b.releaseDelayed()
	}
}
