package engine

import (
	"time"

	"damsontrestle/internal/balancer"
)

// trafficCounts count what happened, for the log.
type trafficCounts struct {
	Requests, Served, Rejected, Failed, Disconnected, Sends, Polls int
	Results                                                        [8]int
	LagMax, LagSum                                                 time.Duration
	Events                                                         int
}

// recordLag notes how long after an event the loop got to it.
func (eng *Engine) recordLag(at time.Duration) {
	d := -eng.clock.Until(at)
	eng.sinceLog.LagMax = max(eng.sinceLog.LagMax, d)
	eng.sinceLog.LagSum += d
	eng.sinceLog.Events++
}

// logTraffic logs what happened since the last report.
func (eng *Engine) logTraffic() {
	s := eng.sinceLog
	eng.totals.add(s)
	eng.sinceLog = trafficCounts{}
	if s.Events == 0 {
		return
	}
	e := s.Results
	eng.log.With(eng.logFields()...).Info("traffic", "requests", s.Requests, "served", s.Served, "refused", s.Rejected,
		"failed", s.Failed, "gone", s.Disconnected, "sends", s.Sends, "asks", s.Polls, "success", e[balancer.Success],
		"failure", e[balancer.Failure], "overloaded", e[balancer.Overloaded],
		"timed_out", e[balancer.TimedOut], "unreachable", e[balancer.Unreachable],
		"broken", e[balancer.ConnectionLost], "withdrawn", e[balancer.Cancelled], "void", e[balancer.NotStarted],
		"pending", len(eng.pending), "lag_max", s.LagMax, "lag_mean", s.LagSum/time.Duration(s.Events))
}
