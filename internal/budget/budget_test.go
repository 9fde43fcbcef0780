package budget

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"

	"damsontrestle/internal/spectest"
)

const page = "../../docs/design/quota.md"

func parseDuration(t *testing.T, r spectest.Row, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("%s:%d: %v", page, r.Line, err)
	}
	return d
}

func TestGrantVote(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "Who may be promised a term") {
		var vote Vote
		var startedAt time.Duration
		switch f := strings.Fields(r.At("given")); {
		case len(f) == 1 && f[0] == "nothing":
		case len(f) == 3 && f[0] == "started":
			startedAt = parseDuration(t, r, f[2])
		case len(f) == 5 && f[1] == "to":
			fmt.Sscan(f[0], &vote.Term)
			vote.Leader, vote.Until = f[2], parseDuration(t, r, f[4])
		default:
			t.Errorf("%s:%d: cannot parse given %q", page, r.Line, r.At("given"))
			continue
		}
		var at, candidate string
		var term uint64
		if _, err := fmt.Sscanf(r.At("event"), "at %s %s asks for %d", &at, &candidate, &term); err != nil {
			t.Errorf("%s:%d: cannot parse event %q", page, r.Line, r.At("event"))
			continue
		}
		next, ok := GrantVote(vote, startedAt, parseDuration(t, r, at), time.Second, term, candidate)
		got := "no"
		if ok {
			got = fmt.Sprintf("yes, until %v", next.Until)
			if next.Term != term || next.Leader != candidate {
				t.Errorf("%s:%d: got vote %+v, want term %d, leader %s", page, r.Line, next, term, candidate)
			}
		} else if next != vote {
			t.Errorf("%s:%d: a rejected request changed the vote to %+v", page, r.Line, next)
		}
		if got != r.At("outcome") {
			t.Errorf("%s:%d: got %s, want %s", page, r.Line, got, r.At("outcome"))
		}
	}
}

func TestNextPartner(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "Whose turn it is") {
		var claims []Claim
		for _, p := range strings.Split(r.At("partners"), ", ") {
			var c Claim
			if _, err := fmt.Sscanf(strings.ReplaceAll(p, "/", " "), "%d %g %g", &c.Waiting, &c.FloorCredit, &c.BeyondFloor); err != nil {
				t.Fatalf("%s:%d: %v", page, r.Line, err)
			}
			claims = append(claims, c)
		}
		if got := map[int]string{-1: "nobody", 0: "first", 1: "second"}[NextPartner(claims)]; got != r.At("outcome") {
			t.Errorf("%s:%d: got %s, want %s", page, r.Line, got, r.At("outcome"))
		}
	}
}

func TestTermsBounds(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "What terms bound") {
		var terms Terms
		var overdraw, lease, fallback string
		if _, err := fmt.Sscan(r.At("terms"), &terms.Rate, &terms.Burst, &overdraw, &lease, &fallback); err != nil {
			t.Fatalf("%s:%d: %v", page, r.Line, err)
		}
		fmt.Sscanf(overdraw, "%g%%", &terms.Overdraw)
		terms.Overdraw /= 100
		terms.Lease, terms.Fallback = parseDuration(t, r, lease), Fallback(fallback)
		for _, p := range strings.Split(r.At("partners"), ", ") {
			var partner Partner
			if _, err := fmt.Sscanf(p, "%g x %d", &partner.Floor, &partner.Gateways); err != nil {
				t.Fatalf("%s:%d: %v", page, r.Line, err)
			}
			terms.Partners = append(terms.Partners, partner)
		}
		if field, why := terms.Check(); field != r.At("outcome") {
			t.Errorf("%s:%d: Check found %q (%s), want %q", page, r.Line, field, why, r.At("outcome"))
		}
		for column, window := range map[string]time.Duration{"in 1s": time.Second, "in 10s": 10 * time.Second} {
			if want := r.At(column); want != "" && fmt.Sprint(math.Round(terms.Bound(window)*10)/10) != want {
				t.Errorf("%s:%d: bound %v in %v, want %s", page, r.Line, math.Round(terms.Bound(window)*10)/10, window, want)
			}
		}
	}
}

// Two leaders' terms never overlap, whatever the clocks show and however late messages arrive, as long as the clocks' rates differ by
// at most MaxDrift; a restarted replica does not change that. The events are drawn first and then run in the order of real time, as
// replicas receive vote requests in the order of arrival, which may differ from the order of sending.
func TestLeaderTermsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const term = time.Second
		type replica struct {
			rate      float64       // of its clock
			off       time.Duration // of its clock at real time 0
			vote      Vote
			startedAt time.Duration // by its clock
		}
		n := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "replicas")
		replicas := make([]*replica, n)
		for i := range replicas {
			replicas[i] = &replica{rate: 1 + rapid.SampledFrom([]float64{-0.5, 0, 0.2, 0.5}).Draw(t, "rate")*MaxDrift, off: time.Duration(rapid.IntRange(-100, 100).Draw(t, "offset")) * time.Second}
			replicas[i].startedAt = replicas[i].off
		}
		clock := func(r *replica, now time.Duration) time.Duration { return r.off + time.Duration(r.rate*float64(now)) }
		type leadership struct {
			leader      int
			from, until time.Duration // real time
		}
		var leaderships []leadership
		type event struct {
			at time.Duration // real time
			do func(now time.Duration)
		}
		var events []event
		on := func(at time.Duration, do func(now time.Duration)) { events = append(events, event{at, do}) }
		// drawDuration draws a duration; one in three is close to the length of a term.
		drawDuration := func(maxMillis int, label string) time.Duration {
			if rapid.IntRange(0, 2).Draw(t, "about a term") == 0 {
				return time.Duration(rapid.IntRange(960, 1040).Draw(t, label)) * time.Millisecond
			}
			return time.Duration(rapid.IntRange(0, maxMillis).Draw(t, label)) * time.Millisecond
		}
		now := 10 * time.Second
		highestTerm := 1
		for range rapid.IntRange(5, 60).Draw(t, "asks") {
			now += drawDuration(600, "later")
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				restarted := replicas[rapid.IntRange(0, n-1).Draw(t, "who")]
				on(now-drawDuration(300, "before"), func(now time.Duration) { restarted.vote, restarted.startedAt = Vote{}, clock(restarted, now) })
			}
			who := rapid.IntRange(0, n-1).Draw(t, "candidate")
			candidate := replicas[who]
			// The real time at which the term ends by the candidate's clock.
			until := time.Duration(float64(clock(candidate, now)+AtMost(term)-candidate.off) / candidate.rate)
			highestTerm = max(1, highestTerm+rapid.IntRange(-1, 2).Draw(t, "number"))
			requestedTerm := uint64(highestTerm)
			votes := 0
			for _, peer := range replicas {
				requestDelay := time.Duration(rapid.IntRange(0, 60).Draw(t, "request delay")) * time.Millisecond
				if rapid.IntRange(0, 9).Draw(t, "late") == 0 {
					requestDelay = drawDuration(1200, "request delay")
				}
				replyDelay := time.Duration(rapid.IntRange(0, 60).Draw(t, "reply delay")) * time.Millisecond
				if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
					continue
				}
				on(now+requestDelay, func(at time.Duration) {
					next, ok := GrantVote(peer.vote, peer.startedAt, clock(peer, at), term, requestedTerm, fmt.Sprint(who))
					peer.vote = next
					if ok {
						on(at+replyDelay, func(at time.Duration) {
							if votes++; votes == n/2+1 && at < until {
								leaderships = append(leaderships, leadership{who, at, until})
							}
						})
					}
				})
			}
		}
		for len(events) > 0 {
			slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
			e := events[0]
			events = events[1:]
			e.do(e.at)
		}
		for i, a := range leaderships {
			for _, b := range leaderships[:i] {
				if a.leader != b.leader && a.from < b.until && b.from < a.until {
					t.Fatalf("terms overlap: %d leads from %v to %v, %d from %v to %v", a.leader, a.from, a.until, b.leader, b.from, b.until)
				}
			}
		}
	})
}

// A vote granted by the fastest clock lasts longer than the term it was granted for, measured by the slowest clock.
func TestVoteOutlastsLeaderTerm(t *testing.T) {
	const fast, slow = 1 + MaxDrift/2, 1 - MaxDrift/2
	startedAt := time.Duration(0)
	v, ok := GrantVote(Vote{}, startedAt, 10*time.Second, time.Second, 1, "a")
	if vote, term := float64(v.Until-10*time.Second)/fast, float64(AtMost(time.Second))/slow; !ok || vote < term {
		t.Errorf("granted %v: the vote lasts %v, the term may last %v", ok, time.Duration(vote), time.Duration(term))
	}
}

// A gateway draws nothing from a floor while the quota leader may lend it, however late the waiver reaches the leader, or if it is lost.
func TestLentFloorIsDrawnOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaderRate, gatewayRate := 1+rapid.Float64Range(-0.5, 0.5).Draw(t, "leader")*MaxDrift, 1+rapid.Float64Range(-0.5, 0.5).Draw(t, "gateway")*MaxDrift
		asked := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "asked")) // real
		answered := asked + time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "later"))
		byLeader := func(real time.Duration) time.Duration { return time.Duration(float64(real) * leaderRate) }
		byGateway := func(real time.Duration) time.Duration { return time.Duration(float64(real) * gatewayRate) }
		lent, drawn := FloorLoanEnds(byLeader(asked), byGateway(answered))
		if until, from := float64(lent)/leaderRate, float64(drawn)/gatewayRate; until > from {
			t.Fatalf("the leader lends until %v, the gateway draws from %v", time.Duration(until), time.Duration(from))
		}
	})
}
