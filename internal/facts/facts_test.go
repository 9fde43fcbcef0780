package facts

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func options() Options {
	return Options{Hop: 50 * ms, Keep: 10 * time.Second, Subjects: 100, Authors: 50, Passes: 3}
}

func store(t testing.TB, id uint64, o Options) *Store {
	t.Helper()
	s, err := New(Author{ID: id, Life: 1}, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// drawn is a fact of a few authors, subjects and sequences, so that draws meet.
func drawn(t *rapid.T) Fact {
	return Fact{Kind: Kind(rapid.IntRange(1, 2).Draw(t, "kind")), Subject: Subject(rapid.IntRange(1, 3).Draw(t, "subject")),
		Author: Author{uint64(rapid.IntRange(1, 4).Draw(t, "author")), uint32(rapid.IntRange(0, 2).Draw(t, "life"))},
		Seq:    uint32(rapid.IntRange(0, 3).Draw(t, "seq")), Age: time.Duration(rapid.IntRange(0, 400).Draw(t, "age")) * ms, Hops: uint8(rapid.IntRange(0, 3).Draw(t, "hops"))}
}

// valued makes a fact's value follow from who made it when, as an author's does.
func valued(f Fact) Fact {
	f.Value = f.Author.Life*1000 + f.Seq
	return f
}

func all(s *Store) map[topic][]Fact {
	out := map[topic][]Fact{}
	for t, list := range s.topics {
		for _, h := range list {
			out[t] = append(out[t], s.out(h))
		}
	}
	return out
}

func TestMergingHangsOnNoOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		facts := rapid.SliceOfN(rapid.Custom(drawn), 1, 12).Draw(r, "facts")
		order := rapid.Permutation(facts).Draw(r, "order")
		again := rapid.SliceOfN(rapid.SampledFrom(facts), 0, 5).Draw(r, "again")
		a, b := store(t, 99, options()), store(t, 99, options())
		for _, f := range facts {
			a.Take(time.Second, valued(f))
		}
		for _, f := range append(order, again...) {
			b.Take(time.Second, valued(f))
		}
		if x, y := all(a), all(b); !reflect.DeepEqual(x, y) {
			r.Fatalf("%v\nand in another order, some twice,\n%v", x, y)
		}
	})
}

// Facts wander through nodes whose clocks have nothing to do with one another, over hops that take up to Hop: however they
// came, no node thinks one younger than it is.
func TestAgesAreNeverUnderReported(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		o := options()
		const n = 6
		var stores []*Store
		var clocks []time.Duration
		for i := range n {
			stores = append(stores, store(t, uint64(i)+1, o))
			clocks = append(clocks, time.Duration(rng.Int64N(int64(24*time.Hour))))
		}
		type flight struct {
			at   time.Duration
			to   int
			text []byte
		}
		var flying []flight
		for now := time.Duration(0); now < 20*time.Second; now += 10 * ms {
			for i, s := range stores {
				if rng.IntN(20) == 0 {
					s.Make(clocks[i]+now, Held, Subject(rng.IntN(3)), uint32(now/ms))
				}
				if rng.IntN(5) == 0 {
					if out := s.Hand(clocks[i]+now, MostFacts); len(out) > 0 {
						flying = append(flying, flight{now + time.Duration(rng.Int64N(int64(o.Hop))), rng.IntN(n), Append(nil, out...)})
					}
				}
				s.Advance(clocks[i] + now)
			}
			kept := flying[:0]
			for _, f := range flying {
				if f.at > now {
					kept = append(kept, f)
					continue
				}
				facts, err := Parse(f.text)
				if err != nil {
					t.Fatal(err)
				}
				for _, x := range facts {
					// It arrives within the hop: by now at the earliest, a step late at the latest.
					stores[f.to].Take(clocks[f.to]+f.at, x)
				}
			}
			flying = kept
			for i, s := range stores {
				for subject := range Subject(3) {
					a := s.Ask(clocks[i]+now, Held, subject, o.Keep)
					for _, f := range a.Facts {
						if real := now - time.Duration(f.Value)*ms; real > f.Most(o.Hop) || real > a.Most {
							t.Fatalf("seed %d: node %d holds a fact of %v ago for %v at most", seed, i, real, f.Most(o.Hop))
						}
					}
				}
			}
		}
	}
}

// What may be older than a reader can use is not in the answer, and is counted; nothing known is unknown, not nought.
func TestReadersGetUnknownRatherThanAGuess(t *testing.T) {
	s := store(t, 1, options())
	if a := s.Ask(0, Held, 7, time.Second); len(a.Facts) != 0 || a.Most != 0 || a.Older != 0 {
		t.Errorf("of a subject that nobody told of: %+v", a)
	}
	s.Make(0, Held, 7, 3)
	s.Take(0, Fact{Kind: Held, Subject: 7, Author: Author{ID: 2}, Value: 5, Age: 900 * ms, Hops: 1})
	if a := s.Ask(0, Held, 7, time.Second); len(a.Facts) != 2 || a.Most != time.Second {
		t.Errorf("%+v; want both, the older of 900 ms and two hops of 50", a)
	}
	if a := s.Ask(ms, Held, 7, time.Second); len(a.Facts) != 1 || a.Older != 1 || a.Facts[0].Value != 3 || a.Most != ms {
		t.Errorf("a millisecond later: %+v; want its own alone, and one that is older", a)
	}
	s.Advance(20 * time.Second)
	if s.Size() != 0 || s.Dropped.Late != 2 {
		t.Errorf("%d facts are kept, %+v", s.Size(), s.Dropped)
	}
}

// Whatever comes, memory is bounded; own facts stay, and the youngest of others'.
func TestMemoryIsBounded(t *testing.T) {
	o := options()
	o.Subjects, o.Authors = 10, 4
	s := store(t, 1, o)
	s.Make(0, Held, 5, 1)
	for i := range 20000 {
		s.Take(time.Duration(i)*ms/10, Fact{Kind: Held, Subject: Subject(i % 37), Author: Author{ID: uint64(2 + i%101)}, Seq: uint32(i), Age: time.Duration(i%13) * ms})
		held := 0
		for _, list := range s.topics {
			held += len(list)
		}
		if held != s.Size() || held > o.Subjects*o.Authors || len(s.topics) > o.Subjects || s.waiting > 65+2*held {
			t.Fatalf("%d facts (%d by its count) of %d subjects, %d wait", held, s.Size(), len(s.topics), s.waiting)
		}
	}
	if a := s.Ask(2*time.Second, Held, 5, o.Keep); len(a.Facts) == 0 || a.Facts[0].Author.ID != 1 {
		t.Errorf("its own fact is gone: %+v", a)
	}
	if s.Dropped.Full == 0 {
		t.Error("nothing was counted as dropped")
	}
	for _, f := range []Fact{{Kind: 99, Author: Author{ID: 2}}, {Kind: Held}, {Kind: Held, Author: Author{ID: 2}, Age: -1}, {Kind: Held, Author: Author{ID: 2}, Hops: 255}} {
		before := s.Dropped.Odd
		if s.Take(2*time.Second, f); s.Dropped.Odd != before+1 {
			t.Errorf("%+v was taken", f)
		}
	}
	if s.Take(2*time.Second, Fact{Kind: Held, Subject: 5, Author: Author{ID: 1, Life: 9}, Seq: 9, Value: 9}); s.Dropped.Foreign != 1 {
		t.Error("a fact under its own name was taken from another")
	}
}

// A hundred nodes, each of which hands a few facts a round to one other: what one makes all know within a dozen rounds.
func TestFactsSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	o := options()
	o.Passes = 12
	const n = 100
	var stores []*Store
	for i := range n {
		stores = append(stores, store(t, uint64(i)+1, o))
	}
	stores[0].Make(0, Version, 1, 41)
	rounds := 0
	for know := 0; know < n; rounds++ {
		if rounds > 40 {
			t.Fatalf("after %d rounds %d of %d know", rounds, know, n)
		}
		now := time.Duration(rounds) * 100 * ms
		for _, s := range stores {
			for _, f := range s.Hand(now, MostFacts) {
				stores[rng.IntN(n)].Take(now, f)
			}
		}
		know = 0
		for _, s := range stores {
			know += len(s.Ask(now, Version, 1, o.Keep).Facts)
		}
	}
	t.Log(rounds, "rounds")
}

func TestOptionsOutOfRangeAreRefused(t *testing.T) {
	for _, change := range []func(*Options){func(o *Options) { o.Hop = 0 }, func(o *Options) { o.Keep = o.Hop }, func(o *Options) { o.Subjects = 0 },
		func(o *Options) { o.Authors = 0 }, func(o *Options) { o.Passes = 0 }} {
		o := options()
		change(&o)
		if _, err := New(Author{ID: 1}, o); err == nil {
			t.Errorf("%+v was taken", o)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Append(nil, Fact{Kind: Held, Subject: 1 << 63, Author: Author{1, 2}, Seq: 3, Value: 4, Age: 5 * ms, Hops: 6}))
	f.Add(Append(nil, Fact{Kind: Version, Author: Author{1 << 63, 1<<32 - 1}, Age: maxAge + time.Hour}, Fact{Kind: Sent, Author: Author{ID: 9}, Age: 1}))
	f.Add([]byte("too short"))
	f.Fuzz(func(t *testing.T, b []byte) {
		facts, err := Parse(b)
		if err != nil {
			if len(facts) > 0 {
				t.Error("facts of malformed bytes")
			}
			return
		}
		if got := Append(nil, facts...); string(got) != string(b) {
			t.Errorf("%x is written as %x", b, got)
		}
		s := store(t, 1, options())
		for _, x := range facts {
			s.Take(0, x)
		}
		if s.Size() > len(facts) {
			t.Error("more facts than came")
		}
	})
}

func BenchmarkTakeAndHand(b *testing.B) {
	o := options()
	o.Subjects, o.Authors = 400, 300
	s, _ := New(Author{ID: 1}, o)
	for i := range 60 * 300 {
		s.Take(0, Fact{Kind: Held, Subject: Subject(i % 60), Author: Author{ID: uint64(2 + i/60)}, Seq: 1})
	}
	seq := uint32(1)
	b.ResetTimer()
	for b.Loop() {
		seq++
		for k := range MostFacts {
			s.Take(time.Duration(seq)*ms, Fact{Kind: Held, Subject: Subject(int(seq) % 60), Author: Author{ID: uint64(2 + k)}, Seq: seq})
		}
		if len(s.Hand(time.Duration(seq)*ms, MostFacts)) != MostFacts {
			b.Fatal(fmt.Sprint("nothing to hand on"))
		}
	}
}
