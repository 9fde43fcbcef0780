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

// ballot reads "of A" or "2 by B".
func parseBallot(words string) (Ballot, error) {
	var ballot Ballot
	if by, ok := strings.CutPrefix(words, "of "); ok {
		ballot = Ballot{Number: 1, Owner: by}
	} else if _, err := fmt.Sscanf(words, "%d by %s", &ballot.Number, &ballot.Owner); err != nil {
		return ballot, fmt.Errorf("%q is no ballot", words)
	}
	ballot.Owner, ballot.Sequence = strings.TrimSuffix(ballot.Owner, "'"), uint64(strings.Count(ballot.Owner, "'")) // A' is A's next request of the key
	if len(ballot.Owner) != 1 {
		return ballot, fmt.Errorf("%q names nobody", words)
	}
	ballot.Incarnation = uint64(ballot.Owner[0])
	return ballot, nil
}

func recordOf(ballot Ballot) Record {
	return Record{Key: Key{"note", "k"}, ID: fmt.Sprint("call ", ballot.Sequence, " of ", ballot.Owner), Owner: Gateway{Name: ballot.Owner, Incarnation: ballot.Incarnation}}
}

var kindNames = map[string]Kind{"served": Served, "refused": Rejected, "failed": Failed}

// entry reads what a replica holds.
func parseEntry(words string) (*Entry, error) {
	if words == "nothing" {
		return nil, nil
	}
	var entry *Entry
	for _, part := range strings.Split(words, ", ") {
		verb, rest, _ := strings.Cut(part, " ")
		if entry == nil && verb != "record" {
			return nil, fmt.Errorf("%q comes before a record", part)
		}
		switch verb {
		case "record":
			ballot, err := parseBallot(rest)
			if err != nil {
				return nil, err
			}
			entry = &Entry{Record: recordOf(ballot), Promised: ballot}
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
			entry.TakeIntent(Intent{Ballot: ballot, ID: entry.Record.ID, NotRun: notRun})
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
				return nil, fmt.Errorf("%q is no outcome", kind)
			}
			entry.TakeOutcome(Outcome{Kind: kindNames[kind]}, ballot)
		case "decided":
			entry.Decided = true
		default:
			return nil, fmt.Errorf("%q is nothing that a voter holds", part)
		}
	}
	return entry, nil
}

func TestReplicaAccepts(t *testing.T) {
	for _, r := range spectest.Rows(t, designPage, "What a voter takes") {
		entry, err := parseEntry(r.At("given"))
		if err != nil {
			t.Errorf("%s:%d: %v", designPage, r.Line, err)
			continue
		}
		event := r.At("event")
		event, heard := strings.CutSuffix(event, " while A is heard")
		event, later := strings.CutSuffix(event, ", generation 1")
		verb, rest, _ := strings.Cut(event, " ")
		ballot, err := parseBallot(rest)
		if err != nil {
			t.Errorf("%s:%d: %v", designPage, r.Line, err)
			continue
		}
		var got Verdict
		switch verb {
		case "record":
			rec := recordOf(ballot)
			if later {
				rec.Generation = 1
			}
			got = MayRecord(entry, &rec, ballot)
		case "intent":
			got = MayIntend(entry, ballot)
		case "outcome":
			got = MaySettle(entry, ballot)
		case "claim":
			got = MayClaim(entry, ballot, heard)
		case "withdrawal":
			if got = Duplicate; MayWithdraw(entry, ballot) {
				got = Yes
			}
		default:
			t.Errorf("%s:%d: nobody plays %q", designPage, r.Line, event)
			continue
		}
		if got.String() != r.At("outcome") {
			t.Errorf("%s:%d: given %s, %s: %v", designPage, r.Line, r.At("given"), r.At("event"), got)
		}
	}
}

var effectNames = map[string]balancer.Effect{"safe": balancer.Safe, "keyed": balancer.Keyed, "unsafe": balancer.Unsafe}

// stepOf is what a successor does by a row's effect, intents and time left.
func stepOf(t *testing.T, r spectest.Row) (Step, time.Duration) {
	t.Helper()
	effect, ok := effectNames[r.At("effect")]
	left, err := time.ParseDuration(r.At("time left"))
	if !ok || err != nil {
		t.Fatalf("%s:%d: effect or time: %v", designPage, r.Line, err)
	}
	var intents []Intent
	for i, part := range strings.Split(r.At("intents"), ", ") {
		pool, notRun := strings.CutSuffix(part, " not run")
		if pool == "boxes" || pool == "partner" {
			intents = append(intents, Intent{Attempt: i, Pool: pool, NotRun: notRun})
		} else if part != "none" {
			t.Errorf("%s:%d: nobody plays the intent %q", designPage, r.Line, part)
		}
	}
	return Next(effect, intents, left, func(pool string) bool { return pool == "partner" }), left
}

func TestSuccessorNextStep(t *testing.T) {
	for _, r := range spectest.Rows(t, designPage, "What an heir does") {
		if got, _ := stepOf(t, r); got.String() != r.At("outcome") {
			t.Errorf("%s:%d: %v", designPage, r.Line, got)
		}
	}
}

func TestSilentReplicaIsSuspected(t *testing.T) {
	for _, r := range spectest.Rows(t, designPage, "When a silent holder is doubted") {
		step, left := stepOf(t, r)
		way, err := time.ParseDuration(r.At("way"))
		if err != nil {
			t.Fatalf("%s:%d: %v", designPage, r.Line, err)
		}
		if got := SuspectAfter(250*time.Millisecond, way, time.Second, left, Servable(step)); got.String() != r.At("outcome") {
			t.Errorf("%s:%d: %v", designPage, r.Line, got)
		}
	}
}

func TestClaimLearnsAcceptedOutcome(t *testing.T) {
	for _, r := range spectest.Rows(t, designPage, "Which entries a claim learns from") {
		var entries []Entry
		for _, words := range strings.Split(r.At("voters"), "; ") {
			entry, err := parseEntry(words)
			if err != nil || entry == nil {
				t.Fatalf("%s:%d: %v", designPage, r.Line, err)
			}
			entries = append(entries, *entry)
		}
		_, intents, outcome := Merge(entries)
		var said []string
		for _, intent := range intents {
			s := fmt.Sprintf("%d by %d %s", intent.Attempt, intent.Ballot.Number, intent.Ballot.Owner)
			if intent.NotRun {
				s += " not run"
			}
			said = append(said, s)
		}
		kind := ""
		for name, k := range kindNames {
			if outcome != nil && outcome.Kind == k {
				kind = name
			}
		}
		if got := strings.Join(said, ", "); got != r.At("intents") || kind != r.At("outcome") {
			t.Errorf("%s:%d: %q, %q", designPage, r.Line, got, kind)
		}
	}
}

func TestReplicaRecovers(t *testing.T) {
	for _, r := range spectest.Rows(t, designPage, "When one who started anew votes again") {
		recoveries := map[string]Recovery{}
		for _, part := range strings.Split(r.At("answers"), "; ") {
			if part == "none" {
				continue
			}
			by, seen, ok := strings.Cut(part, " saw ")
			if !ok {
				t.Errorf("%s:%d: nobody plays %q", designPage, r.Line, part)
			}
			by, young := strings.CutSuffix(by, " forgot and")
			recoveries[strings.TrimSpace(by)] = Recovery{young, strings.Split(seen, " ")}
		}
		got := "no"
		if HasRecovered("A", recoveries) {
			got = "yes"
		}
		if got != r.At("outcome") {
			t.Errorf("%s:%d: %s", designPage, r.Line, got)
		}
	}
}
