package replication

import "slices"

// recoverable returns a page of approximately maxBytes with the entries, ordered by key and after the given key, for which any
// incarnation of the named gateway may have voted. more reports whether further entries follow. A request without an intent here
// had no attempt permitted with the vote of this replica; if two other replicas permitted one, they report it.
func (s *store) recoverable(name string, after Key, maxBytes int) (entries []Entry, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []Key
	for key, stored := range s.entries {
		if compareKeys(key, after) > 0 && stored.mayHaveVote(name) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	now := s.now()
	size := 0
	for _, key := range keys {
		entry := s.entries[key].snapshot(now)
		entry.Record.Body = nil
		entry.Record.Headers = nil
		entry.Intents = nil
		size += sizeOf(&entry.Record)
		if !entry.Decided {
			entry.Outcome = nil // accepted by this replica, which proves no vote of another one
		} else {
			size += len(entry.Outcome.Body)
		}
		if size > maxBytes && len(entries) > 0 {
			return entries, true
		}
		entries = append(entries, *entry)
	}
	return entries, false
}

// mayHaveVote reports whether any incarnation of the named gateway may have voted for an attempt or an outcome of the request.
func (e *replicaEntry) mayHaveVote(name string) bool {
	if e.Record.IdempotencyKey == "" {
		return false
	}
	if len(e.Intents) == 0 && e.Outcome == nil && !e.Recovered {
		return false
	}
	return slices.ContainsFunc(e.Record.Replicas, func(g Gateway) bool { return g.Name == name })
}

// addRecovered stores a request for which an earlier incarnation may have voted; it returns false if there is no capacity. The
// entry only reserves the key and is not a vote, because this incarnation is not among the replicas of the record.
func (s *store) addRecovered(recovered Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.entries[recovered.Record.Key]
	if existing != nil && (!existing.Recovered || existing.Record.Generation >= recovered.Record.Generation) {
		return true // keep what this incarnation has voted for
	}
	if !s.reserveSpace(sizeOf(&recovered.Record)) {
		return false
	}
	// reserveSpace may have dropped the existing entry.
	if existing := s.entries[recovered.Record.Key]; existing != nil {
		s.drop(existing)
	}
	existing = s.add(recovered.Record, recovered.Promised)
	existing.Entry = recovered
	existing.Recovered = true
	if recovered.Decided {
		existing.decidedAt = s.now()
	}
	s.resize(existing)
	return true
}
