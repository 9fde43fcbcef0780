package replication

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/spectest"
)

const designPage = "../../docs/design/custody.md"

// parseBallot parses "of A" (the first ballot of A) or "2 by B"; A' is the next request of A for the key.
func parseBallot(words string) (Ballot, error) {
	var ballot Ballot
	if by, ok := strings.CutPrefix(words, "of "); ok {
		ballot = Ballot{Number: 1, Owner: by}
	} else if _, err := fmt.Sscanf(words, "%d by %s", &ballot.Number, &ballot.Owner); err != nil {
		return ballot, fmt.Errorf("invalid ballot %q", words)
	}
	ballot.Sequence = uint64(strings.Count(ballot.Owner, "'"))
	ballot.Owner = strings.TrimSuffix(ballot.Owner, "'")
	if len(ballot.Owner) != 1 {
		return ballot, fmt.Errorf("invalid ballot %q: owner is not a single letter", words)
	}
	ballot.Incarnation = uint64(ballot.Owner[0])
	return ballot, nil
}

// recordForBallot returns the record that an owner sends with its first ballot.
func recordForBallot(ballot Ballot) Record {
	return Record{
		Key:   Key{"note", "k"},
		ID:    fmt.Sprint("request ", ballot.Sequence, " of ", ballot.Owner),
		Owner: Gateway{Name: ballot.Owner, Incarnation: ballot.Incarnation},
	}
}

var kindNames = map[string]Kind{"served": Served, "rejected": Rejected, "failed": Failed}

// parseEntry parses the state of a replica.
func parseEntry(words string) (*Entry, error) {
	if words == "nothing" {
		return nil, nil
	}
	var entry *Entry
	for _, part := range strings.Split(words, ", ") {
		verb, rest, _ := strings.Cut(part, " ")
		if entry == nil && verb != "record" {
			return nil, fmt.Errorf("%q precedes the record of the entry", part)
		}
		switch verb {
		case "record":
			ballot, err := parseBallot(rest)
			if err != nil {
				return nil, err
			}
			entry = &Entry{Record: recordForBallot(ballot), Promised: ballot}
		case "promised":
			ballot, err := parseBallot(rest)
			if err != nil {
				return nil, err
			}
			entry.Promised = ballot
		case "intent":
			by, notRun := strings.CutSuffix(rest, " not run")
			ballot, err := parseBallot(by)
			if err != nil {
				return nil, err
			}
			entry.AcceptIntent(Intent{Ballot: ballot, ID: entry.Record.ID, NotRun: notRun})
		case "outcome":
			kind, by, later := strings.Cut(rest, " ")
			ballot := entry.Promised
			if later {
				var err error
				if ballot, err = parseBallot(by); err != nil {
					return nil, err
				}
			}
			if kindNames[kind] == 0 {
				return nil, fmt.Errorf("unknown outcome %q", kind)
			}
			entry.AcceptOutcome(Outcome{Kind: kindNames[kind]}, ballot)
		case "decided":
			entry.Decided = true
		default:
			return nil, fmt.Errorf("unknown part of a replica's state %q", part)
		}
	}
	return entry, nil
}

func TestAcceptorVerdicts(t *testing.T) {
	for _, row := range spectest.Rows(t, designPage, "What a replica accepts") {
		entry, err := parseEntry(row.At("given"))
		if err != nil {
			t.Errorf("%s:%d: %v", designPage, row.Line, err)
			continue
		}
		event := row.At("event")
		event, ownerHeard := strings.CutSuffix(event, " while A is heard")
		event, nextGeneration := strings.CutSuffix(event, ", generation 1")
		verb, rest, _ := strings.Cut(event, " ")
		ballot, err := parseBallot(rest)
		if err != nil {
			t.Errorf("%s:%d: %v", designPage, row.Line, err)
			continue
		}
		var got Verdict
		switch verb {
		case "record":
			record := recordForBallot(ballot)
			if nextGeneration {
				record.Generation = 1
			}
			got = MayRecord(entry, &record, ballot)
		case "intent":
			got = MayIntend(entry, ballot)
		case "outcome":
			got = MaySettle(entry, ballot)
		case "claim":
			got = MayClaim(entry, ballot, ownerHeard)
		case "withdrawal":
			got = Duplicate
			if MayWithdraw(entry, ballot) {
				got = Accepted
			}
		default:
			t.Errorf("%s:%d: unknown event %q", designPage, row.Line, event)
			continue
		}
		if got.String() != row.At("outcome") {
			t.Errorf("%s:%d: given %s, %s: got %v, which is not the outcome of the row", designPage, row.Line, row.At("given"), row.At("event"), got)
		}
	}
}

var effectNames = map[string]balancer.Effect{"safe": balancer.Safe, "keyed": balancer.Keyed, "unsafe": balancer.Unsafe}

// nextStepForRow returns the step of a successor for the effect, intents and time left of a row, and that time.
func nextStepForRow(t *testing.T, row spectest.Row) (Step, time.Duration) {
	t.Helper()
	effect, ok := effectNames[row.At("effect")]
	left, err := time.ParseDuration(row.At("time left"))
	if !ok || err != nil {
		t.Fatalf("%s:%d: unknown effect or invalid time left: %v", designPage, row.Line, err)
	}
	var intents []Intent
	for i, part := range strings.Split(row.At("intents"), ", ") {
		pool, notRun := strings.CutSuffix(part, " not run")
		if pool == "own" || pool == "partner" {
			intents = append(intents, Intent{Attempt: i, Pool: pool, NotRun: notRun})
		} else if part != "none" {
			t.Errorf("%s:%d: unknown intent %q", designPage, row.Line, part)
		}
	}
	return NextStep(effect, intents, left, func(pool string) bool { return pool == "partner" }), left
}

func TestNextStep(t *testing.T) {
	for _, row := range spectest.Rows(t, designPage, "What a successor does") {
		if got, _ := nextStepForRow(t, row); got.String() != row.At("outcome") {
			t.Errorf("%s:%d: got %v, which is not the outcome of the row", designPage, row.Line, got)
		}
	}
}

func TestSuspectAfter(t *testing.T) {
	for _, row := range spectest.Rows(t, designPage, "When a silent owner is suspected") {
		step, left := nextStepForRow(t, row)
		rtt, err := time.ParseDuration(row.At("round trip"))
		if err != nil {
			t.Fatalf("%s:%d: %v", designPage, row.Line, err)
		}
		if got := SuspectAfter(250*time.Millisecond, rtt, time.Second, left, Servable(step)); got.String() != row.At("outcome") {
			t.Errorf("%s:%d: got %v, which is not the outcome of the row", designPage, row.Line, got)
		}
	}
}

func TestMerge(t *testing.T) {
	for _, row := range spectest.Rows(t, designPage, "Which entries a claim learns from") {
		var entries []Entry
		for _, words := range strings.Split(row.At("replicas"), "; ") {
			entry, err := parseEntry(words)
			if err != nil || entry == nil {
				t.Fatalf("%s:%d: invalid replica state: %v", designPage, row.Line, err)
			}
			entries = append(entries, *entry)
		}
		_, intents, outcome := Merge(entries)
		var gotIntents []string
		for _, intent := range intents {
			s := fmt.Sprintf("%d by %d %s", intent.Attempt, intent.Ballot.Number, intent.Ballot.Owner)
			if intent.NotRun {
				s += " not run"
			}
			gotIntents = append(gotIntents, s)
		}
		kind := ""
		for name, k := range kindNames {
			if outcome != nil && outcome.Kind == k {
				kind = name
			}
		}
		if got := strings.Join(gotIntents, ", "); got != row.At("intents") || kind != row.At("outcome") {
			t.Errorf("%s:%d: got intents %q and outcome %q, which are not those of the row", designPage, row.Line, got, kind)
		}
	}
}

func TestRecoveryComplete(t *testing.T) {
	for _, row := range spectest.Rows(t, designPage, "When a gateway that restarted votes again") {
		recoveries := map[string]Recovery{}
		for _, part := range strings.Split(row.At("answers"), "; ") {
			if part == "none" {
				continue
			}
			name, recent, ok := strings.Cut(part, " saw ")
			if !ok {
				t.Errorf("%s:%d: unknown reply %q", designPage, row.Line, part)
			}
			name, recovering := strings.CutSuffix(name, " forgot and")
			recoveries[strings.TrimSpace(name)] = Recovery{recovering, strings.Split(recent, " ")}
		}
		got := "no"
		if RecoveryComplete("A", recoveries) {
			got = "yes"
		}
		if got != row.At("outcome") {
			t.Errorf("%s:%d: got %s, which is not the outcome of the row", designPage, row.Line, got)
		}
	}
}
