package engine

import "damsontrestle/internal/balancer"

// Totals count what became of requests since the engine began. The tags are the management endpoint's terms.
type Totals struct {
	Requests     int64 `json:"calls"`
	Served       int64 `json:"served"`
	Rejected     int64 `json:"refused"`
	Failed       int64 `json:"failed"`
	Disconnected int64 `json:"gone"` // the client left before its response
	Sends        int64 `json:"sends"`
	Polls        int64 `json:"asks,omitempty"` // of servers, for their load
}

// add adds what happened since the last line of the log.
func (t *Totals) add(counts trafficCounts) {
	t.Requests += int64(counts.Requests)
	t.Served += int64(counts.Served)
	t.Rejected += int64(counts.Rejected)
	t.Failed += int64(counts.Failed)
	t.Disconnected += int64(counts.Disconnected)
	t.Sends += int64(counts.Sends)
	t.Polls += int64(counts.Polls)
}

// Status is what an engine holds at one moment.
type Status struct {
	Totals
	Open     int `json:"open"`     // requests without a response, or with an attempt in flight
	Ready    int `json:"ready"`    // listed servers in service
	Draining int `json:"draining"` // listed servers that drain
	Avoided  int `json:"avoided"`  // listed servers that get no new request
}

// Status returns what the engine holds now; the zero value once Run has returned.
func (eng *Engine) Status() Status {
	return query(eng, func(to chan Status) event { return statusQuery{to: to} })
}

// collectStatus makes the answer to a statusQuery.
func (eng *Engine) collectStatus() Status {
	s := Status{Totals: eng.totals, Open: len(eng.pending), Avoided: eng.balancer.Unavailable()}
	s.add(eng.sinceLog)
	for _, target := range eng.servers {
		switch target.State {
		case balancer.Ready:
			s.Ready++
		case balancer.Draining:
			s.Draining++
		}
	}
	return s
}
