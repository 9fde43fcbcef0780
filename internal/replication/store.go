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

// makeSpace makes room for n bytes, by dropping decided entries before their retention is over, the oldest first; what is
// undecided is never dropped. false: there is no capacity. The caller holds mu.
func (s *store) makeSpace(n int) bool {
	for s.bytes+n > s.maxBytes {
		var oldest *replicaEntry
		for _, held := range s.entries {
			if held.decidedAt > 0 && (oldest == nil || held.decidedAt < oldest.decidedAt) {
				oldest = held
			}
		}
		if oldest == nil {
			s.counts.Full++
			return false
		}
		s.drop(oldest)
		s.counts.Forgot++
	}
	return true
}

// drop forgets an entry. The caller holds mu.
func (s *store) drop(held *replicaEntry) {
	delete(s.entries, held.Record.Key)
	s.bytes -= held.size
	held.notifyChange()
}

// add stores a new entry. The caller holds mu and has made space.
func (s *store) add(record Record, ballot Ballot) *replicaEntry {
	held := &replicaEntry{
		Entry:    Entry{Record: record, Promised: ballot},
		deadline: s.now() + record.TimeLeft,
		size:     sizeOf(&record),
		changed:  make(chan struct{}),
	}
	s.entries[record.Key] = held
	s.bytes += held.size
	return held
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
	held := s.entries[record.Key]
	verdict := MayRecord(held.acceptorState(), &record, ballot)
	if verdict != Yes {
		return verdict, held.snapshot(s.now())
	}
	if held != nil && held.Record.Generation == record.Generation {
		return Yes, nil // once more
	}
	if held != nil {
		s.drop(held)
	}
	if !s.makeSpace(sizeOf(&record)) {
		return Full, nil
	}
	s.add(record, ballot)
	return Yes, nil
}

// heardOwner notes that whoever goes by the promised ballot was heard: the request is no orphan.
func (e *replicaEntry) heardOwner() {
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
	held := s.entries[key]
	verdict := MayIntend(held.acceptorState(), intent.Ballot)
	if verdict != Yes {
		return verdict
	}
	before := len(held.Intents)
	held.TakeIntent(intent)
	if len(held.Intents) > before {
		held.intendedAt = append(held.intendedAt, s.now()-intent.Age)
	}
	held.heardOwner()
	return Yes
}

// markNotRun notes that an attempt has ended and has not run.
func (s *store) markNotRun(key Key, ballot Ballot, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.entries[key]; held != nil {
		for i := range held.Intents {
			if held.Intents[i].Ballot == ballot && held.Intents[i].Attempt == n {
				held.Intents[i].NotRun = true
			}
		}
	}
}

// settle accepts an outcome, or returns the entry that stands against it.
func (s *store) settle(key Key, outcome Outcome, ballot Ballot) (Verdict, *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.entries[key]
	verdict := MaySettle(held.acceptorState(), ballot)
	if verdict != Yes {
		return verdict, held.snapshot(s.now())
	}
	held.TakeOutcome(outcome, ballot)
	s.resize(held)
	held.heardOwner()
	held.notifyChange()
	return Yes, nil
}

// resize counts an entry's bytes anew. The caller holds mu.
func (s *store) resize(held *replicaEntry) {
	s.bytes -= held.size
	held.size = sizeOf(&held.Record)
	if held.Outcome != nil {
		held.size += len(held.Outcome.Body)
	}
	s.bytes += held.size
}

// decide notes that a majority has accepted an outcome of the request of a key and generation, and drops the request's body,
// which nobody needs any more. A decision that comes late, when the next request of the key is held, says nothing of that one.
func (s *store) decide(key Key, generation uint32, outcome Outcome, ballot Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.entries[key]
	if held == nil || held.Decided || held.Record.Generation != generation {
		return
	}
	held.TakeOutcome(outcome, ballot)
	held.Decided = true
	held.decidedAt = s.now()
	held.Record.Body = nil
	held.Record.Headers = nil
	s.resize(held)
	held.notifyChange()
}

// claim promises a ballot and returns the entry with all that was accepted before, or the entry that stands against it. A
// replica that never had the request stores its record with the claim.
func (s *store) claim(record Record, ballot Ballot, alive ownerAlive) (Verdict, *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.entries[record.Key]
	if held != nil && held.Record.Generation < record.Generation {
		s.drop(held)
		held = nil
	}
	ownerHeard := held != nil && held.ownerHeard(s.now(), alive)
	verdict := MayClaim(held.acceptorState(), ballot, ownerHeard)
	if verdict != Yes {
		return verdict, held.snapshot(s.now())
	}
	if held == nil {
		if !s.makeSpace(sizeOf(&record)) {
			return Full, nil
		}
		held = s.add(record, ballot)
	}
	held.Promised = ballot
	held.heardOwner()
	return Yes, held.snapshot(s.now())
}

// withdraw drops a request whose owner says that no attempt of it was begun, if MayWithdraw allows it.
func (s *store) withdraw(key Key, ballot Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.entries[key]; held != nil && MayWithdraw(&held.Entry, ballot) {
		s.drop(held)
	}
}

// lookup returns the entry of a key and a channel that is closed at its next change; nil: none is held.
func (s *store) lookup(key Key) (*Entry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.entries[key]
	if held == nil {
		return nil, nil
	}
	return held.snapshot(s.now()), held.changed
}
