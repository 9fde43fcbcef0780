package replication

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"

	"damsontrestle/internal/balancer"
)

// actor is whoever has the request in hand, or thinks so.
type actor struct {
	by       Ballot
	r        Record
	earlier  []Intent
	allowed  int // attempts
	claimed  bool
	over     bool
	finishes *Outcome // that it has to have taken
}

// Whatever order and loss of messages, whoever claims when, and whichever replicas forget: all who are told an outcome are told
// the same one, what is unsafe begins once at most, and nothing begins by a ballot once a majority has promised a higher one.
func TestOneOutcomeAndOneRunUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const voters = 3
		held := make([]*Entry, voters)
		forgot := make([]bool, voters)
		effect := rapid.SampledFrom([]balancer.Effect{balancer.Safe, balancer.Unsafe}).Draw(t, "effect")
		var actors []*actor
		owners := rapid.IntRange(1, 2).Draw(t, "owners") // of one key
		for i := range owners {
			ballot := Ballot{Number: 1, Owner: string(rune('A' + i)), Incarnation: uint64(i + 1)}
			if i > 0 && rapid.Bool().Draw(t, "its next call") {
				ballot = Ballot{Number: 1, Owner: "A", Incarnation: 1, Sequence: 1}
			}
			actors = append(actors, &actor{by: ballot, r: recordOf(ballot)})
		}
		begun := 0
		var told *Outcome
		reach := func(what string) []int { // replicas that hear, and of whom the answer comes back
			var out []int
			for i := range voters {
				if !forgot[i] && rapid.IntRange(0, 3).Draw(t, what) > 0 {
					out = append(out, i)
				}
			}
			return out
		}
		poll := func(f func(i int) Verdict) (yes int, answered []int) {
			heard := reach("heard")
			for _, i := range heard {
				verdict := f(i)
				if rapid.IntRange(0, 4).Draw(t, "back") == 0 {
					continue
				}
				if verdict == Yes {
					yes++
					answered = append(answered, i)
				}
			}
			return yes, answered
		}
		for _, a := range actors {
			poll(func(i int) Verdict {
				verdict := MayRecord(held[i], &a.r, a.by)
				if verdict == Yes {
					held[i] = &Entry{Record: a.r, Promised: a.by}
				}
				return verdict
			})
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0: // a replica starts anew: it is none any more
				n := 0
				for _, f := range forgot {
					if f {
						n++
					}
				}
				if i := rapid.IntRange(0, voters-1).Draw(t, "who"); n == 0 {
					forgot[i] = true
				}
			case 1, 2: // somebody claims
				i := rapid.IntRange(0, voters-1).Draw(t, "from")
				if held[i] == nil || forgot[i] || held[i].Decided {
					continue
				}
				ballot := Ballot{Number: held[i].Promised.Number + 1, Owner: string(rune('D' + i)), Incarnation: uint64(step + 10)}
				rec := held[i].Record
				var entries []Entry
				yes, answered := poll(func(k int) Verdict {
					verdict := MayClaim(held[k], ballot, false)
					if verdict == Yes {
						if held[k] == nil {
							held[k] = &Entry{Record: rec}
						}
						held[k].Promised = ballot
					}
					return verdict
				})
				if yes < Majority(voters) {
					continue
				}
				for _, k := range answered {
					entry := *held[k]
					entry.Intents = append([]Intent(nil), entry.Intents...)
					entries = append(entries, entry)
				}
				record, intents, outcome := Merge(entries)
				a := &actor{by: ballot, r: record, earlier: intents, claimed: true, finishes: outcome}
				actors = append(actors, a)
			default: // somebody goes on
				a := actors[rapid.IntRange(0, len(actors)-1).Draw(t, "actor")]
				if a.over {
					continue
				}
				if a.finishes == nil {
					next := Next(effect, a.earlier, time.Second, func(string) bool { return false })
					if a.allowed > 0 {
						a.finishes = &Outcome{Kind: Served, Body: []byte(fmt.Sprint("by ", a.by))}
					} else if next == GiveUp {
						a.finishes = &Outcome{Kind: Failed}
					} else {
						intent := Intent{Ballot: a.by, Attempt: len(a.earlier), ID: a.r.ID}
						yes, _ := poll(func(i int) Verdict {
							verdict := MayIntend(held[i], a.by)
							if verdict == Yes {
								held[i].TakeIntent(intent)
							}
							return verdict
						})
						if yes < Majority(voters) {
							continue
						}
						higher := 0
						for i := range voters {
							if held[i] != nil && !forgot[i] && held[i].Promised.Compare(a.by) > 0 {
								higher++
							}
						}
						if higher >= Majority(voters) {
							t.Fatalf("%v begins an attempt though a majority has promised more", a.by)
						}
						a.allowed++
						begun++
					}
					continue
				}
				yes, _ := poll(func(i int) Verdict {
					verdict := MaySettle(held[i], a.by)
					if verdict == Yes {
						held[i].TakeOutcome(*a.finishes, a.by)
					}
					return verdict
				})
				if yes < Majority(voters) {
					continue
				}
				a.over = true
				if told != nil && (told.Kind != a.finishes.Kind || string(told.Body) != string(a.finishes.Body)) {
					t.Fatalf("one was told %+v, another %+v", told, a.finishes)
				}
				told = a.finishes
				for _, i := range reach("decided") {
					if held[i] != nil {
						held[i].TakeOutcome(*a.finishes, a.by)
						held[i].Decided = true
					}
				}
			}
		}
		if effect == balancer.Unsafe && begun > 1 {
			t.Fatalf("%d attempts of an unsafe call began", begun)
		}
	})
}
