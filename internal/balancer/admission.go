package balancer

import (
	"math"
)

const (
	windowFloor    = 5.0  // own requests a server that are always admitted
	targetShare    = 0.75 // part of the mean, by ratio, of base latency and aim that is steered to
	minTargetRatio = 1.35 // times the base latency that is steered to at least
	leanness       = 0.3  // part of the target given up when all is shed
	windowSlack    = 2    // times the requests out on average up to which the window grows
	windowGain     = 0.15 // window moved by an answer, for each target that it came under or over, at a lone node
	windowStart    = 13.0 // own requests for each server a node that are admitted before anything is known
)

// windowFull says that the node has as many requests out as the tiers below answer in good time. Only the
// first tier holds back: a request refused further down wastes what was done above it. A client's repeat,
// whose objective is mostly over, must leave half of the room to first attempts, or repeats feed a jam.
func (b *Balancer) windowFull(r *request) bool {
	requests := float64(b.inFlight)
	if r.retry {
		requests *= 2
	}
	return len(b.ready) == 0 || b.settings.Tier == 0 && requests >= b.window*b.windowShare(r)
}

// windowShare is the part of the window that a request may fill, by its value against the others': the more is shed,
// the more room is kept for what is of most priority weight, for at a node of few requests seldom two wait at once.
// None starves: no class loses more than half of the window.
func (b *Balancer) windowShare(r *request) float64 {
	var sum, n float64
	for _, c := range b.classOrder {
		sum += c.arrivals * b.value(&request{class: c})
		n += c.arrivals
	}
	return min(2, max(0.5, 1+b.shedShare*(b.value(r)*n/max(sum, 1e-9)-1)))
}

// targetLatency is the latency that admission steers to, a little under half way in ratio between a class's latency
// when there is room and its objective: work that fills much of the objective by itself is no crowd, and work that
// fills little waits in queues that choke servers well before its objective is near. The more is shed, the leaner, but
// an empty server always meets it, or the shedding would keep itself up.
func (c *class) targetLatency(shed float64) float64 {
	lean := (1 - leanness*shed) * targetShare * math.Sqrt(c.baseLatency*float64(c.LatencyObjective))
	return min(float64(c.LatencyObjective), max(minTargetRatio*c.baseLatency, lean))
}

// adjustWindow moves the window so that latencies stay at their target: crowded servers choke and stay slow, so the
// crowd must wait or be refused here. It grows up to a multiple of the requests out: growing only while nearly full, it
// would sink by chance at a node whose few requests seldom fill it. Each node's window swings, the more the faster it
// moves; where many admit, their swings cancel out by the root of their number, and so they may move faster by that.
func (b *Balancer) adjustWindow(r *request, e Outcome) {
	over := float64(b.now-r.attempts[e.Attempt].sent) / r.class.targetLatency(b.shedShare)
	// An error that took as long as a slow answer is mostly a time-out of the tier below.
	tells := e.Result == Success || e.Result == TimedOut || e.Result == Overloaded ||
		e.Result == Unreachable || e.Result == Failure && over > 1
	if b.settings.Tier > 0 || !tells {
		return
	}
	if e.Result != Success {
		over = max(over, 2)
	}
	// A small window moves by up to one request a round of answers, or a node of many would take a day to open it.
	gain := min(1, windowGain*math.Sqrt(float64(b.settings.Balancers)))
	step := max(gain, 1/b.window) * (1 - min(over, 2))
	if step < 0 || b.window < windowSlack*(b.meanInFlight+1) {
		b.window += step
	}
	b.window = max(b.window, 1, windowFloor*b.serversPerNode())
}

// value is what an answer in a class adds to the result for the time it takes, so that shedding
// hits what is of least priority weight; the class served worst counts extra, so none starves.
func (b *Balancer) value(r *request) float64 {
	c := r.class
	var total float64
	worst := c
	for _, k := range b.classOrder {
		total += k.PriorityWeight * k.arrivals
		if k.arrivals > 1 && k.served*worst.arrivals < worst.served*k.arrivals {
			worst = k
		}
	}
	v := b.settings.TotalWeight * c.PriorityWeight / max(total, 1e-9)
	if worst == c {
		v += b.settings.ClassWeight / max(c.arrivals, 1e-9)
	}
	if r.retry { // its objective runs from the client's first attempt and is mostly over
		v *= c.LateShare
	}
	return v / c.meanLatency
}
