package engine

import (
	"time"

	"damsontrestle/internal/balancer"
)

// resultKinds is how many results of attempts there are (balancer.Result).
const resultKinds = 8

// trafficCounts count what happened since the last line of the log on traffic.
type trafficCounts struct {
	Requests     int
	Served       int
	Rejected     int
	Failed       int
	Disconnected int // clients that left before their response
	Sends        int // attempts
	Polls        int
	Results      [resultKinds]int
	LagMax       time.Duration // from an event to its handling by the loop
	LagSum       time.Duration
	Events       int // that LagSum is the sum over
}

// recordLag notes how long after an event the loop came to it.
func (eng *Engine) recordLag(at time.Duration) {
	lag := -eng.clock.Until(at)
	eng.sinceLog.LagMax = max(eng.sinceLog.LagMax, lag)
	eng.sinceLog.LagSum += lag
	eng.sinceLog.Events++
}

// logTraffic logs what happened since the last such line, and adds it to the totals.
func (eng *Engine) logTraffic() {
	counts := eng.sinceLog
	eng.totals.add(counts)
	eng.sinceLog = trafficCounts{}
	if counts.Events == 0 {
		return
	}
	results := counts.Results
	eng.log.With(eng.logFields()...).Info("traffic",
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
