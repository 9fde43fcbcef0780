package replication

import (
	"context"
	"errors"
	"testing"
	"time"

	"damsontrestle/internal/peering"
	"damsontrestle/internal/testpeer"
)

// promiseHigherBallot has replicas promise a request to a higher ballot, as if they had lost its owner.
func promiseHigherBallot(t *testing.T, replicas testGroup, work *Work, names ...string) Ballot {
	t.Helper()
	ballot := Ballot{Number: 2, Owner: names[0], Incarnation: replicas[names[0]].replicator.options.Self.Incarnation, Sequence: 1}
	for _, name := range names {
		replica := replicas[name].replicator
		testpeer.Until(t, name+" to have the intent, which a majority without it may have taken", func() bool {
			entry, _ := replica.store.lookup(work.record.Key)
			return entry != nil && len(entry.Intents) > 0
		})
		replica.store.relinquish(work.record.Key, work.ballot)
		reply := replica.claim(recordRequest{Record: work.record, Ballot: ballot, ReplicaIncarnation: replica.options.Self.Incarnation})
		if reply.Verdict != Accepted {
			t.Fatalf("%s promises nothing: %v", name, reply.Verdict)
		}
	}
	return ballot
}

// A gateway that restarted votes on no key, its own requests' among them. Once another has claimed such a request, its client
// hears what became of it, and not that there was no capacity for it: an attempt of it has begun.
func TestClaimedRequestReturnsErrDuplicateAfterReplicaRestart(t *testing.T) {
	var replicas testGroup
	run := func(ctx context.Context, _ *Record, _ []Intent, w *Work) Outcome {
		if !w.Intend(ctx, Intent{Pool: "own", Server: "b"}) {
			t.Error("a majority took the record, and the attempt was not allowed")
		}
		promiseHigherBallot(t, replicas, w, "g1", "g2")
		if w.Intend(ctx, Intent{Attempt: 1, Pool: "own", Server: "b"}) {
			t.Error("an attempt was allowed after a majority had promised the request to another")
		}
		return Outcome{Kind: Rejected}
	}
	replicas = newTestGroup(t, 3, run)
	owner := replicas["g0"].replicator
	forgotten, err := peering.Encode(incarnationNotice{})
	if err != nil {
		t.Fatal(err)
	}
	owner.Topics()[topicIncarnations](&peering.Link{Peer: peering.Peer{Name: "g1"}}, forgotten, nil)
	request := Record{Key: Key{"log", "k:key"}, ID: "request", IdempotencyKey: "key", TimeLeft: time.Minute}
	if _, err := owner.Execute(t.Context(), request, false, 0); err != ErrDuplicate {
		t.Errorf("Execute returned %v, want %v", err, ErrDuplicate)
	}
}

// What others settled ends the work on it here at once, however long the attempt under way would still take.
func TestWorkEndsOnceRequestIsDecided(t *testing.T) {
	var replicas testGroup
	begun := make(chan *Work, 1)
	run := func(ctx context.Context, _ *Record, _ []Intent, w *Work) Outcome {
		w.Intend(ctx, Intent{Pool: "own", Server: "b"})
		begun <- w
		<-ctx.Done() // as an attempt at a server that hangs
		return Outcome{}
	}
	replicas = newTestGroup(t, 3, run)
	taken := make(chan error, 1)
	request := Record{Key: Key{"view", "i:request"}, ID: "request", TimeLeft: time.Minute}
	go func() {
		_, err := replicas["g0"].replicator.Execute(t.Context(), request, false, 0)
		taken <- err
	}()
	work := testpeer.Receive(t, begun, "the attempt")
	ballot := promiseHigherBallot(t, replicas, work, "g1", "g2")
	served := Outcome{Kind: Served, Body: []byte("answer")}
	link := hubLinks{replicas["g1"].hub}.To("g0")
	if err := link.Tell(topicDecide, settleRequest{Key: request.Key, Outcome: served, Ballot: ballot}); err != nil {
		t.Fatal(err)
	}
	if err := testpeer.Receive(t, taken, "the work to end"); err != ErrDuplicate {
		t.Errorf("Execute returned %v, want %v", err, ErrDuplicate)
	}
}

// Where too few can be asked whether a key was taken before, its request is not taken: its client may retry, and is not
// told that it may have run.
func TestKeyedRequestWithoutQuorumIsNotExecuted(t *testing.T) {
	others := []Gateway{{Name: "g0", Incarnation: 1}, {Name: "g1", Incarnation: 2}, {Name: "g2", Incarnation: 3}}
	run := func(context.Context, *Record, []Intent, *Work) Outcome {
		t.Error("the request was begun")
		return Outcome{Kind: Served}
	}
	r := New(Options{Self: others[0], Links: hubLinks{&peering.Hub{}}, Group: func() []Gateway { return others }, Run: run, Replicas: 3,
		Memory: 1 << 20, Retention: time.Second, RecoveryWindow: func() time.Duration { return time.Minute }, Now: func() time.Duration { return time.Hour }})
	defer r.Close()
	request := Record{Key: Key{"log", "k:key"}, ID: "request", IdempotencyKey: "key", TimeLeft: time.Minute}
	if _, err := r.Execute(t.Context(), request, true, 2*time.Hour); !errors.Is(err, ErrKeyUnchecked) {
		t.Errorf("Execute returned %v, want %v", err, ErrKeyUnchecked)
	}
	if held := r.Status().Replica.Entries; held != 0 {
		t.Errorf("%d requests are held", held)
	}
}
