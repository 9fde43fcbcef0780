package balancer

import (
	"math"
)

const (
	minWindowPerServer     = 5.0  // own requests per server that are always admitted
	targetLatencyShare     = 0.75 // share of the geometric mean of base latency and objective
	minTargetRatio         = 1.35 // lower bound of the target latency, in base latencies
	maxTargetReduction     = 0.3  // reduction of the target when all load is shed, as a share
	maxWindowGrowth        = 2    // upper bound of window growth, in mean requests in flight
	windowGain             = 0.15 // window change per reply and relative error, at a single node
	minWindowShare         = 0.5  // share of the window that every class may fill
	maxWindowShare         = 2    // most that a class of high priority weight may fill while load is shed
	initialWindowPerServer = 13.0 // initial window, in own requests per server of a node's share
)

// windowFull reports whether the node has as many requests in flight as the tiers below answer in time. Only the
// first tier limits its window: a request rejected in a lower tier wastes the work done above it. A client's retry,
// whose latency objective has mostly passed, must leave half of the window to first attempts, or retries would
// sustain an overload.
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

// windowShare returns the share of the window that a request may fill, by its value rate relative to the mean. The
// more load is shed, the more room is reserved for the requests of most value, because at a node of low traffic two
// requests rarely wait at the same time. No class starves: each keeps at least half of the window.
func (b *Balancer) windowShare(r *request) float64 {
	var totalValue, arrivals float64
	for _, c := range b.classOrder {
		totalValue += c.arrivals * b.valueRate(&request{class: c})
		arrivals += c.arrivals
	}
	relativeValue := b.valueRate(r) * arrivals / max(totalValue, 1e-9)
	share := 1 + b.shedShare*(relativeValue-1)
	return min(maxWindowShare, max(minWindowShare, share))
}

// targetLatency returns the latency that admission aims for: somewhat less than the geometric mean of a class's
// latency without contention and its objective. A class that normally uses much of its objective is not overloaded by
// that, and for a fast class, queues overload servers long before its latency nears the objective. The target falls
// as more load is shed, but an idle server always meets it; otherwise shedding would sustain itself.
func (c *class) targetLatency(shed float64) float64 {
	target := (1 - maxTargetReduction*shed) * targetLatencyShare * math.Sqrt(c.baseLatency*float64(c.LatencyObjective))
	return min(float64(c.LatencyObjective), max(minTargetRatio*c.baseLatency, target))
}

// adjustWindow adjusts the window to keep latencies at their target. Overloaded servers slow down and stay slow, so
// the excess must wait or be rejected here. The window grows up to a multiple of the mean number of requests in
// flight; if it grew only while nearly full, it would shrink by chance at a node whose few requests rarely fill it.
// Each node's window oscillates, the more the larger its steps are. Across nodes the oscillations cancel out with the
// square root of their number, so the step size grows by that factor.
func (b *Balancer) adjustWindow(req *request, outcome Outcome) {
	if b.settings.Tier > 0 {
		return
	}
	latency := float64(b.now - req.attempts[outcome.Attempt].sent)
	latencyRatio := latency / req.class.targetLatency(b.shedShare)
	switch outcome.Result {
	case Success:
	case TimedOut, Overloaded, Unreachable:
		latencyRatio = max(latencyRatio, 2)
	case Failure:
		if !(latencyRatio > 1) {
			return
		}
		latencyRatio = max(latencyRatio, 2) // that late it is usually a timeout of the tier below
	default:
		return
	}
	// A small window moves by up to one request per round of replies; otherwise one of many nodes would take a day to
	// open it.
	gain := min(1, windowGain*math.Sqrt(float64(b.settings.Balancers)))
	step := max(gain, 1/b.window) * (1 - min(latencyRatio, 2))
	mayGrow := b.window < maxWindowGrowth*(b.meanInFlight+1)
	if step < 0 || mayGrow {
		b.window += step
	}
	b.window = max(b.window, 1, minWindowPerServer*b.serversPerNode())
}

// valueRate returns the value that a reply in the request's class adds per unit of server time, so that shedding
// rejects the least valuable requests first. The class with the lowest share of served requests gets an extra weight,
// so that none starves.
func (b *Balancer) valueRate(req *request) float64 {
	own := req.class
	var total float64
	worst := own // class with the lowest share of requests served
	for _, c := range b.classOrder {
		total += c.PriorityWeight * c.arrivals
		servedWorse := c.served*worst.arrivals < worst.served*c.arrivals
		if c.arrivals > 1 && servedWorse {
			worst = c
		}
	}
	value := b.settings.TotalWeight * own.PriorityWeight / max(total, 1e-9)
	if worst == own {
		value += b.settings.ClassWeight / max(own.arrivals, 1e-9)
	}
	if req.retry { // its latency objective started at the client's first attempt and has mostly passed
		value *= own.LateShare
	}
	return value / own.meanLatency
}
