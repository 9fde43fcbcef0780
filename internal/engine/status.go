package engine

import "damsontrestle/internal/balancer"

// Totals count requests by their result since the engine's start. The tags are the terms of the management endpoint.
type Totals struct {
	Requests     int64 `json:"calls"`
	Served       int64 `json:"served"`
	Rejected     int64 `json:"refused"`
	Failed       int64 `json:"failed"`
	Disconnected int64 `json:"gone"` // the client disconnected before its response
	Sends        int64 `json:"sends"`
	Polls        int64 `json:"asks,omitempty"` // load polls of servers
}

// add adds the traffic of one log interval.
func (t *Totals) add(counts trafficCounts) {
	t.Requests += int64(counts.Requests)
	t.Served += int64(counts.Served)
	t.Rejected += int64(counts.Rejected)
	t.Failed += int64(counts.Failed)
	t.Disconnected += int64(counts.Disconnected)
	t.Sends += int64(counts.Sends)
	t.Polls += int64(counts.Polls)
}

// Status is a snapshot of an engine.
type Status struct {
	Totals
	Open     int `json:"open"`     // requests without a response, or with an attempt in flight
	Ready    int `json:"ready"`    // listed servers that are ready
	Draining int `json:"draining"` // listed servers that are draining
	Avoided  int `json:"avoided"`  // listed servers that get no new request
}

// Status returns the current status: the zero value once Run has returned.
func (eng *Engine) Status() Status {
	return query(eng, func(to chan Status) event { return statusQuery{reply: to} })
}

// collectStatus returns the current status.
func (eng *Engine) collectStatus() Status {
	status := Status{Totals: eng.totals, Open: len(eng.pending), Avoided: eng.balancer.Unavailable()}
	status.add(eng.unloggedTraffic)
	for _, target := range eng.servers {
		switch target.State {
		case balancer.Ready:
			status.Ready++
		case balancer.Draining:
			status.Draining++
		}
	}
	return status
}
