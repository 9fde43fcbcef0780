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
		var v Vote
		var began time.Duration
		switch f := strings.Fields(r.At("given")); {
		case len(f) == 1 && f[0] == "nothing":
		case len(f) == 3 && f[0] == "started":
			began = parseDuration(t, r, f[2])
		case len(f) == 5 && f[1] == "to":
			fmt.Sscan(f[0], &v.Term)
			v.Leader, v.Until = f[2], parseDuration(t, r, f[4])
		default:
			t.Errorf("%s:%d: nobody plays %q", page, r.Line, r.At("given"))
			continue
		}
		var at, who string
		var number uint64
		if _, err := fmt.Sscanf(r.At("event"), "at %s %s asks for %d", &at, &who, &number); err != nil {
			t.Errorf("%s:%d: nobody plays %q", page, r.Line, r.At("event"))
			continue
		}
		next, ok := GrantVote(v, began, parseDuration(t, r, at), time.Second, number, who)
		got := "no"
		if ok {
			got = fmt.Sprintf("yes, until %v", next.Until)
			if next.Term != number || next.Leader != who {
				t.Errorf("%s:%d: %+v", page, r.Line, next)
			}
		} else if next != v {
			t.Errorf("%s:%d: a refusal changes the vote to %+v", page, r.Line, next)
		}
		if got != r.At("outcome") {
			t.Errorf("%s:%d: %s", page, r.Line, got)
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
			t.Errorf("%s:%d: %s", page, r.Line, got)
		}
	}
}

func TestTermsBounds(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "What terms bound") {
		var b Terms
		var over, lease, cut string
		if _, err := fmt.Sscan(r.At("terms"), &b.Rate, &b.Burst, &over, &lease, &cut); err != nil {
			t.Fatalf("%s:%d: %v", page, r.Line, err)
		}
		fmt.Sscanf(over, "%g%%", &b.Overdraw)
		b.Overdraw /= 100
		b.Lease, b.Fallback = parseDuration(t, r, lease), Fallback(cut)
		for _, p := range strings.Split(r.At("partners"), ", ") {
			var k Partner
			if _, err := fmt.Sscanf(p, "%g x %d", &k.Floor, &k.Gateways); err != nil {
				t.Fatalf("%s:%d: %v", page, r.Line, err)
			}
			b.Partners = append(b.Partners, k)
		}
		if field, why := b.Check(); field != r.At("outcome") {
			t.Errorf("%s:%d: %s: %s", page, r.Line, field, why)
		}
		for column, w := range map[string]time.Duration{"in 1s": time.Second, "in 10s": 10 * time.Second} {
			if want := r.At(column); want != "" && fmt.Sprint(math.Round(b.Bound(w)*10)/10) != want {
				t.Errorf("%s:%d: %v in %v", page, r.Line, math.Round(b.Bound(w)*10)/10, w)
			}
		}
	}
}

// Whatever clocks show and however late messages come, as long as clocks' rates differ by the drift at most, two terms never
// overlap, and a replica that is started anew makes no two of them. What happens is drawn first and then played in the order of
// real time: a replica hears questions in the order in which they reach it, which is not the one in which they were asked.
func TestLeaderTermsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const term = time.Second
		type voter struct {
			rate  float64 // of its clock
			off   time.Duration
			vote  Vote
			began time.Duration // by its clock
		}
		n := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters")
		replicas := make([]*voter, n)
		for i := range replicas {
			replicas[i] = &voter{rate: 1 + rapid.SampledFrom([]float64{-0.5, 0, 0.2, 0.5}).Draw(t, "rate")*MaxDrift, off: time.Duration(rapid.IntRange(-100, 100).Draw(t, "off")) * time.Second}
			replicas[i].began = replicas[i].off
		}
		clock := func(v *voter, now time.Duration) time.Duration { return v.off + time.Duration(v.rate*float64(now)) }
		type reign struct {
			who        int
			from, till time.Duration // real
		}
		var reigns []reign
		type event struct {
			at time.Duration // real
			do func(now time.Duration)
		}
		var events []event
		on := func(at time.Duration, do func(now time.Duration)) { events = append(events, event{at, do}) }
		// A length of time, one in three of them about as long as a term.
		length := func(most int, label string) time.Duration {
			if rapid.IntRange(0, 2).Draw(t, "about a term") == 0 {
				return time.Duration(rapid.IntRange(960, 1040).Draw(t, label)) * time.Millisecond
			}
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		now := 10 * time.Second
		high := 1
		for range rapid.IntRange(5, 60).Draw(t, "asks") {
			now += length(600, "later")
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				v := replicas[rapid.IntRange(0, n-1).Draw(t, "who")]
				on(now-length(300, "before"), func(now time.Duration) { v.vote, v.began = Vote{}, clock(v, now) })
			}
			who := rapid.IntRange(0, n-1).Draw(t, "candidate")
			me := replicas[who]
			// By its own clock, and the real time at which the term is over by it.
			till := time.Duration(float64(clock(me, now)+AtMost(term)-me.off) / me.rate)
			high = max(1, high+rapid.IntRange(-1, 2).Draw(t, "number"))
			number := uint64(high)
			yes := 0
			for _, v := range replicas {
				there := time.Duration(rapid.IntRange(0, 60).Draw(t, "there")) * time.Millisecond
				if rapid.IntRange(0, 9).Draw(t, "late") == 0 {
					there = length(1200, "there")
				}
				back := time.Duration(rapid.IntRange(0, 60).Draw(t, "back")) * time.Millisecond
				if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
					continue
				}
				on(now+there, func(at time.Duration) {
					next, ok := GrantVote(v.vote, v.began, clock(v, at), term, number, fmt.Sprint(who))
					v.vote = next
					if ok {
						on(at+back, func(at time.Duration) {
							if yes++; yes == n/2+1 && at < till {
								reigns = append(reigns, reign{who, at, till})
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
		for i, a := range reigns {
			for _, b := range reigns[:i] {
				if a.who != b.who && a.from < b.till && b.from < a.till {
					t.Fatalf("%d from %v to %v, %d from %v to %v", a.who, a.from, a.till, b.who, b.from, b.till)
				}
			}
		}
	})
}

// A promise by the fastest clock outlasts the term that it was given for by the slowest one.
func TestVoteOutlastsLeaderTerm(t *testing.T) {
	const fast, slow = 1 + MaxDrift/2, 1 - MaxDrift/2
	began := time.Duration(0)
	v, ok := GrantVote(Vote{}, began, 10*time.Second, time.Second, 1, "a")
	if promised, term := float64(v.Until-10*time.Second)/fast, float64(AtMost(time.Second))/slow; !ok || promised < term {
		t.Errorf("promised for %v, the term may last %v", time.Duration(promised), time.Duration(term))
	}
}

// A floor that is lent is drawn by nobody else, however late the waiver comes to the quota leader, or whether it does.
func TestLentFloorIsDrawnOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, gateway := 1+rapid.Float64Range(-0.5, 0.5).Draw(t, "keeper")*MaxDrift, 1+rapid.Float64Range(-0.5, 0.5).Draw(t, "gateway")*MaxDrift
		stamp := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "stamp")) // real
		sent := stamp + time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "later"))
		byKeeper := func(real time.Duration) time.Duration { return time.Duration(float64(real) * leader) }
		byGateway := func(real time.Duration) time.Duration { return time.Duration(float64(real) * gateway) }
		lent, drawn := FloorLoanEnds(byKeeper(stamp), byGateway(sent))
		if until, from := float64(lent)/leader, float64(drawn)/gateway; until > from {
			t.Fatalf("lent until %v, drawn from %v", time.Duration(until), time.Duration(from))
		}
	})
}
