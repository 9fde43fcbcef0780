package replication

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/spectest"
)

const page = "../../docs/design/custody.md"

// ballot reads "of A" or "2 by B".
func ballot(words string) (Ballot, error) {
	var b Ballot
	if by, ok := strings.CutPrefix(words, "of "); ok {
		b = Ballot{Number: 1, Owner: by}
	} else if _, err := fmt.Sscanf(words, "%d by %s", &b.Number, &b.Owner); err != nil {
		return b, fmt.Errorf("%q is no ballot", words)
	}
	b.Owner, b.Call = strings.TrimSuffix(b.Owner, "'"), uint64(strings.Count(b.Owner, "'")) // A' is A's next request of the key
	if len(b.Owner) != 1 {
		return b, fmt.Errorf("%q names nobody", words)
	}
	b.Incarnation = uint64(b.Owner[0])
	return b, nil
}

func recordOf(b Ballot) Record {
	return Record{Key: Key{"note", "k"}, ID: fmt.Sprint("call ", b.Call, " of ", b.Owner), Owner: Gateway{Name: b.Owner, Incarnation: b.Incarnation}}
}

var kinds = map[string]Kind{"served": Served, "refused": Rejected, "failed": Failed}

// entry reads what a replica holds.
func entry(words string) (*Entry, error) {
	if words == "nothing" {
		return nil, nil
	}
	var e *Entry
	for _, part := range strings.Split(words, ", ") {
		verb, rest, _ := strings.Cut(part, " ")
		if e == nil && verb != "record" {
			return nil, fmt.Errorf("%q comes before a record", part)
		}
		switch verb {
		case "record":
			b, err := ballot(rest)
			if err != nil {
				return nil, err
			}
			e = &Entry{Record: recordOf(b), Promised: b}
		case "promised":
			b, err := ballot(rest)
			if err != nil {
				return nil, err
			}
			e.Promised = b
		case "intent":
			by, notRun := strings.CutSuffix(rest, " not run")
			b, err := ballot(by)
			if err != nil {
				return nil, err
			}
			e.TakeIntent(Intent{By: b, ID: e.Record.ID, NotRun: notRun})
		case "outcome":
			kind, by, later := strings.Cut(rest, " ")
			b := e.Promised
			if later {
				var err error
				if b, err = ballot(by); err != nil {
					return nil, err
				}
			}
			if kinds[kind] == 0 {
				return nil, fmt.Errorf("%q is no outcome", kind)
			}
			e.TakeOutcome(Outcome{Kind: kinds[kind]}, b)
		case "decided":
			e.Decided = true
		default:
			return nil, fmt.Errorf("%q is nothing that a voter holds", part)
		}
	}
	return e, nil
}

func TestReplicaAccepts(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "What a voter takes") {
		e, err := entry(r.At("given"))
		if err != nil {
			t.Errorf("%s:%d: %v", page, r.Line, err)
			continue
		}
		event := r.At("event")
		event, heard := strings.CutSuffix(event, " while A is heard")
		event, later := strings.CutSuffix(event, ", generation 1")
		verb, rest, _ := strings.Cut(event, " ")
		b, err := ballot(rest)
		if err != nil {
			t.Errorf("%s:%d: %v", page, r.Line, err)
			continue
		}
		var got Verdict
		switch verb {
		case "record":
			rec := recordOf(b)
			if later {
				rec.Gen = 1
			}
			got = MayRecord(e, &rec, b)
		case "intent":
			got = MayIntend(e, b)
		case "outcome":
			got = MaySettle(e, b)
		case "claim":
			got = MayClaim(e, b, heard)
		case "withdrawal":
			if got = Duplicate; MayWithdraw(e, b) {
				got = Yes
			}
		default:
			t.Errorf("%s:%d: nobody plays %q", page, r.Line, event)
			continue
		}
		if got.String() != r.At("outcome") {
			t.Errorf("%s:%d: given %s, %s: %v", page, r.Line, r.At("given"), r.At("event"), got)
		}
	}
}

var effects = map[string]balancer.Effect{"safe": balancer.Safe, "keyed": balancer.Keyed, "unsafe": balancer.Unsafe}

// stepOf is what a successor does by a row's effect, intents and time left.
func stepOf(t *testing.T, r spectest.Row) (Step, time.Duration) {
	t.Helper()
	effect, ok := effects[r.At("effect")]
	left, err := time.ParseDuration(r.At("time left"))
	if !ok || err != nil {
		t.Fatalf("%s:%d: effect or time: %v", page, r.Line, err)
	}
	var intents []Intent
	for i, part := range strings.Split(r.At("intents"), ", ") {
		pool, notRun := strings.CutSuffix(part, " not run")
		if pool == "boxes" || pool == "partner" {
			intents = append(intents, Intent{N: i, Pool: pool, NotRun: notRun})
		} else if part != "none" {
			t.Errorf("%s:%d: nobody plays the intent %q", page, r.Line, part)
		}
	}
	return Next(effect, intents, left, func(pool string) bool { return pool == "partner" }), left
}

func TestSuccessorNextStep(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "What an heir does") {
		if got, _ := stepOf(t, r); got.String() != r.At("outcome") {
			t.Errorf("%s:%d: %v", page, r.Line, got)
		}
	}
}

func TestSilentReplicaIsSuspected(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "When a silent holder is doubted") {
		step, left := stepOf(t, r)
		way, err := time.ParseDuration(r.At("way"))
		if err != nil {
			t.Fatalf("%s:%d: %v", page, r.Line, err)
		}
		if got := Suspect(250*time.Millisecond, way, time.Second, left, Servable(step)); got.String() != r.At("outcome") {
			t.Errorf("%s:%d: %v", page, r.Line, got)
		}
	}
}

func TestClaimLearnsAcceptedOutcome(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "Which entries a claim learns from") {
		var entries []Entry
		for _, words := range strings.Split(r.At("voters"), "; ") {
			e, err := entry(words)
			if err != nil || e == nil {
				t.Fatalf("%s:%d: %v", page, r.Line, err)
			}
			entries = append(entries, *e)
		}
		_, intents, outcome := Merge(entries)
		var said []string
		for _, in := range intents {
			s := fmt.Sprintf("%d by %d %s", in.N, in.By.Number, in.By.Owner)
			if in.NotRun {
				s += " not run"
			}
			said = append(said, s)
		}
		kind := ""
		for name, k := range kinds {
			if outcome != nil && outcome.Kind == k {
				kind = name
			}
		}
		if got := strings.Join(said, ", "); got != r.At("intents") || kind != r.At("outcome") {
			t.Errorf("%s:%d: %q, %q", page, r.Line, got, kind)
		}
	}
}

func TestReplicaRecovers(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "When one who started anew votes again") {
		answers := map[string]Recovery{}
		for _, part := range strings.Split(r.At("answers"), "; ") {
			if part == "none" {
				continue
			}
			by, seen, ok := strings.Cut(part, " saw ")
			if !ok {
				t.Errorf("%s:%d: nobody plays %q", page, r.Line, part)
			}
			by, young := strings.CutSuffix(by, " forgot and")
			answers[strings.TrimSpace(by)] = Recovery{young, strings.Split(seen, " ")}
		}
		got := "no"
		if HasRecovered("A", answers) {
			got = "yes"
		}
		if got != r.At("outcome") {
			t.Errorf("%s:%d: %s", page, r.Line, got)
		}
	}
}
