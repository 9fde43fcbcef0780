package replication

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/peering"
)

// Outcomes are kept until the end of their retention or until their memory is needed; then the oldest is dropped first. Undecided
// requests are never dropped to free memory.
func TestReplicaEviction(t *testing.T) {
	now := time.Hour
	replicaStore := newStore(func() time.Duration { return now }, 30*time.Second, 10_000)
	ballot := Ballot{Number: 1, Owner: "A", Incarnation: 1}
	record := func(id string, body int) Verdict {
		verdict, _ := replicaStore.record(Record{Key: Key{"note", id}, ID: id, Body: make([]byte, body), TimeLeft: time.Minute}, ballot)
		return verdict
	}
	settle := func(id string) {
		replicaStore.settle(Key{"note", id}, Outcome{Kind: Served}, ballot)
		replicaStore.decide(Key{"note", id}, 0, Outcome{Kind: Served}, ballot)
		now += time.Second
	}
	for _, id := range []string{"a", "b", "c"} {
		if verdict := record(id, 2000); verdict != Accepted {
			t.Fatalf("record of %s: verdict %v, want yes", id, verdict)
		}
	}
	if verdict := record("too much", 5000); verdict != NoCapacity {
		t.Errorf("a fourth record without a decided entry to evict: verdict %v, want full", verdict)
	}
	settle("b")
	settle("a")
	if verdict := record("d", 4000); verdict != Accepted {
		t.Errorf("after the bodies of two decided requests were dropped: verdict %v, want yes", verdict)
	}
	if verdict := record("e", 1500); verdict != Accepted {
		t.Errorf("with a decided entry to evict: verdict %v, want yes", verdict)
	}
	stored := func(id string) bool { entry, _ := replicaStore.lookup(Key{"note", id}); return entry != nil }
	if stored("b") || !stored("a") || !stored("c") || !stored("d") {
		t.Errorf("stored: a %v, b %v, c %v, d %v; want the oldest outcome (b) evicted and undecided requests kept", stored("a"), stored("b"), stored("c"), stored("d"))
	}
	now += 30 * time.Second
	replicaStore.orphans("X", func(*Entry, time.Duration) bool { return true })
	if stored("a") || !stored("c") {
		t.Error("an outcome was kept beyond its retention, or an undecided request was dropped")
	}
	now += 2 * time.Minute
	replicaStore.orphans("X", func(*Entry, time.Duration) bool { return true })
	if counts := replicaStore.status(); counts.Entries != 0 || counts.Bytes != 0 {
		t.Errorf("after all deadlines and the retention: %+v, want no entries", counts)
	}
}

// All gateways with the same view of the group choose the same replicas of a key: an odd number, from as many zones as possible,
// with keys spread evenly over the gateways. In a group of two the other gateway is the only replica; in a group of one there is
// none.
func TestChooseReplicas(t *testing.T) {
	var group []Gateway
	for i := range 9 {
		group = append(group, Gateway{Name: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i/3)})
	}
	counts := map[string]int{}
	const keys = 3000
	for i := range keys {
		key := Key{"note", fmt.Sprint(i)}
		replicas := ChooseReplicas(key, "g0", group, 3)
		shuffled := slices.Clone(group)
		slices.Reverse(shuffled)
		if again := ChooseReplicas(key, "g5", shuffled, 4); !slices.Equal(replicas, again) {
			t.Fatalf("gateways chose different replicas: %v and %v", replicas, again)
		}
		if len(replicas) != 3 || replicas[0].Zone == replicas[1].Zone || replicas[1].Zone == replicas[2].Zone || replicas[0].Zone == replicas[2].Zone {
			t.Fatalf("chose %v, want 3 replicas in different zones", replicas)
		}
		for _, g := range replicas {
			counts[g.Name]++
		}
	}
	for name, n := range counts {
		if n < keys/3*8/10 || n > keys/3*12/10 {
			t.Errorf("%s is a replica of %d of %d keys, want about a third", name, n, keys)
		}
	}
	for _, c := range []struct{ group, replicas, want int }{{1, 3, 0}, {2, 3, 1}, {3, 3, 3}, {4, 3, 3}, {5, 5, 5}, {4, 5, 3}, {9, 1, 1}} {
		chosen := ChooseReplicas(Key{"note", "k"}, "g0", group[:c.group], c.replicas)
		if len(chosen) != c.want || c.group == 2 && chosen[0].Name != "g1" {
			t.Errorf("group of %d, %d replicas: chose %v", c.group, c.replicas, chosen)
		}
	}
}

// A restarted gateway, notified by a peer that had a link to its earlier incarnation, rejects records with a key while keys of
// that incarnation may be repeated. It accepts records without a key.
func TestRestartedReplicaRejectsKeyedRecords(t *testing.T) {
	var now atomic.Int64
	now.Store(int64(time.Hour))
	replicator := New(Options{Self: Gateway{Name: "A", Incarnation: 7}, Links: hubLinks{&peering.Hub{}}, Group: func() []Gateway { return nil }, Memory: 1 << 20, Retention: time.Second,
		RecoveryWindow: func() time.Duration { return 5 * time.Second }, Now: func() time.Duration { return time.Duration(now.Load()) }})
	defer replicator.Close()
	recordKey := func(key string) Verdict {
		record := Record{Key: Key{"log", fmt.Sprint(now.Load(), key)}, ID: "x", IdempotencyKey: key, TimeLeft: time.Second}
		return replicator.record(recordRequest{Record: record, Ballot: Ballot{Number: 1, Owner: "B", Incarnation: 1}, ReplicaIncarnation: 7}).Verdict
	}
	if verdict := recordKey("k"); verdict != Accepted {
		t.Errorf("before the notice of a peer: verdict %v, want yes", verdict)
	}
	body, err := peering.Encode(incarnationNotice{Ago: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	replicator.Topics()[topicIncarnations](&peering.Link{Peer: peering.Peer{Name: "B"}}, body, nil)
	if verdict := recordKey("k"); verdict != OtherIncarnation {
		t.Errorf("2 s after the end of the earlier incarnation: verdict %v, want other incarnation", verdict)
	}
	if verdict := recordKey(""); verdict != Accepted {
		t.Errorf("request without a key: verdict %v, want yes", verdict)
	}
	now.Add(int64(3*time.Second + 1))
	if verdict := recordKey("k"); verdict != Accepted {
		t.Errorf("after the recovery window: verdict %v, want yes", verdict)
	}
}

// keyedRecord returns a record with an idempotency key, which may be empty.
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

// votedStore returns a store with five keys k0 to k4 for which B may have voted, k0 rejected and k1 served, and with others for
// which B cannot have voted.
func votedStore(t *testing.T, now func() time.Duration, ballot Ballot) *store {
	t.Helper()
	voted := newStore(now, time.Minute, 1<<20)
	for i := range 5 {
		id := fmt.Sprint("k", i)
		verdict, _ := voted.record(keyedRecord(id, id), ballot)
		if verdict != Accepted || voted.intend(Key{"log", id}, Intent{Ballot: ballot, ID: id}) != Accepted {
			t.Fatal(verdict)
		}
	}
	voted.record(keyedRecord("no intent", "no intent"), ballot)
	voted.record(keyedRecord("no key", ""), ballot)
	elsewhere := keyedRecord("elsewhere", "elsewhere")
	elsewhere.Replicas = elsewhere.Replicas[:1]
	voted.record(elsewhere, ballot)
	for id, outcome := range map[string]Outcome{
		"k0": {Kind: Rejected, NotRun: true},
		"k1": {Kind: Served, Body: []byte("answer")},
	} {
		voted.settle(Key{"log", id}, outcome, ballot)
		voted.decide(Key{"log", id}, 0, outcome, ballot)
	}
	return voted
}

// recoverPages recovers B's votes from one store into another, and returns the number of entries.
func recoverPages(t *testing.T, from, to *store) int {
	t.Helper()
	var after Key
	count := 0
	for more := true; more; {
		var page []Entry
		page, more = from.recoverable("B", after, 1700)
		for _, entry := range page {
			if len(entry.Record.Body) > 0 || entry.Record.TimeLeft != 900*time.Millisecond {
				t.Errorf("recovered entry has a body or a wrong time left: %+v", entry)
			}
			for range 2 { // several gateways send the same entry
				if !to.addRecovered(entry) {
					t.Fatal("no capacity for a recovered entry")
				}
			}
			after = entry.Record.Key
			count++
		}
	}
	return count
}

// A restarted gateway recovers, page by page, the keys that it may have voted for, with the outcomes of decided ones. It then
// rejects other requests of these keys, keeps what it voted for in this incarnation, and claims none of the recovered requests,
// because it is no replica of them.
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
		t.Errorf("the vote of this incarnation was replaced: %+v", entry)
	}
	if entry, _ := self.lookup(Key{"log", "k1"}); entry == nil || !entry.Decided || string(entry.Outcome.Body) != "answer" {
		t.Errorf("the outcome of a decided request was not recovered: %+v", entry)
	}
	if entry, _ := self.lookup(Key{"log", "k2"}); entry == nil || entry.Decided || !entry.Recovered {
		t.Errorf("an undecided request is not stored as recovered: %+v", entry)
	}
	now += time.Second
	notAlive := func(*Entry, time.Duration) bool { return false }
	if orphans, _ := self.orphans("B", notAlive); len(orphans) > 2 { // k4 and the next request of k0
		t.Errorf("it would claim requests of which it is no replica: %v", orphans)
	}
	small := newStore(clock, time.Minute, 700)
	page, _ := other.recoverable("B", Key{}, 1<<20)
	if small.addRecovered(page[0]) && small.addRecovered(page[1]) && small.addRecovered(page[2]) {
		t.Error("recovered entries exceed the capacity of the store")
	}
}

// A late decision on the first request of a key, received when the next request of the key is stored, does not apply to that next
// request.
func TestLateDecisionDoesNotApplyToNextRequest(t *testing.T) {
	replicaStore := newStore(func() time.Duration { return time.Hour }, time.Minute, 1<<20)
	key := Key{"log", "k"}
	first := Ballot{Number: 1, Owner: "A", Incarnation: 1, Sequence: 1}
	successor := Ballot{Number: 2, Owner: "B", Incarnation: 2, Sequence: 1}
	next := Ballot{Number: 1, Owner: "A", Incarnation: 1, Sequence: 2}
	rejected := Outcome{Kind: Rejected, NotRun: true}
	replicaStore.record(Record{Key: key, ID: "first", IdempotencyKey: "k", TimeLeft: time.Minute}, first)
	replicaStore.settle(key, rejected, first)
	if verdict, _ := replicaStore.record(Record{Key: key, Generation: 1, ID: "next", IdempotencyKey: "k", TimeLeft: time.Minute}, next); verdict != Accepted {
		t.Fatalf("next request of a key whose request was rejected: verdict %v, want yes", verdict)
	}
	replicaStore.decide(key, 0, rejected, successor)
	if verdict := replicaStore.intend(key, Intent{Ballot: next, ID: "next"}); verdict != Accepted {
		t.Errorf("intent of the next request after the late decision on the first: verdict %v, want yes", verdict)
	}
	replicaStore.decide(key, 1, Outcome{Kind: Served}, next)
	if entry, _ := replicaStore.lookup(key); !entry.Decided || entry.Outcome.Kind != Served {
		t.Errorf("the decision on the next request was not applied: %+v", entry)
	}
}
