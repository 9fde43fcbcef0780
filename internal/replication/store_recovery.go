package replication

import "slices"

// recoverable returns the entries on whose keys a gateway may have voted in any incarnation, behind a key in their order, of
// about maxBytes; more: others follow. A request without an intent here was allowed none with this replica's vote; where two other
// replicas allowed one, those tell of it.
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
			entry.Outcome = nil // this replica accepted it, which is no other's vote
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

// mayHaveVote says that a gateway, in any incarnation, may have voted for an attempt or an outcome of the request.
func (e *replicaEntry) mayHaveVote(name string) bool {
	if e.Record.IdempotencyKey == "" {
		return false
	}
	if len(e.Intents) == 0 && e.Outcome == nil && !e.Recovered {
		return false
	}
	return slices.ContainsFunc(e.Record.Replicas, func(g Gateway) bool { return g.Name == name })
}

// addRecovered stores a request that an earlier incarnation may have voted for; false: there is no capacity. The entry makes its
// key known and is no vote: this incarnation is not among the record's replicas.
func (s *store) addRecovered(recovered Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.entries[recovered.Record.Key]
	if existing != nil && (!existing.Recovered || existing.Record.Generation >= recovered.Record.Generation) {
		return true // what this incarnation has voted for stays
	}
	if !s.reserveSpace(sizeOf(&recovered.Record)) {
		return false
	}
	// To make space may have dropped the entry that was held.
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
