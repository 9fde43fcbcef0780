package replication

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/peering"
)

// Outcomes are kept for their retention, or until capacity is needed, the oldest dropped first; what is undecided is never
// dropped for capacity.
func TestReplicaEviction(t *testing.T) {
	now := time.Hour
	s := newStore(func() time.Duration { return now }, 30*time.Second, 10_000)
	ballot := Ballot{Number: 1, Owner: "A", Incarnation: 1}
	take := func(id string, body int) Verdict {
		verdict, _ := s.record(Record{Key: Key{"note", id}, ID: id, Body: make([]byte, body), TimeLeft: time.Minute}, ballot)
		return verdict
	}
	settle := func(id string) {
		s.settle(Key{"note", id}, Outcome{Kind: Served}, ballot)
		s.decide(Key{"note", id}, 0, Outcome{Kind: Served}, ballot)
		now += time.Second
	}
	for _, id := range []string{"a", "b", "c"} {
		if verdict := take(id, 2000); verdict != Accepted {
			t.Fatalf("%s: %v", id, verdict)
		}
	}
	if verdict := take("too much", 5000); verdict != NoCapacity {
		t.Errorf("a fourth, with nothing to forget: %v", verdict)
	}
	settle("b")
	settle("a")
	if verdict := take("d", 4000); verdict != Accepted {
		t.Errorf("with bodies of two that are decided dropped: %v", verdict)
	}
	if verdict := take("e", 1500); verdict != Accepted {
		t.Errorf("with an outcome to drop: %v", verdict)
	}
	held := func(id string) bool { entry, _ := s.lookup(Key{"note", id}); return entry != nil }
	if held("b") || !held("a") || !held("c") || !held("d") {
		t.Errorf("held: a %v, b %v, c %v, d %v; the oldest outcome goes first, the undecided stay", held("a"), held("b"), held("c"), held("d"))
	}
	now += 30 * time.Second
	s.orphans("X", func(*Entry, time.Duration) bool { return true })
	if held("a") || !held("c") {
		t.Error("an outcome is kept for longer than its retention, or an undecided request was dropped")
	}
	now += 2 * time.Minute
	s.orphans("X", func(*Entry, time.Duration) bool { return true })
	if c := s.status(); c.Entries != 0 || c.Bytes != 0 {
		t.Errorf("long after all deadlines: %+v", c)
	}
}

// Whoever sees the same group sees the same replicas of a key: an odd number, of as many zones as there are, and over many keys
// all gateways alike. In a group of two the other one is the only replica, alone there is none.
func TestChooseReplicas(t *testing.T) {
	var group []Gateway
	for i := range 9 {
		group = append(group, Gateway{Name: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i/3)})
	}
	counts := map[string]int{}
	const keys = 3000
	for i := range keys {
		key := Key{"note", fmt.Sprint(i)}
		v := ChooseReplicas(key, "g0", group, 3)
		shuffled := slices.Clone(group)
		slices.Reverse(shuffled)
		if again := ChooseReplicas(key, "g5", shuffled, 4); !slices.Equal(v, again) {
			t.Fatalf("%v, and by another gateway %v", v, again)
		}
		if len(v) != 3 || v[0].Zone == v[1].Zone || v[1].Zone == v[2].Zone || v[0].Zone == v[2].Zone {
			t.Fatalf("%v", v)
		}
		for _, g := range v {
			counts[g.Name]++
		}
	}
	for name, n := range counts {
		if n < keys/3*8/10 || n > keys/3*12/10 {
			t.Errorf("%s votes on %d of %d keys", name, n, keys)
		}
	}
	for _, c := range []struct{ group, replicas, want int }{{1, 3, 0}, {2, 3, 1}, {3, 3, 3}, {4, 3, 3}, {5, 5, 5}, {4, 5, 3}, {9, 1, 1}} {
		v := ChooseReplicas(Key{"note", "k"}, "g0", group[:c.group], c.replicas)
		if len(v) != c.want || c.group == 2 && v[0].Name != "g1" {
			t.Errorf("a group of %d, %d replicas: %v", c.group, c.replicas, v)
		}
	}
}

// A gateway that restarted, and is told so by a peer that knew its earlier incarnation, takes no key while repeats of before may come; what
// has no key it takes.
func TestRestartedReplicaRejectsKeyedRecords(t *testing.T) {
	var now atomic.Int64
	now.Store(int64(time.Hour))
	r := New(Options{Self: Gateway{Name: "A", Incarnation: 7}, Links: hubLinks{&peering.Hub{}}, Group: func() []Gateway { return nil }, Memory: 1 << 20, Retention: time.Second,
		RecoveryWindow: func() time.Duration { return 5 * time.Second }, Now: func() time.Duration { return time.Duration(now.Load()) }})
	defer r.Close()
	recordKey := func(key string) Verdict {
		record := Record{Key: Key{"log", fmt.Sprint(now.Load(), key)}, ID: "x", IdempotencyKey: key, TimeLeft: time.Second}
		return r.record(recordRequest{Record: record, Ballot: Ballot{Number: 1, Owner: "B", Incarnation: 1}, ReplicaIncarnation: 7}).Verdict
	}
	if verdict := recordKey("k"); verdict != Accepted {
		t.Errorf("before any peer said so: %v", verdict)
	}
	body, err := peering.Encode(incarnationNotice{Ago: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	r.Topics()[topicIncarnations](&peering.Link{Peer: peering.Peer{Name: "B"}}, body, nil)
	if verdict := recordKey("k"); verdict != OtherIncarnation {
		t.Errorf("2 s after its earlier incarnation: %v", verdict)
	}
	if verdict := recordKey(""); verdict != Accepted {
		t.Errorf("a request without a key: %v", verdict)
	}
	now.Add(int64(3*time.Second + 1))
	if verdict := recordKey("k"); verdict != Accepted {
		t.Errorf("once no repeat can come: %v", verdict)
	}
}

// keyedRecord is a request with an idempotency key that may be none.
func keyedRecord(id, idempotencyKey string) Record {
	return Record{
		Key:            Key{"log", id},
		ID:             id,
		IdempotencyKey: idempotencyKey,
		Body:           []byte("body"),
		TimeLeft:       time.Second,
		Replicas:       []Gateway{{Name: "A", Incarnation: 1}, {Name: "B", Incarnation: 2}, {Name: "C", Incarnation: 3}},
	}
}

// votedStore has five keys k0 to k4 for which B may have voted, k0 rejected and k1 served, and others that are none of B's votes.
func votedStore(t *testing.T, now func() time.Duration, ballot Ballot) *store {
	t.Helper()
	s := newStore(now, time.Minute, 1<<20)
	for i := range 5 {
		id := fmt.Sprint("k", i)
		verdict, _ := s.record(keyedRecord(id, id), ballot)
		if verdict != Accepted || s.intend(Key{"log", id}, Intent{Ballot: ballot, ID: id}) != Accepted {
			t.Fatal(verdict)
		}
	}
	s.record(keyedRecord("nothing allowed", "nothing allowed"), ballot)
	s.record(keyedRecord("no key", ""), ballot)
	elsewhere := keyedRecord("elsewhere", "elsewhere")
	elsewhere.Replicas = elsewhere.Replicas[:1]
	s.record(elsewhere, ballot)
	for id, outcome := range map[string]Outcome{
		"k0": {Kind: Rejected, NotRun: true},
		"k1": {Kind: Served, Body: []byte("answer")},
	} {
		s.settle(Key{"log", id}, outcome, ballot)
		s.decide(Key{"log", id}, 0, outcome, ballot)
	}
	return s
}

// recoverPages has one store recover B's votes from another, and returns how many came.
func recoverPages(t *testing.T, from, to *store) int {
	t.Helper()
	var after Key
	count := 0
	for more := true; more; {
		var page []Entry
		page, more = from.recoverable("B", after, 1700)
		for _, entry := range page {
			if len(entry.Record.Body) > 0 || entry.Record.TimeLeft != 900*time.Millisecond {
				t.Errorf("recovered %+v", entry)
			}
			for range 2 { // the same entry comes from several gateways
				if !to.addRecovered(entry) {
					t.Fatal("no capacity")
				}
			}
			after = entry.Record.Key
			count++
		}
	}
	return count
}

// A gateway that restarted is told of keys that it may have voted for, page by page, with outcomes that are decided, and knows
// them: it takes no other request of theirs, and none that it voted for in this incarnation is changed. It is no replica of what
// it was told.
func TestVotesOfEarlierIncarnationAreRecovered(t *testing.T) {
	now := time.Hour
	clock := func() time.Duration { return now }
	ballot := Ballot{Number: 1, Owner: "A", Incarnation: 1}
	other := votedStore(t, clock, ballot)
	now += 100 * time.Millisecond
	self := newStore(clock, time.Minute, 1<<20)
	own := keyedRecord("k4", "k4")
	own.ID = "voted in this incarnation"
	self.record(own, ballot)
	if count := recoverPages(t, other, self); count != 5 {
		t.Errorf("%d keys were recovered, want 5", count)
	}
	for _, c := range []struct {
		id         string
		generation uint32
		want       Verdict
	}{
		{"k0", 0, Duplicate},
		{"k1", 0, Duplicate},
		{"k2", 0, Duplicate},
		{"k0", 1, Accepted},
		{"k1", 1, Duplicate},
		{"k4", 1, Duplicate},
		{"elsewhere", 0, Accepted},
	} {
		record := keyedRecord(c.id, c.id)
		record.ID = "another request"
		record.Generation = c.generation
		if verdict, _ := self.record(record, Ballot{Number: 1, Owner: "C", Incarnation: 3}); verdict != c.want {
			t.Errorf("another request of %s, generation %d: %v, want %v", c.id, c.generation, verdict, c.want)
		}
	}
	if entry, _ := self.lookup(Key{"log", "k4"}); entry == nil || entry.Record.ID != "voted in this incarnation" {
		t.Errorf("what this incarnation voted for is now %+v", entry)
	}
	if entry, _ := self.lookup(Key{"log", "k1"}); entry == nil || !entry.Decided || string(entry.Outcome.Body) != "answer" {
		t.Errorf("the outcome is not known: %+v", entry)
	}
	if entry, _ := self.lookup(Key{"log", "k2"}); entry == nil || entry.Decided || !entry.Recovered {
		t.Errorf("what is undecided is %+v", entry)
	}
	now += time.Second
	dead := func(*Entry, time.Duration) bool { return false }
	if orphans, _ := self.orphans("B", dead); len(orphans) > 2 { // k4, and k0's next one
		t.Errorf("it would claim what it is no replica of: %v", orphans)
	}
	small := newStore(clock, time.Minute, 700)
	page, _ := other.recoverable("B", Key{}, 1<<20)
	if small.addRecovered(page[0]) && small.addRecovered(page[1]) && small.addRecovered(page[2]) {
		t.Error("more was recovered than there is capacity for")
	}
}

// The decision on a key's first request may come late, when the next request of the key is held: it decides nothing of that one.
func TestLateDecisionDoesNotApplyToNextRequest(t *testing.T) {
	s := newStore(func() time.Duration { return time.Hour }, time.Minute, 1<<20)
	key := Key{"log", "k"}
	first := Ballot{Number: 1, Owner: "A", Incarnation: 1, Sequence: 1}
	successor := Ballot{Number: 2, Owner: "B", Incarnation: 2, Sequence: 1}
	next := Ballot{Number: 1, Owner: "A", Incarnation: 1, Sequence: 2}
	rejected := Outcome{Kind: Rejected, NotRun: true}
	s.record(Record{Key: key, ID: "first", IdempotencyKey: "k", TimeLeft: time.Minute}, first)
	s.settle(key, rejected, first)
	if verdict, _ := s.record(Record{Key: key, Generation: 1, ID: "next", IdempotencyKey: "k", TimeLeft: time.Minute}, next); verdict != Accepted {
		t.Fatalf("a key whose request was rejected is used anew: %v", verdict)
	}
	s.decide(key, 0, rejected, successor)
	if verdict := s.intend(key, Intent{Ballot: next, ID: "next"}); verdict != Accepted {
		t.Errorf("an attempt of the next request, once the first is decided to be rejected: %v", verdict)
	}
	s.decide(key, 1, Outcome{Kind: Served}, next)
	if entry, _ := s.lookup(key); !entry.Decided || entry.Outcome.Kind != Served {
		t.Errorf("the next request's own decision: %+v", entry)
	}
}
