package balancer

import (
	"math"
)

const (
	windowFloor    = 5.0  // own requests a server that are always admitted
	targetShare    = 0.75 // part of the mean, by ratio, of base latency and latency objective that is steered to
	minTargetRatio = 1.35 // times the base latency that is steered to, at least
	leanness       = 0.3  // part of the target given up when all is shed
	windowSlack    = 2    // times the mean of requests in flight up to which the window grows
	windowGain     = 0.15 // window moved by a reply, for each target that it came under or over, at a lone node
	minWindowShare = 0.5  // part of the window that each class may fill in any case
	maxWindowShare = 2    // and that a class of high priority weight may fill while load is shed
	windowStart    = 13.0 // own requests for each server a node that are admitted before anything is known
)

// windowFull says that the node has as many requests out as the tiers below answer in good time. Only the
// first tier holds back: a request rejected further down wastes what was done above it. A client's retry, whose
// latency objective is mostly over, must leave half of the window to first attempts, or retries keep an overload up.
func (b *Balancer) windowFull(r *request) bool {
	if len(b.ready) == 0 {
		return true
	}
	if b.settings.Tier > 0 {
		return false
	}
	requests := float64(b.inFlight)
	if r.retry {
		requests *= 2
	}
	return requests >= b.window*b.windowShare(r)
}

// windowShare is the part of the window that a request may fill, by its value against the others': the more is shed,
// the more room is kept for what is of most priority weight, for at a node of few requests seldom two wait at once.
// None starves: no class loses more than half of the window.
func (b *Balancer) windowShare(r *request) float64 {
	var totalValue, arrivals float64
	for _, c := range b.classOrder {
		totalValue += c.arrivals * b.value(&request{class: c})
		arrivals += c.arrivals
	}
	relativeValue := b.value(r) * arrivals / max(totalValue, 1e-9)
	share := 1 + b.shedShare*(relativeValue-1)
	return min(maxWindowShare, max(minWindowShare, share))
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
// excess must wait or be rejected here. It grows up to a multiple of the mean of requests in flight: growing only while
// nearly full, it would sink by chance at a node whose few requests seldom fill it. Each node's window swings, the more
// the faster it moves; where many admit, their swings cancel out by the root of their number, and so they may move
// faster by that.
func (b *Balancer) adjustWindow(r *request, e Outcome) {
	if b.settings.Tier > 0 {
		return
	}
	took := float64(b.now - r.attempts[e.Attempt].sent)
	over := took / r.class.targetLatency(b.shedShare)
	switch e.Result {
	case Success:
	case TimedOut, Overloaded, Unreachable:
		over = max(over, 2)
	case Failure:
		if !(over > 1) {
			return
		}
		over = max(over, 2) // that late it is mostly a timeout of the tier below
	default:
		return
	}
	// A small window moves by up to one request a round of answers, or a node of many would take a day to open it.
	gain := min(1, windowGain*math.Sqrt(float64(b.settings.Balancers)))
	step := max(gain, 1/b.window) * (1 - min(over, 2))
	mayGrow := b.window < windowSlack*(b.meanInFlight+1)
	if step < 0 || mayGrow {
		b.window += step
	}
	b.window = max(b.window, 1, windowFloor*b.serversPerNode())
}

// value is what a reply in a class adds to the result for the time that it takes, so that shedding hits what is of
// least priority weight; the class served worst counts extra, so that none starves.
func (b *Balancer) value(r *request) float64 {
	c := r.class
	var total float64
	worst := c // by the share of its requests that is served
	for _, k := range b.classOrder {
		total += k.PriorityWeight * k.arrivals
		servedWorse := k.served*worst.arrivals < worst.served*k.arrivals
		if k.arrivals > 1 && servedWorse {
			worst = k
		}
	}
	v := b.settings.TotalWeight * c.PriorityWeight / max(total, 1e-9)
	if worst == c {
		v += b.settings.ClassWeight / max(c.arrivals, 1e-9)
	}
	if r.retry { // its latency objective runs from the client's first attempt and is mostly over
		v *= c.LateShare
	}
	return v / c.meanLatency
}
