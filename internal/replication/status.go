package replication

// Counts counts replicated requests since the start of the gateway.
type Counts struct {
	Taken           int `json:"taken"`    // requests that this gateway owned
	NoQuorum        int `json:"alone"`    // own requests that had no reachable quorum
	Fenced          int `json:"fenced"`   // requests that another gateway took over while this one executed them
	Claimed         int `json:"claimed"`  // requests that this gateway claimed
	Resumed         int `json:"resumed"`  // claimed requests whose execution this gateway continued
	Queries         int `json:"asked"`    // queries by clients for an earlier request
	QueriesAnswered int `json:"found"`    // queries that returned its outcome
	Recovered       int `json:"recalled"` // completed recoveries of the votes of an earlier incarnation
}

// Status is the current state of a replicator.
type Status struct {
	Counts
	Active  int         `json:"in_hand"` // requests that this gateway executes
	Replica StoreCounts `json:"voter"`
}

// Status returns the current state of the replicator.
func (r *Replicator) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{r.counts, len(r.active), r.store.status()}
}

// count updates the counts.
func (r *Replicator) count(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

// StoreCounts describes the requests that a gateway stores as a replica. NoCapacity and Evicted count since its start.
type StoreCounts struct {
	Entries    int `json:"held"`   // requests that are stored
	Undecided  int `json:"open"`   // stored requests that are undecided
	Bytes      int `json:"bytes"`  // approximate size of the stored requests
	NoCapacity int `json:"full"`   // records rejected for lack of capacity
	Evicted    int `json:"forgot"` // outcomes dropped before the end of their retention, for lack of capacity
}

// status returns the counts of the store.
func (s *store) status() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Entries = len(s.entries)
	counts.Bytes = s.bytes
	for _, entry := range s.entries {
		if !entry.Decided {
			counts.Undecided++
		}
	}
	return counts
}
