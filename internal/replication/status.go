package replication

// Counts are of what became of requests replicated, since the start.
type Counts struct {
	Taken   int `json:"taken"`   // own requests
	Alone   int `json:"alone"`   // for which too few replicas were to be reached
	Fenced  int `json:"fenced"`  // that another took over while they were in hand here
	Claimed int `json:"claimed"` // that this gateway took over
	Resumed int `json:"resumed"` // of them, carried on
	Asked   int `json:"asked"`   // by clients that came back
	Found   int `json:"found"`   // of them, that got the one answer
	// times that it knew again what an earlier incarnation of it may have voted for
	Recovered int `json:"recalled"`
}

// Status is what a replicator does now.
type Status struct {
	Counts
	InHand  int         `json:"in_hand"`
	Replica StoreCounts `json:"voter"`
}

// Status is what it does now.
func (r *Replicator) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{r.counts, len(r.active), r.store.status()}
}

func (r *Replicator) count(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

// StoreCounts are of a replica since its start.
type StoreCounts struct {
	Held   int `json:"held"`   // requests, now
	Open   int `json:"open"`   // of them undecided
	Bytes  int `json:"bytes"`  // of them, about
	Full   int `json:"full"`   // records for which there was no room
	Forgot int `json:"forgot"` // answers that were forgotten early, for want of room
}

func (s *store) status() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Held, counts.Bytes = len(s.entries), s.bytes
	for _, held := range s.entries {
		if !held.Decided {
			counts.Open++
		}
	}
	return counts
}
