package replication

// Counts are of replicated requests since the gateway's start.
type Counts struct {
	Taken           int `json:"taken"`    // own requests
	NoQuorum        int `json:"alone"`    // own requests for which no quorum was reachable
	Fenced          int `json:"fenced"`   // that another gateway took over while this one carried them
	Claimed         int `json:"claimed"`  // that this gateway claimed
	Resumed         int `json:"resumed"`  // of those claimed, carried on
	Queries         int `json:"asked"`    // queries of clients for an earlier request
	QueriesAnswered int `json:"found"`    // of those, that got its outcome
	Recovered       int `json:"recalled"` // recoveries of the votes of an earlier incarnation
}

// Status is what a replicator does now.
type Status struct {
	Counts
	Active  int         `json:"in_hand"` // requests that this gateway carries
	Replica StoreCounts `json:"voter"`
}

// Status returns what the replicator does now.
func (r *Replicator) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{r.counts, len(r.active), r.store.status()}
}

// count changes the counts.
func (r *Replicator) count(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

// StoreCounts are of a gateway as a replica. NoCapacity and Evicted count since its start.
type StoreCounts struct {
	Entries    int `json:"held"`   // requests that are stored
	Undecided  int `json:"open"`   // of those, undecided
	Bytes      int `json:"bytes"`  // that they take, about
	NoCapacity int `json:"full"`   // records for which there was no capacity
	Evicted    int `json:"forgot"` // outcomes that were dropped before their retention, for want of capacity
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
