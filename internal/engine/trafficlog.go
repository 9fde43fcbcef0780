package engine

import (
	"time"

	"damsontrestle/internal/balancer"
)

// attemptResults is the number of values of balancer.Result.
const attemptResults = 8

// trafficCounts are the counts since the last line of the traffic log.
type trafficCounts struct {
	Requests     int
	Served       int
	Rejected     int
	Failed       int
	Disconnected int // clients that disconnected before their response
	Sends        int // attempts
	Polls        int
	Results      [attemptResults]int
	LagMax       time.Duration // delay from an event to its handling by the loop
	LagSum       time.Duration
	Events       int // number of summands of LagSum
}

// recordLag records the delay from an event to its handling by the loop.
func (eng *Engine) recordLag(at time.Duration) {
	lag := -eng.clock.Until(at)
	eng.unloggedTraffic.LagMax = max(eng.unloggedTraffic.LagMax, lag)
	eng.unloggedTraffic.LagSum += lag
	eng.unloggedTraffic.Events++
}

// logTraffic logs the counts since the last line of the traffic log, and adds them to the totals.
func (eng *Engine) logTraffic() {
	counts := eng.unloggedTraffic
	eng.totals.add(counts)
	eng.unloggedTraffic = trafficCounts{}
	if counts.Events == 0 {
		return
	}
	results := counts.Results
	eng.log.With(eng.logAttrs()...).Info("traffic",
		"requests", counts.Requests,
		"served", counts.Served,
		"rejected", counts.Rejected,
		"failed", counts.Failed,
		"disconnected", counts.Disconnected,
		"sends", counts.Sends,
		"polls", counts.Polls,
		"success", results[balancer.Success],
		"failure", results[balancer.Failure],
		"overloaded", results[balancer.Overloaded],
		"timed_out", results[balancer.TimedOut],
		"unreachable", results[balancer.Unreachable],
		"connection_lost", results[balancer.ConnectionLost],
		"cancelled", results[balancer.Cancelled],
		"not_started", results[balancer.NotStarted],
		"pending", len(eng.pending),
		"lag_max", counts.LagMax,
		"lag_mean", counts.LagSum/time.Duration(counts.Events))
}
