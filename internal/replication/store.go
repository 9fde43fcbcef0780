package replication

import (
	"slices"
	"sync"
	"time"
)

// store is what this gateway has accepted as a replica, in memory. Each method is one step of the replica: the acceptor's rules
// are looked up and applied under mu.
type store struct {
	now       func() time.Duration
	retention time.Duration
	maxBytes  int

	mu      sync.Mutex
	entries map[Key]*replicaEntry
	bytes   int
	counts  StoreCounts
}

// ownerAlive says whether the owner of an entry, whose request has that much time left, is heard at this gateway.
type ownerAlive func(entry *Entry, timeLeft time.Duration) bool

// replicaEntry is an entry, with what only this replica knows. Times are by Options.Now.
type replicaEntry struct {
	Entry
	deadline     time.Duration   // of its client, by this gateway's clock
	decidedAt    time.Duration   // 0: it is not decided
	ownerLostAt  time.Duration   // since when its owner is not heard; 0: it is heard
	relinquished bool            // its owner has given it up
	claiming     bool            // this gateway is claiming it
	intendedAt   []time.Duration // of each intent
	size         int             // in bytes, about
	changed      chan struct{}   // closed at the next change
}

// newStore returns an empty store of at most so many bytes, about, that drops decided entries after their retention.
func newStore(now func() time.Duration, retention time.Duration, maxBytes int) *store {
	return &store{now: now, retention: retention, maxBytes: maxBytes, entries: map[Key]*replicaEntry{}}
}

// Bytes that parts of an entry take beside their texts, about.
const (
	entryOverhead   = 600
	replicaOverhead = 64
	headerOverhead  = 32
	valueOverhead   = 16
)

// sizeOf is about what an entry takes, in bytes.
func sizeOf(record *Record) int {
	n := entryOverhead + len(record.Body) + len(record.Target) + len(record.ID) + 2*len(record.Key.ID)
	n += replicaOverhead * len(record.Replicas)
	for name, values := range record.Headers {
		n += headerOverhead + len(name)
		for _, value := range values {
			n += valueOverhead + len(value)
		}
	}
	return n
}

// reserveSpace makes room for n bytes, by dropping decided entries before their retention is over, the oldest first; what is
// undecided is never dropped. false: there is no capacity. The caller holds mu.
func (s *store) reserveSpace(n int) bool {
	for s.bytes+n > s.maxBytes {
		var oldest *replicaEntry
		for _, entry := range s.entries {
			if entry.decidedAt > 0 && (oldest == nil || entry.decidedAt < oldest.decidedAt) {
				oldest = entry
			}
		}
		if oldest == nil {
			s.counts.NoCapacity++
			return false
		}
		s.drop(oldest)
		s.counts.Evicted++
	}
	return true
}

// drop forgets an entry. The caller holds mu.
func (s *store) drop(entry *replicaEntry) {
	delete(s.entries, entry.Record.Key)
	s.bytes -= entry.size
	entry.notifyChange()
}

// add stores a new entry. The caller holds mu and has made space.
func (s *store) add(record Record, ballot Ballot) *replicaEntry {
	entry := &replicaEntry{
		Entry:    Entry{Record: record, Promised: ballot},
		deadline: s.now() + record.TimeLeft,
		size:     sizeOf(&record),
		changed:  make(chan struct{}),
	}
	s.entries[record.Key] = entry
	s.bytes += entry.size
	return entry
}

// notifyChange wakes those who wait for a change of the entry. The caller holds mu.
func (e *replicaEntry) notifyChange() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// record accepts a record, or returns the entry that stands against it.
func (s *store) record(record Record, ballot Ballot) (Verdict, *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[record.Key]
	verdict := MayRecord(entry.acceptorState(), &record, ballot)
	if verdict != Accepted {
		return verdict, entry.snapshot(s.now())
	}
	if entry != nil && entry.Record.Generation == record.Generation {
		return Accepted, nil // once more
	}
	if entry != nil {
		s.drop(entry)
	}
	if !s.reserveSpace(sizeOf(&record)) {
		return NoCapacity, nil
	}
	s.add(record, ballot)
	return Accepted, nil
}

// markOwnerHeard notes that whoever goes by the promised ballot was heard: the request is no orphan.
func (e *replicaEntry) markOwnerHeard() {
	e.ownerLostAt = 0
	e.relinquished = false
}

// ownerHeard says that the owner has not given the request up and is alive, as alive tells.
func (e *replicaEntry) ownerHeard(now time.Duration, alive ownerAlive) bool {
	return !e.relinquished && alive(&e.Entry, e.deadline-now)
}

// acceptorState is what the acceptor's rules go by; nil: the replica holds nothing.
func (e *replicaEntry) acceptorState() *Entry {
	if e == nil {
		return nil
	}
	return &e.Entry
}

// snapshot is the entry as it is sent: times become ages, for clocks of gateways differ.
func (e *replicaEntry) snapshot(now time.Duration) *Entry {
	if e == nil {
		return nil
	}
	snapshot := e.Entry
	snapshot.Record.TimeLeft = e.deadline - now
	snapshot.Intents = slices.Clone(e.Intents)
	for i := range snapshot.Intents {
		snapshot.Intents[i].Age = now - e.intendedAt[i]
	}
	return &snapshot
}

// intend accepts an intent, if the acceptor's rules allow it.
func (s *store) intend(key Key, intent Intent) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[key]
	verdict := MayIntend(entry.acceptorState(), intent.Ballot)
	if verdict != Accepted {
		return verdict
	}
	before := len(entry.Intents)
	entry.AcceptIntent(intent)
	if len(entry.Intents) > before {
		entry.intendedAt = append(entry.intendedAt, s.now()-intent.Age)
	}
	entry.markOwnerHeard()
	return Accepted
}

// markNotRun notes that an attempt has ended and has not run.
func (s *store) markNotRun(key Key, ballot Ballot, attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.entries[key]; entry != nil {
		for i := range entry.Intents {
			if entry.Intents[i].Ballot == ballot && entry.Intents[i].Attempt == attempt {
				entry.Intents[i].NotRun = true
			}
		}
	}
}

// settle accepts an outcome, or returns the entry that stands against it.
func (s *store) settle(key Key, outcome Outcome, ballot Ballot) (Verdict, *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[key]
	verdict := MaySettle(entry.acceptorState(), ballot)
	if verdict != Accepted {
		return verdict, entry.snapshot(s.now())
	}
	entry.AcceptOutcome(outcome, ballot)
	s.resize(entry)
	entry.markOwnerHeard()
	entry.notifyChange()
	return Accepted, nil
}

// resize counts an entry's bytes anew. The caller holds mu.
func (s *store) resize(entry *replicaEntry) {
	s.bytes -= entry.size
	entry.size = sizeOf(&entry.Record)
	if entry.Outcome != nil {
		entry.size += len(entry.Outcome.Body)
	}
	s.bytes += entry.size
}

// decide notes that a majority has accepted an outcome of the request of a key and generation, and drops the request's body,
// which nobody needs any more. A decision that comes late, when the next request of the key is held, says nothing of that one.
func (s *store) decide(key Key, generation uint32, outcome Outcome, ballot Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[key]
	if entry == nil || entry.Decided || entry.Record.Generation != generation {
		return
	}
	entry.AcceptOutcome(outcome, ballot)
	entry.Decided = true
	entry.decidedAt = s.now()
	entry.Record.Body = nil
	entry.Record.Headers = nil
	s.resize(entry)
	entry.notifyChange()
}

// claim promises a ballot and returns the entry with all that was accepted before, or the entry that stands against it. A
// replica that never had the request stores its record with the claim.
func (s *store) claim(record Record, ballot Ballot, alive ownerAlive) (Verdict, *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[record.Key]
	if entry != nil && entry.Record.Generation < record.Generation {
		s.drop(entry)
		entry = nil
	}
	ownerHeard := entry != nil && entry.ownerHeard(s.now(), alive)
	verdict := MayClaim(entry.acceptorState(), ballot, ownerHeard)
	if verdict != Accepted {
		return verdict, entry.snapshot(s.now())
	}
	if entry == nil {
		if !s.reserveSpace(sizeOf(&record)) {
			return NoCapacity, nil
		}
		entry = s.add(record, ballot)
	}
	entry.Promised = ballot
	entry.markOwnerHeard()
	return Accepted, entry.snapshot(s.now())
}

// withdraw drops a request whose owner says that no attempt of it was begun, if MayWithdraw allows it.
func (s *store) withdraw(key Key, ballot Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.entries[key]; entry != nil && MayWithdraw(&entry.Entry, ballot) {
		s.drop(entry)
	}
}

// lookup returns the entry of a key and a channel that is closed at its next change; nil: none is held.
func (s *store) lookup(key Key) (*Entry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[key]
	if entry == nil {
		return nil, nil
	}
	return entry.snapshot(s.now()), entry.changed
}
