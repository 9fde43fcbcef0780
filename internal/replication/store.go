package replication

import (
	"slices"
	"sync"
	"time"
)

// store holds in memory what this gateway has accepted as a replica. Each method is one atomic step of the replica: it evaluates
// and applies the acceptor's rules while holding mu.
type store struct {
	now       func() time.Duration
	retention time.Duration
	maxBytes  int

	mu      sync.Mutex
	entries map[Key]*replicaEntry
	bytes   int
	counts  StoreCounts
}

// ownerAlive reports whether this gateway considers the owner of an entry alive, given the time left until the deadline of the
// request.
type ownerAlive func(entry *Entry, timeLeft time.Duration) bool

// replicaEntry is an entry with the state that only this replica has. Points in time are readings of Options.Now.
type replicaEntry struct {
	Entry
	deadline     time.Duration   // deadline of the client by this gateway's clock
	decidedAt    time.Duration   // 0: undecided
	ownerLostAt  time.Duration   // when its owner was first found not alive; 0: it is alive
	relinquished bool            // its owner has relinquished it
	claiming     bool            // this gateway is claiming it or executing it after a claim
	intendedAt   []time.Duration // when each of Intents was accepted
	size         int             // approximate size in bytes
	changed      chan struct{}   // closed on the next change
}

// newStore returns an empty store of approximately maxBytes that drops decided entries after the retention.
func newStore(now func() time.Duration, retention time.Duration, maxBytes int) *store {
	return &store{now: now, retention: retention, maxBytes: maxBytes, entries: map[Key]*replicaEntry{}}
}

// Approximate memory overhead of the parts of an entry besides their contents, in bytes.
const (
	entryOverhead   = 600
	replicaOverhead = 64
	headerOverhead  = 32
	valueOverhead   = 16
)

// sizeOf returns the approximate size of an entry with the record, in bytes.
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

// reserveSpace ensures that n bytes are free. If necessary it drops decided entries before the end of their retention, the oldest
// first; undecided entries are never dropped. It returns false if there is not enough capacity. The caller holds mu.
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

// drop removes an entry. The caller holds mu.
func (s *store) drop(entry *replicaEntry) {
	delete(s.entries, entry.Record.Key)
	s.bytes -= entry.size
	entry.notifyChange()
}

// add stores a new entry. The caller holds mu and has reserved the space.
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

// notifyChange wakes the goroutines that wait for a change of the entry. The caller holds mu.
func (e *replicaEntry) notifyChange() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// record accepts a record, or returns the entry that conflicts with it.
func (s *store) record(record Record, ballot Ballot) (Verdict, *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[record.Key]
	verdict := MayRecord(entry.acceptorState(), &record, ballot)
	if verdict != Accepted {
		return verdict, entry.snapshot(s.now())
	}
	if entry != nil && entry.Record.Generation == record.Generation {
		return Accepted, nil // retransmitted
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

// markOwnerHeard records a message with the promised ballot: the request has a live owner.
func (e *replicaEntry) markOwnerHeard() {
	e.ownerLostAt = 0
	e.relinquished = false
}

// ownerHeard reports whether the owner is alive according to alive and has not relinquished the request.
func (e *replicaEntry) ownerHeard(now time.Duration, alive ownerAlive) bool {
	return !e.relinquished && alive(&e.Entry, e.deadline-now)
}

// acceptorState returns the state that the rules of the acceptor use; nil: the replica holds nothing.
func (e *replicaEntry) acceptorState() *Entry {
	if e == nil {
		return nil
	}
	return &e.Entry
}

// snapshot returns a copy of the entry to be sent. Points in time are converted to durations, because the clocks of gateways
// differ.
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

// intend accepts an intent if the rules of the acceptor permit it.
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

// markNotRun marks an attempt that has ended and has not run.
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

// settle accepts an outcome, or returns the entry that conflicts with it.
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

// resize recomputes the size of an entry. The caller holds mu.
func (s *store) resize(entry *replicaEntry) {
	s.bytes -= entry.size
	entry.size = sizeOf(&entry.Record)
	if entry.Outcome != nil {
		entry.size += len(entry.Outcome.Body)
	}
	s.bytes += entry.size
}

// decide stores the outcome that a majority has accepted for a request, and drops the body and headers of the request, which are
// no longer needed. The generation must match: a late decision does not apply to the next request of the same key.
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

// claim promises a ballot and returns the entry with everything accepted before, or the entry that conflicts with the claim. A
// replica that never received the request stores the record from the claim.
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

// withdraw drops a request that its owner withdraws because it has begun no attempt, if MayWithdraw permits it.
func (s *store) withdraw(key Key, ballot Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.entries[key]; entry != nil && MayWithdraw(&entry.Entry, ballot) {
		s.drop(entry)
	}
}

// lookup returns the entry of a key and a channel that is closed on its next change, or nil if there is no entry.
func (s *store) lookup(key Key) (*Entry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[key]
	if entry == nil {
		return nil, nil
	}
	return entry.snapshot(s.now()), entry.changed
}
