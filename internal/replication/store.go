package replication

import (
	"slices"
	"sync"
	"time"
)

// store is what this gateway holds as a replica.
type store struct {
	now  func() time.Duration
	keep time.Duration
	most int // bytes

	mu     sync.Mutex
	held   map[Key]*replicaEntry
	bytes  int
	counts StoreCounts
}

// StoreCounts are of a replica since its start.
type StoreCounts struct {
	Held   int `json:"held"`   // requests, now
	Open   int `json:"open"`   // of them undecided
	Bytes  int `json:"bytes"`  // of them, about
	Full   int `json:"full"`   // records for which there was no room
	Forgot int `json:"forgot"` // answers that were forgotten early, for want of room
}

// replicaEntry is an entry, with what only its replica knows.
type replicaEntry struct {
	Entry
	until    time.Duration // its client's deadline, by this gateway's clock
	settled  time.Duration // when it was decided; 0: it is not
	lost     time.Duration // since when nobody is heard who has it in hand; 0: somebody is
	handed   bool          // it was given out of hand
	claiming bool          // by this gateway
	seen     []time.Duration
	size     int
	changed  chan struct{} // closed at its next change
}

func newStore(now func() time.Duration, keep time.Duration, most int) *store {
	return &store{now: now, keep: keep, most: most, held: map[Key]*replicaEntry{}}
}

// sizeOf is about what an entry takes.
func sizeOf(r *Record) int {
	n := 600 + len(r.Body) + len(r.Target) + len(r.ID) + 2*len(r.Key.ID) + 64*len(r.Replicas)
	for k, v := range r.Headers {
		n += len(k) + 32
		for _, s := range v {
			n += len(s) + 16
		}
	}
	return n
}

// makeSpace makes room for n bytes, by forgetting answers before their time, the oldest first. The caller holds mu.
func (s *store) makeSpace(n int) bool {
	for s.bytes+n > s.most {
		var oldest *replicaEntry
		for _, h := range s.held {
			if h.settled > 0 && (oldest == nil || h.settled < oldest.settled) {
				oldest = h
			}
		}
		if oldest == nil {
			return false
		}
		s.drop(oldest)
		s.counts.Forgot++
	}
	return true
}

func (s *store) drop(h *replicaEntry) {
	delete(s.held, h.Record.Key)
	s.bytes -= h.size
	close(h.changed)
	h.changed = make(chan struct{})
}

// add takes a new entry. The caller holds mu and has seen to room.
func (s *store) add(r Record, b Ballot) *replicaEntry {
	h := &replicaEntry{Entry: Entry{Record: r, Promised: b}, until: s.now() + r.Left, size: sizeOf(&r), changed: make(chan struct{})}
	s.held[r.Key] = h
	s.bytes += h.size
	return h
}

// notify has those wait no longer who wait for a change of it. The caller holds mu.
func (h *replicaEntry) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// record takes a record, and tells what was held before where it does not.
func (s *store) record(r Record, b Ballot) (Verdict, *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[r.Key]
	v := MayRecord(h.entry(), &r, b)
	if v != Yes {
		return v, h.snapshot(s.now())
	}
	if h != nil && h.Record.Gen == r.Gen {
		return Yes, nil // once more
	}
	if h != nil {
		s.drop(h)
	}
	if !s.makeSpace(sizeOf(&r)) {
		s.counts.Full++
		return Full, nil
	}
	s.add(r, b)
	return Yes, nil
}

func (h *replicaEntry) entry() *Entry {
	if h == nil {
		return nil
	}
	return &h.Entry
}

// snapshot is the entry as it is sent: times become ages.
func (h *replicaEntry) snapshot(now time.Duration) *Entry {
	if h == nil {
		return nil
	}
	e := h.Entry
	e.Record.Left = h.until - now
	e.Intents = slices.Clone(h.Intents)
	for i := range e.Intents {
		e.Intents[i].Age = now - h.seen[i]
	}
	return &e
}

func (s *store) intend(k Key, in Intent) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[k]
	v := MayIntend(h.entry(), in.By)
	if v == Yes {
		n := len(h.Intents)
		h.TakeIntent(in)
		if len(h.Intents) > n {
			h.seen = append(h.seen, s.now()-in.Age)
		}
		h.lost, h.handed = 0, false
	}
	return v
}

// ended notes that an attempt has ended and has not run.
func (s *store) ended(k Key, by Ballot, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.held[k]; h != nil {
		for i := range h.Intents {
			if h.Intents[i].By == by && h.Intents[i].N == n {
				h.Intents[i].NotRun = true
			}
		}
	}
}

func (s *store) settle(k Key, o Outcome, b Ballot) (Verdict, *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[k]
	v := MaySettle(h.entry(), b)
	if v != Yes {
		return v, h.snapshot(s.now())
	}
	h.TakeOutcome(o, b)
	s.resize(h)
	h.lost, h.handed = 0, false
	h.notify()
	return Yes, nil
}

// resize counts an entry's answer. A decided one needs its body no more.
func (s *store) resize(h *replicaEntry) {
	s.bytes -= h.size
	h.size = sizeOf(&h.Record)
	if h.Outcome != nil {
		h.size += len(h.Outcome.Body)
	}
	s.bytes += h.size
}

// decide notes that a majority has taken an outcome of a key's request of that generation. One that comes late, when the next request
// of the key is held, says nothing of that.
func (s *store) decide(k Key, gen uint32, o Outcome, b Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[k]
	if h == nil || h.Decided || h.Record.Gen != gen {
		return
	}
	h.TakeOutcome(o, b)
	h.Decided, h.settled = true, s.now()
	h.Record.Body, h.Record.Headers = nil, nil
	s.resize(h)
	h.notify()
}

// claim promises a ballot, and tells what was taken before. A replica that never had the request takes its record with the claim.
func (s *store) claim(r Record, b Ballot, heard func(e *Entry, left time.Duration) bool) (Verdict, *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[r.Key]
	if h != nil && h.Record.Gen < r.Gen {
		s.drop(h)
		h = nil
	}
	v := MayClaim(h.entry(), b, h != nil && !h.handed && heard(&h.Entry, h.until-s.now()))
	if v != Yes {
		return v, h.snapshot(s.now())
	}
	if h == nil {
		if !s.makeSpace(sizeOf(&r)) {
			s.counts.Full++
			return Full, nil
		}
		h = s.add(r, b)
	}
	h.Promised = b
	h.lost, h.handed = 0, false
	return Yes, h.snapshot(s.now())
}

// hand notes that whoever has a request in hand by a ballot has given it out of hand.
func (s *store) hand(k Key, b Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.held[k]; h != nil && h.Promised == b && !h.Decided {
		h.handed = true
	}
}

// withdraw releases a request whose owner says that nothing of it was begun, unless an intent of it was taken or another has it in
// hand by now.
func (s *store) withdraw(k Key, b Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.held[k]; h != nil && MayWithdraw(&h.Entry, b) {
		s.drop(h)
	}
}

// find is what is held of a key, and what tells of its next change.
func (s *store) find(k Key) (*Entry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[k]
	if h == nil {
		return nil, nil
	}
	return h.snapshot(s.now()), h.changed
}

// orphans are the undecided requests that this gateway should claim now, each once until release: nobody is heard who has it
// in hand, and has not been for as long as Patience says.
func (s *store) orphans(self string, heard func(e *Entry, left time.Duration) bool) (out []Key, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for k, h := range s.held {
		switch {
		case h.settled > 0 && now-h.settled > s.keep || h.settled == 0 && now-h.until > s.keep:
			s.drop(h)
			continue
		case h.Decided || h.claiming || h.Recovered:
			continue
		}
		open = true
		if !h.handed && heard(&h.Entry, h.until-now) {
			h.lost = 0
			continue
		}
		if h.lost == 0 {
			h.lost = now
		}
		wait := ClaimDelay(h.Record.Replicas, h.Promised.Owner, self)
		if h.handed {
			wait -= claimAfter // it is sure that nobody has it
		}
		if now-h.lost >= wait {
			h.claiming = true
			out = append(out, k)
		}
	}
	return out, open
}

// release has a request be claimed again when it is due.
func (s *store) release(k Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.held[k]; h != nil {
		h.claiming, h.lost = false, 0
	}
}

func (s *store) status() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Held, c.Bytes = len(s.held), s.bytes
	for _, h := range s.held {
		if !h.Decided {
			c.Open++
		}
	}
	return c
}
