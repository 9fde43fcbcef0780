package replication

import "slices"

// votes are the entries of keys of which a gateway may have allowed an attempt in any incarnation, behind a key in their order, of about
// most bytes. One without an intent here allowed none with this replica's word; where two others allowed one they tell of it.
func (s *store) recoverable(name string, from Key, maxBytes int) (entries []Entry, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []Key
	for key, held := range s.entries {
		if held.Record.IdempotencyKey != "" && (len(held.Intents) > 0 || held.Outcome != nil || held.Recovered) && compareKeys(key, from) > 0 && slices.ContainsFunc(held.Record.Replicas, func(g Gateway) bool { return g.Name == name }) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	now, size := s.now(), 0
	for _, key := range keys {
		entry := s.entries[key].snapshot(now)
		entry.Record.Body, entry.Record.Headers, entry.Intents = nil, nil, nil
		size += sizeOf(&entry.Record)
		if !entry.Decided {
			entry.Outcome = nil // it is this replica's word, and no other's
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

// remember notes a request that an earlier incarnation may have voted for. It is known, and no vote: whoever counts votes asks lives.
func (s *store) addRecovered(entry Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.entries[entry.Record.Key]; held != nil && (!held.Recovered || held.Record.Generation >= entry.Record.Generation) {
		return true // what this incarnation has voted for stays
	}
	if !s.makeSpace(sizeOf(&entry.Record)) {
		s.counts.Full++
		return false
	}
	if held := s.entries[entry.Record.Key]; held != nil {
		s.drop(held)
	}
	held := s.add(entry.Record, entry.Promised)
	held.Entry, held.Recovered = entry, true
	if entry.Decided {
		held.decidedAt = s.now()
	}
	s.resize(held)
	return true
}
