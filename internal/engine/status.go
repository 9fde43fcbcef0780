package engine

import (
	"damsontrestle/internal/balancer"
)

// Totals count what became of requests since the engine began.
type Totals struct {
	Requests     int64 `json:"calls"`
	Served       int64 `json:"served"`
	Rejected     int64 `json:"refused"`
	Failed       int64 `json:"failed"`
	Disconnected int64 `json:"gone"` // the client left before its answer
	Sends        int64 `json:"sends"`
	Polls        int64 `json:"asks,omitempty"` // to servers, how much they hold
}

// add counts what happened since the last report.
func (t *Totals) add(s trafficCounts) {
	t.Requests += int64(s.Requests)
	t.Served += int64(s.Served)
	t.Rejected += int64(s.Rejected)
	t.Failed += int64(s.Failed)
	t.Disconnected += int64(s.Disconnected)
	t.Sends += int64(s.Sends)
	t.Polls += int64(s.Polls)
}

// Status is what an engine holds.
type Status struct {
	Totals
	Open     int `json:"open"`     // requests that are unanswered, or have an attempt out
	Ready    int `json:"ready"`    // listed servers by their state
	Draining int `json:"draining"` //
	Avoided  int `json:"avoided"`  // of the listed, those that nothing new is sent to
}

// Status tells what the engine holds now; nothing once Run has returned.
func (eng *Engine) Status() Status {
	return query(eng, func(to chan Status) event { return statusQuery{to} })
}

func (eng *Engine) collectStatus() Status {
	s := Status{Totals: eng.totals, Open: len(eng.pending), Avoided: eng.balancer.Unavailable()}
	s.add(eng.sinceLog)
	for _, t := range eng.servers {
		switch t.State {
		case balancer.Ready:
			s.Ready++
		case balancer.Draining:
			s.Draining++
		}
	}
	return s
}
