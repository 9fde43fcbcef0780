package replication

import "time"

// hand notes that whoever has a request in hand by a ballot has given it out of hand.
func (s *store) relinquish(key Key, ballot Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.entries[key]; held != nil && held.Promised == ballot && !held.Decided {
		held.relinquished = true
	}
}

// orphans are the undecided requests that this gateway should claim now, each once until release: nobody is heard who has it
// in hand, and has not been for as long as Patience says.
func (s *store) orphans(self string, heard func(entry *Entry, left time.Duration) bool) (out []Key, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for key, held := range s.entries {
		switch {
		case held.decidedAt > 0 && now-held.decidedAt > s.retention || held.decidedAt == 0 && now-held.deadline > s.retention:
			s.drop(held)
			continue
		case held.Decided || held.claiming || held.Recovered:
			continue
		}
		open = true
		if !held.relinquished && heard(&held.Entry, held.deadline-now) {
			held.ownerLostAt = 0
			continue
		}
		if held.ownerLostAt == 0 {
			held.ownerLostAt = now
		}
		timeout := ClaimDelay(held.Record.Replicas, held.Promised.Owner, self)
		if held.relinquished {
			timeout -= claimGrace // it is sure that nobody has it
		}
		if now-held.ownerLostAt >= timeout {
			held.claiming = true
			out = append(out, key)
		}
	}
	return out, open
}

// release has a request be claimed again when it is due.
func (s *store) endClaim(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.entries[key]; held != nil {
		held.claiming, held.ownerLostAt = false, 0
	}
}
