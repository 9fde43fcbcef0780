package engine

import (
	"time"

	"damsontrestle/internal/balancer"
)

// stats count what happened, for the log.
type stats struct {
	Requests, Served, Rejected, Failed, Disconnected, Sends, Polls int
	Results                                                        [8]int
	LagMax, LagSum                                                 time.Duration
	Events                                                         int
}

// lag notes how long after an event the loop got to it.
func (eng *Engine) lag(at time.Duration) {
	d := -eng.clock.Until(at)
	eng.stats.LagMax = max(eng.stats.LagMax, d)
	eng.stats.LagSum += d
	eng.stats.Events++
}

// report logs what happened since the last report.
func (eng *Engine) report() {
	s := eng.stats
	eng.total.add(s)
	eng.stats = stats{}
	if s.Events == 0 {
		return
	}
	e := s.Results
	eng.log.With(eng.more()...).Info("traffic", "requests", s.Requests, "served", s.Served, "refused", s.Rejected,
		"failed", s.Failed, "gone", s.Disconnected, "sends", s.Sends, "asks", s.Polls, "success", e[balancer.Success],
		"failure", e[balancer.Failure], "overloaded", e[balancer.Overloaded],
		"timed_out", e[balancer.TimedOut], "unreachable", e[balancer.Unreachable],
		"broken", e[balancer.ConnectionLost], "withdrawn", e[balancer.Cancelled], "void", e[balancer.NotStarted],
		"pending", len(eng.pending), "lag_max", s.LagMax, "lag_mean", s.LagSum/time.Duration(s.Events))
}
