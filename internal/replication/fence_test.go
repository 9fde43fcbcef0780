package replication

import (
	"context"
	"errors"
	"testing"
	"time"

	"damsontrestle/internal/peering"
	"damsontrestle/internal/testpeer"
)

// promiseHigherBallot makes the named replicas promise the request to a higher ballot, as if they had lost its owner.
func promiseHigherBallot(t *testing.T, replicas testGroup, work *Work, names ...string) Ballot {
	t.Helper()
	ballot := Ballot{Number: 2, Owner: names[0], Incarnation: replicas[names[0]].replicator.options.Self.Incarnation, Sequence: 1}
	for _, name := range names {
		replica := replicas[name].replicator
		testpeer.Until(t, name+" to store the intent, which a majority without it may have accepted", func() bool {
			entry, _ := replica.store.lookup(work.record.Key)
			return entry != nil && len(entry.Intents) > 0
		})
		replica.store.relinquish(work.record.Key, work.ballot)
		reply := replica.claim(recordRequest{Record: work.record, Ballot: ballot, ReplicaIncarnation: replica.options.Self.Incarnation})
		if reply.Verdict != Accepted {
			t.Fatalf("%s rejected the claim: %v", name, reply.Verdict)
		}
	}
	return ballot
}

// A restarted gateway votes on no key, not even for its own requests. If another gateway has claimed such a request, Execute must
// return ErrDuplicate, so that the client receives the outcome, and not ErrNoCapacity, because an attempt has begun.
func TestClaimedRequestReturnsErrDuplicateAfterReplicaRestart(t *testing.T) {
	var replicas testGroup
	run := func(ctx context.Context, _ *Record, _ []Intent, w *Work) Outcome {
		if !w.Intend(ctx, Intent{Pool: "own", Server: "b"}) {
			t.Error("a majority accepted the record, but the attempt was not permitted")
		}
		promiseHigherBallot(t, replicas, w, "g1", "g2")
		if w.Intend(ctx, Intent{Attempt: 1, Pool: "own", Server: "b"}) {
			t.Error("an attempt was permitted after a majority had promised a higher ballot")
		}
		return Outcome{Kind: Rejected}
	}
	replicas = newTestGroup(t, 3, run)
	owner := replicas["g0"].replicator
	notice, err := peering.Encode(incarnationNotice{})
	if err != nil {
		t.Fatal(err)
	}
	owner.Topics()[topicIncarnations](&peering.Link{Peer: peering.Peer{Name: "g1"}}, notice, nil)
	request := Record{Key: Key{"log", "k:key"}, ID: "request", IdempotencyKey: "key", TimeLeft: time.Minute}
	if _, err := owner.Execute(t.Context(), request, false, 0); err != ErrDuplicate {
		t.Errorf("Execute returned %v, want %v", err, ErrDuplicate)
	}
}

// Work on a request ends immediately once another gateway has settled it, however long the attempt in progress would still take.
func TestWorkEndsOnceRequestIsDecided(t *testing.T) {
	var replicas testGroup
	started := make(chan *Work, 1)
	run := func(ctx context.Context, _ *Record, _ []Intent, w *Work) Outcome {
		w.Intend(ctx, Intent{Pool: "own", Server: "b"})
		started <- w
		<-ctx.Done() // like an attempt at a server that hangs
		return Outcome{}
	}
	replicas = newTestGroup(t, 3, run)
	executed := make(chan error, 1)
	request := Record{Key: Key{"view", "i:request"}, ID: "request", TimeLeft: time.Minute}
	go func() {
		_, err := replicas["g0"].replicator.Execute(t.Context(), request, false, 0)
		executed <- err
	}()
	work := testpeer.Receive(t, started, "the start of the attempt")
	ballot := promiseHigherBallot(t, replicas, work, "g1", "g2")
	served := Outcome{Kind: Served, Body: []byte("answer")}
	link := hubLinks{replicas["g1"].hub}.To("g0")
	if err := link.Notify(topicDecide, settleRequest{Key: request.Key, Outcome: served, Ballot: ballot}); err != nil {
		t.Fatal(err)
	}
	if err := testpeer.Receive(t, executed, "the end of the work"); err != ErrDuplicate {
		t.Errorf("Execute returned %v, want %v", err, ErrDuplicate)
	}
}

// If no quorum replies on whether a key was used before, the request is not executed. The client may retry, and is not told that
// the request may have run.
func TestKeyedRequestWithoutQuorumIsNotExecuted(t *testing.T) {
	group := []Gateway{{Name: "g0", Incarnation: 1}, {Name: "g1", Incarnation: 2}, {Name: "g2", Incarnation: 3}}
	run := func(context.Context, *Record, []Intent, *Work) Outcome {
		t.Error("the request was executed")
		return Outcome{Kind: Served}
	}
	replicator := New(Options{Self: group[0], Links: hubLinks{&peering.Hub{}}, Group: func() []Gateway { return group }, Run: run, Replicas: 3,
		Memory: 1 << 20, Retention: time.Second, RecoveryWindow: func() time.Duration { return time.Minute }, Now: func() time.Duration { return time.Hour }})
	defer replicator.Close()
	request := Record{Key: Key{"log", "k:key"}, ID: "request", IdempotencyKey: "key", TimeLeft: time.Minute}
	if _, err := replicator.Execute(t.Context(), request, true, 2*time.Hour); !errors.Is(err, ErrKeyUnchecked) {
		t.Errorf("Execute returned %v, want %v", err, ErrKeyUnchecked)
	}
	if entries := replicator.Status().Replica.Entries; entries != 0 {
		t.Errorf("the replica stores %d requests, want none", entries)
	}
}
