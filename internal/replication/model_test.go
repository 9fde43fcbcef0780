package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"

	"damsontrestle/internal/balancer"
)

const modelReplicas = 3

// proposer is a gateway that executes the request or still believes that it does: its owner or a successor.
type proposer struct {
	ballot          Ballot
	record          Record
	priorIntents    []Intent
	allowedAttempts int
	settled         bool
	outcome         *Outcome // the outcome that it proposes; nil: it has to make an attempt first
}

// model simulates one request at three replicas with the rules of the acceptor and the successor alone. rapid draws the order and
// loss of messages, the restarts and the claims.
type model struct {
	t               *rapid.T
	effect          balancer.Effect
	entries         []*Entry // of the replicas, by index
	restarted       []bool   // replicas that have lost their entry
	proposers       []*proposer
	startedAttempts int
	clientOutcome   *Outcome // returned to a client
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, entries: make([]*Entry, modelReplicas), restarted: make([]bool, modelReplicas)}
	m.effect = rapid.SampledFrom([]balancer.Effect{balancer.Safe, balancer.Unsafe}).Draw(t, "effect")
	owners := rapid.IntRange(1, 2).Draw(t, "owners") // number of owners that use the key
	for i := range owners {
		ballot := Ballot{Number: 1, Owner: string(rune('A' + i)), Incarnation: uint64(i + 1)}
		if i > 0 && rapid.Bool().Draw(t, "next request of A") {
			ballot = Ballot{Number: 1, Owner: "A", Incarnation: 1, Sequence: 1}
		}
		m.proposers = append(m.proposers, &proposer{ballot: ballot, record: recordForBallot(ballot)})
	}
	return m
}

// deliver draws the replicas that receive a message.
func (m *model) deliver(label string) []int {
	var out []int
	for i := range modelReplicas {
		if !m.restarted[i] && rapid.IntRange(0, 3).Draw(m.t, label) > 0 {
			out = append(out, i)
		}
	}
	return out
}

// poll sends a message to the replicas, and returns those whose acceptance reaches the sender.
func (m *model) poll(accept func(i int) Verdict) []int {
	var accepted []int
	for _, i := range m.deliver("request") {
		verdict := accept(i)
		if rapid.IntRange(0, 4).Draw(m.t, "reply lost") == 0 {
			continue
		}
		if verdict == Accepted {
			accepted = append(accepted, i)
		}
	}
	return accepted
}

func (m *model) record(sender *proposer) {
	m.poll(func(i int) Verdict {
		verdict := MayRecord(m.entries[i], &sender.record, sender.ballot)
		if verdict == Accepted {
			m.entries[i] = &Entry{Record: sender.record, Promised: sender.ballot}
		}
		return verdict
	})
}

// restart makes a replica lose its entry and no longer count as a replica of the request. At most one replica restarts.
func (m *model) restart() {
	i := rapid.IntRange(0, modelReplicas-1).Draw(m.t, "replica")
	if !slices.Contains(m.restarted, true) {
		m.restarted[i] = true
	}
}

// claim makes a replica claim the request.
func (m *model) claim(step int) {
	from := rapid.IntRange(0, modelReplicas-1).Draw(m.t, "from")
	if m.entries[from] == nil || m.restarted[from] || m.entries[from].Decided {
		return
	}
	ballot := Ballot{Number: m.entries[from].Promised.Number + 1, Owner: string(rune('D' + from)), Incarnation: uint64(step + 10)}
	record := m.entries[from].Record
	promised := m.poll(func(i int) Verdict {
		verdict := MayClaim(m.entries[i], ballot, false)
		if verdict == Accepted {
			if m.entries[i] == nil {
				m.entries[i] = &Entry{Record: record}
			}
			m.entries[i].Promised = ballot
		}
		return verdict
	})
	if len(promised) < Majority(modelReplicas) {
		return
	}
	var entries []Entry
	for _, i := range promised {
		entry := *m.entries[i]
		entry.Intents = slices.Clone(entry.Intents)
		entries = append(entries, entry)
	}
	merged, intents, outcome := Merge(entries)
	m.proposers = append(m.proposers, &proposer{ballot: ballot, record: merged, priorIntents: intents, outcome: outcome})
}

// advance makes a proposer take its next step.
func (m *model) advance() {
	next := m.proposers[rapid.IntRange(0, len(m.proposers)-1).Draw(m.t, "proposer")]
	if next.settled {
		return
	}
	if next.outcome != nil {
		m.settle(next)
		return
	}
	step := NextStep(m.effect, next.priorIntents, time.Second, func(string) bool { return false })
	switch {
	case next.allowedAttempts > 0:
		next.outcome = &Outcome{Kind: Served, Body: []byte(fmt.Sprint("by ", next.ballot))}
	case step == GiveUp:
		next.outcome = &Outcome{Kind: Failed}
	default:
		m.intend(next)
	}
}

// intend requests an attempt. It fails the test if an attempt is permitted with a ballot after a majority has promised a higher
// one.
func (m *model) intend(sender *proposer) {
	intent := Intent{Ballot: sender.ballot, Attempt: len(sender.priorIntents), ID: sender.record.ID}
	accepted := m.poll(func(i int) Verdict {
		verdict := MayIntend(m.entries[i], sender.ballot)
		if verdict == Accepted {
			m.entries[i].AcceptIntent(intent)
		}
		return verdict
	})
	if len(accepted) < Majority(modelReplicas) {
		return
	}
	higher := 0
	for i, entry := range m.entries {
		if entry != nil && !m.restarted[i] && entry.Promised.Compare(sender.ballot) > 0 {
			higher++
		}
	}
	if higher >= Majority(modelReplicas) {
		m.t.Fatalf("an attempt began with ballot %v after a majority had promised a higher one", sender.ballot)
	}
	sender.allowedAttempts++
	m.startedAttempts++
}

// settle proposes an outcome. It fails the test if clients receive different outcomes.
func (m *model) settle(sender *proposer) {
	accepted := m.poll(func(i int) Verdict {
		verdict := MaySettle(m.entries[i], sender.ballot)
		if verdict == Accepted {
			m.entries[i].AcceptOutcome(*sender.outcome, sender.ballot)
		}
		return verdict
	})
	if len(accepted) < Majority(modelReplicas) {
		return
	}
	sender.settled = true
	if m.clientOutcome != nil && (m.clientOutcome.Kind != sender.outcome.Kind || string(m.clientOutcome.Body) != string(sender.outcome.Body)) {
		m.t.Fatalf("clients received different outcomes: %+v and %+v", m.clientOutcome, sender.outcome)
	}
	m.clientOutcome = sender.outcome
	for _, i := range m.deliver("decided") {
		if m.entries[i] != nil {
			m.entries[i].AcceptOutcome(*sender.outcome, sender.ballot)
			m.entries[i].Decided = true
		}
	}
}

// For any order and loss of messages, any claims and the restart of any one replica: all clients receive the same outcome, an
// unsafe request is attempted at most once, and no attempt begins with a ballot after a majority has promised a higher one.
func TestSingleOutcomeAndExecutionUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for _, a := range m.proposers {
			m.record(a)
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				m.restart()
			case 1, 2:
				m.claim(step)
			default:
				m.advance()
			}
		}
		if m.effect == balancer.Unsafe && m.startedAttempts > 1 {
			t.Fatalf("%d attempts of an unsafe request began, want at most 1", m.startedAttempts)
		}
	})
}
