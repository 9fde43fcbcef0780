package replication

import "time"

// relinquish notes that the owner by a ballot has given the request up, so that it may be claimed at once.
func (s *store) relinquish(key Key, ballot Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.entries[key]; entry != nil && entry.Promised == ballot && !entry.Decided {
		entry.relinquished = true
	}
}

// orphans returns the keys of the undecided requests that this gateway should claim now, each once until endClaim: their owners
// have not been heard for as long as ClaimDelay says. open: undecided requests are held. Entries past their retention are dropped.
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

// isExpired says that nobody asks for the entry any more: retention has passed since it was decided or, undecided, since its
// client's deadline.
func (e *replicaEntry) isExpired(now, retention time.Duration) bool {
	if e.decidedAt > 0 {
		return now-e.decidedAt > retention
	}
	return now-e.deadline > retention
}

// isClaimDue says that the owner, which is not heard now, has not been for long enough that this gateway claims the request.
func (e *replicaEntry) isClaimDue(now time.Duration, self string) bool {
	if e.ownerLostAt == 0 {
		e.ownerLostAt = now
	}
	wait := ClaimDelay(e.Record.Replicas, e.Promised.Owner, self)
	if e.relinquished {
		wait -= claimGrace // its link can't come back: the owner itself has given it up
	}
	return now-e.ownerLostAt >= wait
}

// endClaim has a request be claimed again when it is due.
func (s *store) endClaim(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.entries[key]; entry != nil {
		entry.claiming = false
		entry.ownerLostAt = 0
	}
}
