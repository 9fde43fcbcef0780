// Package balancer decides where a load balancer sends each request, when it tries again and when it gives up. It does
// no I/O: the host feeds events to a Balancer and carries out the actions it returns. This file is the whole interface;
// every decision is in policy.go. A Balancer belongs to one goroutine. Its only clock is the now given to Handle, which
// must never go back, and its only randomness is the seed given to New, so the same events always give the same
// actions. Balancers share nothing. Memory is held for each request until it is answered and its attempts have ended,
// and for each server until it has left the list and its attempts have ended.
package balancer

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Balancer decides for one node. See the package comment for its contract.
type Balancer struct {
	set       Settings
	rng       *rand.Rand
	now       time.Duration
	out       []Action
	servers   map[string]*server
	ready     []*server // ready servers in the shared order
	allGroups groups    // the two groups of the design
	pool      groups    // the part of each that this node draws from
	width     int       // servers in the pool
	places    [2]int    // where the node's runs begin in the two groups, in places of as many as there are copies
	times     float64   // how often the runs that it was cut by go round the group
	busy      float64   // requests in flight, averaged over sends
	requests  map[string]*request
	held      []*request
	zones     []*zone // in the order of their names
	trying    *zone   // that a trial is drawn from
	classes   map[string]*class
	order     []*class // every class in the order of the settings, then the unknown one

	errors           float64 // share of bad endings, overlong answers among them, of all attempts
	lastOK           time.Duration
	tokens           float64 // retry budget
	window           float64 // own requests admitted at once (first tier)
	inFlight         int
	meanReportedLoad float64 // requests that a server holds, on average over what was told
	shed             float64 // share of requests answered without an attempt
	subFails         int
	subWanted        time.Duration
	usualSize        float64 // of the listed servers, on average
}

// New returns a Balancer that knows no servers yet. The error names the setting at fault.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, 0x51a7e)),
		servers: map[string]*server{}, requests: map[string]*request{},
		classes: map[string]*class{}, errors: 0.02, tokens: retryBudget / 2}
	b.takeClasses(set.Classes)
	return b, nil
}

// Handle takes one event at the clock time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.out = nil
	switch e := e.(type) {
	case ServerList:
		b.takeList(e)
	case ListFailed:
		b.subFails++
		b.pollAgain()
	case Request:
		b.accept(e)
	case Uploaded:
		b.takeUploaded(e)
	case Outcome:
		b.takeOutcome(e)
	case Started:
		if r := b.requests[e.ID]; r != nil {
			r.streaming = true
		}
	case ClientDisconnected:
		b.close(b.requests[e.ID])
	case LoadUpdate:
		b.takeLoadUpdate(e)
	case Timer:
		b.takeTimer(e)
	case Reconfigure:
		b.reconfigure(e.Settings)
	}
	return b.out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) takeTimer(e Timer) {
	if e.Token == "list" {
		if b.subWanted > 0 && b.now+b.set.Tick >= b.subWanted {
			b.subWanted = 0
			b.do(Subscribe{})
		}
		return
	}
	// A host may round a time down, so a timer can come a hair early: nothing relies on its being
	// late enough, and a review that finds nothing due yet asks for another.
	if r := b.requests[strings.TrimPrefix(e.Token, "r:")]; r != nil {
		if b.now+b.set.Tick >= r.timerAt {
			r.timerAt = 0
		}
		if r.polling > 0 && r.timerAt == 0 {
			b.polledAll(r)
		} else if r.held {
			b.delay(r)
			b.release()
		}
	}
}
