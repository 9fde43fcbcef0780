package replication

import "time"

// relinquish records that the owner with the given ballot has relinquished the request, so that it can be claimed without waiting
// for the link.
func (s *store) relinquish(key Key, ballot Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.entries[key]; entry != nil && entry.Promised == ballot && !entry.Decided {
		entry.relinquished = true
	}
}

// orphans returns the keys of the undecided requests that this gateway should claim now because their owners have not been alive
// for ClaimDelay. It returns each key once until endClaim. undecided reports whether the store holds other undecided requests
// than those being claimed or recovered. orphans also drops the entries whose retention has expired.
func (s *store) orphans(self string, alive ownerAlive) (keys []Key, undecided bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for key, entry := range s.entries {
		if entry.isExpired(now, s.retention) {
			s.drop(entry)
			continue
		}
		if entry.Decided || entry.claiming || entry.Recovered {
			continue
		}
		undecided = true
		if entry.ownerHeard(now, alive) {
			entry.ownerLostAt = 0
			continue
		}
		if entry.isClaimDue(now, self) {
			entry.claiming = true
			keys = append(keys, key)
		}
	}
	return keys, undecided
}

// isExpired reports whether no query for the entry is expected any more: retention has passed since its decision or, if it is
// undecided, since its client's deadline.
func (e *replicaEntry) isExpired(now, retention time.Duration) bool {
	if e.decidedAt > 0 {
		return now-e.decidedAt > retention
	}
	return now-e.deadline > retention
}

// isClaimDue reports whether this gateway should claim the request now. It is called only while the owner is not alive, and
// records when that was first observed.
func (e *replicaEntry) isClaimDue(now time.Duration, self string) bool {
	if e.ownerLostAt == 0 {
		e.ownerLostAt = now
	}
	wait := ClaimDelay(e.Record.Replicas, e.Promised.Owner, self)
	if e.relinquished {
		wait -= claimGrace // no need to wait for the link to reconnect: the owner itself relinquished the request
	}
	return now-e.ownerLostAt >= wait
}

// endClaim ends a claim, so that orphans can return the request again.
func (s *store) endClaim(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.entries[key]; entry != nil {
		entry.claiming = false
		entry.ownerLostAt = 0
	}
}
