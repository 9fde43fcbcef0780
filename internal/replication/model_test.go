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

// actor is a gateway that executes the request or still believes that it does: its owner or a successor.
type actor struct {
	ballot          Ballot
	record          Record
	priorIntents    []Intent
	allowedAttempts int // number of permitted attempts
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
	actors          []*actor
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
		m.actors = append(m.actors, &actor{ballot: ballot, record: recordForBallot(ballot)})
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

func (m *model) record(a *actor) {
	m.poll(func(i int) Verdict {
		verdict := MayRecord(m.entries[i], &a.record, a.ballot)
		if verdict == Accepted {
			m.entries[i] = &Entry{Record: a.record, Promised: a.ballot}
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
	m.actors = append(m.actors, &actor{ballot: ballot, record: merged, priorIntents: intents, outcome: outcome})
}

// advance makes an actor take its next step.
func (m *model) advance() {
	a := m.actors[rapid.IntRange(0, len(m.actors)-1).Draw(m.t, "actor")]
	if a.settled {
		return
	}
	if a.outcome != nil {
		m.settle(a)
		return
	}
	next := NextStep(m.effect, a.priorIntents, time.Second, func(string) bool { return false })
	switch {
	case a.allowedAttempts > 0:
		a.outcome = &Outcome{Kind: Served, Body: []byte(fmt.Sprint("by ", a.ballot))}
	case next == GiveUp:
		a.outcome = &Outcome{Kind: Failed}
	default:
		m.intend(a)
	}
}

// intend requests an attempt. It fails the test if an attempt is permitted with a ballot after a majority has promised a higher
// one.
func (m *model) intend(a *actor) {
	intent := Intent{Ballot: a.ballot, Attempt: len(a.priorIntents), ID: a.record.ID}
	accepted := m.poll(func(i int) Verdict {
		verdict := MayIntend(m.entries[i], a.ballot)
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
		if entry != nil && !m.restarted[i] && entry.Promised.Compare(a.ballot) > 0 {
			higher++
		}
	}
	if higher >= Majority(modelReplicas) {
		m.t.Fatalf("an attempt began with ballot %v after a majority had promised a higher one", a.ballot)
	}
	a.allowedAttempts++
	m.startedAttempts++
}

// settle proposes an actor's outcome. It fails the test if clients receive different outcomes.
func (m *model) settle(a *actor) {
	accepted := m.poll(func(i int) Verdict {
		verdict := MaySettle(m.entries[i], a.ballot)
		if verdict == Accepted {
			m.entries[i].AcceptOutcome(*a.outcome, a.ballot)
		}
		return verdict
	})
	if len(accepted) < Majority(modelReplicas) {
		return
	}
	a.settled = true
	if m.clientOutcome != nil && (m.clientOutcome.Kind != a.outcome.Kind || string(m.clientOutcome.Body) != string(a.outcome.Body)) {
		m.t.Fatalf("clients received different outcomes: %+v and %+v", m.clientOutcome, a.outcome)
	}
	m.clientOutcome = a.outcome
	for _, i := range m.deliver("decided") {
		if m.entries[i] != nil {
			m.entries[i].AcceptOutcome(*a.outcome, a.ballot)
			m.entries[i].Decided = true
		}
	}
}

// For any order and loss of messages, any claims and the restart of any one replica: all clients receive the same outcome, an
// unsafe request is attempted at most once, and no attempt begins with a ballot after a majority has promised a higher one.
func TestSingleOutcomeAndExecutionUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for _, a := range m.actors {
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
