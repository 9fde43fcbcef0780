// Package facts holds what nodes know, each from its own sight, and what is known of whom, from how many, and how old it is
// at most. It does no I/O, has no clock and no goroutine: time and facts come in, facts go out. Who lives is
// internal/members'; how a fact travels is not this package's.
//
// What it promises:
//
//   - A fact has one author, and of one author, subject and kind the one of the latest life and then of the latest
//     sequence holds. Merging does not hang on order, repetition or grouping (TestMergingHangsOnNoOrder).
//   - Ages are never under-reported as long as no hop takes longer than Options.Hop: clocks are not compared; a fact's age
//     goes with it, grows while it is held, and each hop adds Hop to what it may be at most (TestAgesAreNeverUnderReported).
//   - A reader gets those facts that are not older than it can use, and how many authors they come from; none: unknown. No
//     guess is made of what is missing.
//   - Memory: Options.Authors facts a subject and kind, Options.Subjects of these; beyond, the oldest go, and are counted.
package facts

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Kind says what a fact tells of its subject. Values are small numbers, for datagrams are.
type Kind uint8

// Kinds.
const (
	Held     Kind = iota + 1 // of a server: calls of the author's that are there
	Sent                     // of a server: calls that the author has sent it, since its life began
	Ended                    // of a server: of them, those that ended badly
	Latency                  // of a server: mean latency as the author sees it, in microseconds
	Demand                   // of a class: calls a second that come to the author, in hundredths
	Warmth                   // of a zone: share of its servers that are warm, in ten thousandths
	Capacity                 // of a zone: servers in service, as the author's list says
	Version                  // of a list or a configuration: its number at the author
	lastKind = Version
)

// Subject is what a fact is of: a server, zone, class or list, by the number that all nodes make of its name.
type Subject uint64

// Author is who made it: a member by its ID, in a life.
type Author struct {
	ID   uint64
	Life uint32
}

// Fact is one. Its age is as of when it was handed in or out.
type Fact struct {
	Kind    Kind
	Subject Subject
	Author  Author
	Seq     uint32 // grows with each that the author makes of the subject and kind
	Value   uint32
	Age     time.Duration // by which it is at least old: the time that it was held
	Hops    uint8         // that it took
}

// Most is how old the fact may be.
func (f Fact) Most(hop time.Duration) time.Duration { return f.Age + time.Duration(f.Hops)*hop }

// Options bound a Store.
type Options struct {
	Hop      time.Duration // that one hop takes at most; later ones are not known to hold
	Keep     time.Duration // facts that may be older are dropped
	Subjects int           // pairs of subject and kind
	Authors  int           // facts of each
	Passes   int           // times that a fact is handed out, to anybody
}

// Check names the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.Hop <= 0 || o.Keep < 2*o.Hop:
		return fmt.Errorf("facts: hop %v, keep %v; allowed: above 0, and twice that at least", o.Hop, o.Keep)
	case o.Subjects < 1 || o.Authors < 1 || o.Passes < 1:
		return fmt.Errorf("facts: subjects %d, authors %d, passes %d; allowed: 1 or more", o.Subjects, o.Authors, o.Passes)
	}
	return nil
}

// held is a fact in a Store: made is by when on its clock it was made at the latest.
type held struct {
	Fact
	made   time.Duration
	passes int
	gone   bool // another has its place
}

type topic struct {
	kind    Kind
	subject Subject
}

// Store is what one node knows. Its methods belong to one goroutine.
type Store struct {
	o       Options
	self    Author
	now     time.Duration
	topics  map[topic][]*held // in the order of their authors' IDs
	seq     map[topic]uint32
	fresh   [][]*held // to be handed on, by how often they were, the youngest last; some have gone
	waiting int       // in all of these
	size    int       // facts held
	Dropped Dropped
}

// Dropped counts what was not kept, by why.
type Dropped struct{ Old, Late, Full, Odd, Foreign int }

// New returns a Store of an author that knows nothing.
func New(self Author, o Options) (*Store, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	return &Store{o: o, self: self, topics: map[topic][]*held{}, seq: map[topic]uint32{}, fresh: make([][]*held, o.Passes)}, nil
}

// Advance takes the time of the node's clock and drops what has grown too old.
func (s *Store) Advance(now time.Duration) {
	s.now = max(s.now, now)
	for t, list := range s.topics {
		kept := slices.DeleteFunc(list, func(h *held) bool {
			h.gone = h.gone || s.most(h) > s.o.Keep
			return h.gone
		})
		s.Dropped.Late += len(list) - len(kept)
		s.size -= len(list) - len(kept)
		if s.topics[t] = kept; len(kept) == 0 {
			delete(s.topics, t)
		}
	}
}

// most is how old a fact may be now.
func (s *Store) most(h *held) time.Duration {
	return s.now - h.made + time.Duration(h.Hops)*s.o.Hop
}

// Make makes a fact of the node's own.
func (s *Store) Make(now time.Duration, k Kind, of Subject, value uint32) {
	s.now = max(s.now, now)
	t := topic{k, of}
	s.seq[t]++
	s.put(Fact{Kind: k, Subject: of, Author: s.self, Seq: s.seq[t], Value: value})
}

// Take merges what another node handed on, one hop from there. Of the node's own facts none is taken: what it does not
// know of itself it made in a life that is over.
func (s *Store) Take(now time.Duration, f Fact) {
	s.now = max(s.now, now)
	if f.Kind < 1 || f.Kind > lastKind || f.Author.ID == 0 || f.Age < 0 || f.Hops == 255 {
		s.Dropped.Odd++
		return
	}
	f.Hops++
	switch {
	case f.Author.ID == s.self.ID:
		s.Dropped.Foreign++
	case f.Most(s.o.Hop) > s.o.Keep:
		s.Dropped.Late++
	default:
		s.put(f)
	}
}

func (s *Store) put(f Fact) {
	t := topic{f.Kind, f.Subject}
	list := s.topics[t]
	i, known := slices.BinarySearchFunc(list, f.Author.ID, func(h *held, id uint64) int { return cmp.Compare(h.Author.ID, id) })
	next := &held{Fact: f, made: s.now - f.Age}
	if known {
		old := list[i]
		switch c := cmp.Or(cmp.Compare(f.Author.Life, old.Author.Life), cmp.Compare(f.Seq, old.Seq)); {
		case c < 0:
			s.Dropped.Old++
		case c > 0:
			old.gone = true
			list[i] = next
			s.queue(next)
		case s.most(next) < s.most(old): // the same by a shorter way
			old.made, old.Hops = next.made, next.Hops
		}
		return
	}
	if len(list) == 0 && len(s.topics) >= s.o.Subjects && !s.makeRoom() {
		s.Dropped.Full++
		return
	}
	if len(list) >= s.o.Authors {
		oldest := 0
		for k := range list {
			if s.most(list[k]) > s.most(list[oldest]) || list[oldest].Author == s.self {
				oldest = k
			}
		}
		s.Dropped.Full++
		if s.most(list[oldest]) <= s.most(next) && f.Author != s.self || list[oldest].Author == s.self {
			return
		}
		list[oldest].gone = true
		list = slices.Delete(list, oldest, oldest+1)
		s.size--
		if i > oldest {
			i--
		}
	}
	s.topics[t] = slices.Insert(list, i, next)
	s.size++
	s.queue(next)
}

// queue has a fact be handed on once more. Now and then those that have gone are swept out.
func (s *Store) queue(h *held) {
	s.fresh[h.passes] = append(s.fresh[h.passes], h)
	if s.waiting++; s.waiting > 64+2*s.Size() {
		s.waiting = 0
		for i, list := range s.fresh {
			s.fresh[i] = slices.DeleteFunc(list, func(h *held) bool { return h.gone })
			s.waiting += len(s.fresh[i])
		}
	}
}

// makeRoom drops the subject of which the youngest fact is oldest, unless that is the node's own.
func (s *Store) makeRoom() bool {
	var worst topic
	found, age := false, time.Duration(-1)
	for t, list := range s.topics {
		youngest := time.Duration(1 << 62)
		for _, h := range list {
			if h.Author == s.self {
				youngest = -1
			}
			youngest = min(youngest, s.most(h))
		}
		if youngest > age || youngest == age && found && (t.subject < worst.subject || t.subject == worst.subject && t.kind < worst.kind) {
			worst, age, found = t, youngest, true
		}
	}
	if found {
		s.Dropped.Full += len(s.topics[worst])
		s.size -= len(s.topics[worst])
		for _, h := range s.topics[worst] {
			h.gone = true
		}
		delete(s.topics, worst)
	}
	return found
}

// Known is what a Store answers of a subject.
type Known struct {
	Facts []Fact        // one an author, none older than was asked for
	Most  time.Duration // how old the oldest of them may be; 0 where nothing is known
	Older int           // authors whose facts are older than that: how they stand now is not known
}

// Ask tells what is known of a subject that is not older than most.
func (s *Store) Ask(now time.Duration, k Kind, of Subject, most time.Duration) (a Known) {
	s.now = max(s.now, now)
	for _, h := range s.topics[topic{k, of}] {
		if age := s.most(h); age <= most {
			a.Facts = append(a.Facts, s.out(h))
			a.Most = max(a.Most, age)
		} else {
			a.Older++
		}
	}
	return a
}

// out is a fact with its age as of now.
func (s *Store) out(h *held) Fact {
	f := h.Fact
	f.Age = s.now - h.made
	return f
}

// Hand gives up to n facts to pass on: those that went out least, then those that came last. Each goes out Passes times in
// all, unless a later one takes its place or it has grown too old to be of use at the other end.
func (s *Store) Hand(now time.Duration, n int) (out []Fact) {
	s.now = max(s.now, now)
	var again []*held
	for level := range s.fresh {
		for len(s.fresh[level]) > 0 && len(out) < n {
			last := len(s.fresh[level]) - 1
			h := s.fresh[level][last]
			s.fresh[level][last] = nil
			s.fresh[level] = s.fresh[level][:last]
			s.waiting--
			if h.gone || h.Hops >= 254 || s.most(h)+s.o.Hop > s.o.Keep {
				continue
			}
			out = append(out, s.out(h))
			if h.passes++; h.passes < s.o.Passes {
				again = append(again, h)
			}
		}
	}
	for _, h := range again {
		s.queue(h)
	}
	return out
}

// Size is how many facts are held.
func (s *Store) Size() int { return s.size }
