// Package quota keeps one budget of requests that all partners draw from.
//
// A quota leader, one of a few gateways that the file names, fills a bucket at the budget's rate and gives tokens out of it to the
// gateways that ask; a token allows one request, at the gateway that it was given to, for a short while. The quota leader is elected by
// a majority of those that could be it, for a term that it renews, and gives nothing out once its term is over by its own
// clock.
//
// What it promises, where clocks differ in rate by Drift at most, whatever they show:
//
//   - In any window of W seconds no more than Terms.Bound(W) requests draw, over all gateways, whoever is killed, stopped, cut off
//     or started anew: a token was taken out of the one bucket before it was given, is used within Lease of when it was asked
//     for, and the bucket of a new quota leader begins empty.
//   - There are never two quota candidates: a replica's promise outlasts the term that it was given for, and a replica that has just been
//     started promises nothing until what it may have promised before is over.
//   - A partner's floor is its own: it gets as much as that first, and where links to the quota leader are lost, and the file says
//     so, each gateway goes on with its part of it. The quota leader lends a floor to others only as long as whose it is has waived it.
//   - What is beyond floors is shared by weight: nobody gets more while another who wants more has less for its weight.
//
// The rules are internal/budget's plain functions.
package quota

import (
	"slices"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// leader is the bucket of one who may be the quota leader of a budget, and its part in electing one. The owner locks it.
type leader struct {
	terms budget.Terms
	self  string // partner/name
	all   []string
	began time.Duration

	vote  budget.Vote
	seen  uint64        // the highest term heard of
	term  uint64        // own, while
	until time.Duration // it lasts; 0: it is not the quota leader

	tokens   float64
	filled   time.Duration
	claims   map[string]*budget.Claim              // by partner
	lent     map[string]*lease                     // by gateway
	requests map[peering.GatewayID]*pendingRequest // that wait for tokens, the last of each gateway
	order    []peering.GatewayID                   // of gateways, in turn
	granted  int64
}

// lease is a gateway's floor that it has waived.
type lease struct {
	partner string
	floor   float64
	until   time.Duration
}

// pendingRequest is a gateway's question that is not answered yet.
type pendingRequest struct {
	want, due int
	got       int
	reply     func(given int, hint time.Duration)
}

func newLeader(t budget.Terms, self string, all []string, now time.Duration) *leader {
	return &leader{terms: t, self: self, all: all, began: now, claims: map[string]*budget.Claim{}, lent: map[string]*lease{}, requests: map[peering.GatewayID]*pendingRequest{}}
}

// isLeader says whether this one is the quota leader now.
func (k *leader) isLeader(now time.Duration) bool { return k.until > 0 && now < k.until }

// begin takes the office for a term. The bucket begins empty, whatever the one before had given out.
func (k *leader) begin(now time.Duration, number uint64) {
	k.term, k.tokens, k.filled = number, 0, now
	k.claims, k.lent = map[string]*budget.Claim{}, map[string]*lease{}
}

// rate is how fast the bucket fills now: floors that nobody has waived are others' own.
func (k *leader) rate(now time.Duration) float64 {
	if k.terms.WhenCut != budget.Floor {
		return k.terms.Rate
	}
	rate := k.terms.Rate
	for _, p := range k.terms.Partners {
		left := p.Floor
		n := 0
		for _, l := range k.lent {
			if l.partner == p.Name && now < l.until && n < p.Gateways {
				left -= l.floor
				n++
			}
		}
		rate -= max(0, left)
	}
	return max(0, rate)
}

// fill lets the bucket run until now.
func (k *leader) fill(now time.Duration) {
	if d := (now - k.filled).Seconds(); d > 0 {
		k.tokens = min(k.terms.Depth(), k.tokens+d*k.rate(now))
		for _, p := range k.terms.Partners {
			if c := k.claims[p.Name]; c != nil && p.Floor > 0 {
				c.Credit = min(max(1, p.Floor), c.Credit+d*p.Floor)
			}
		}
	}
	k.filled = now
}

// partner is what a partner has had and is owed.
func (k *leader) partner(name string) *budget.Claim {
	c := k.claims[name]
	if c == nil {
		c = &budget.Claim{}
		k.claims[name] = c
	}
	return c
}

// request takes a gateway's question; a newer one takes the place of one that waits.
func (k *leader) request(who peering.GatewayID, a *pendingRequest, back int) {
	k.tokens = min(k.terms.Depth(), k.tokens+float64(back))
	if was := k.requests[who]; was != nil {
		was.reply(was.got, 0)
	} else if !slices.Contains(k.order, who) {
		k.order = append(k.order, who)
	}
	k.requests[who] = a
}

// distribute gives out what the bucket holds, by turns, and answers who has got what it wanted. over: whoever still waits is
// answered too, with what there is and when to come back.
func (k *leader) distribute(now time.Duration, over bool) {
	k.fill(now)
	names := make([]string, 0, len(k.terms.Partners))
	for _, p := range k.terms.Partners {
		names = append(names, p.Name)
	}
	wants := make([]budget.Claim, len(names))
	for i, n := range names {
		c := k.partner(n)
		c.Want = 0
		for who, a := range k.requests {
			if who.Partner == n {
				c.Want += max(0, a.want-a.got)
			}
		}
		wants[i] = *c
	}
	// Who wants again after a while counts as if it had had as little as the one who has had least of those who go on.
	least, any := 0.0, false
	for i := range wants {
		if wants[i].Want > 0 && (!any || wants[i].Had < least) {
			least, any = wants[i].Had, true
		}
	}
	once := max(1, int(k.tokens)/mostTurns) // tokens that go in one turn
	for k.tokens >= 1 {
		i := budget.Turn(wants)
		if i < 0 {
			break
		}
		n := k.grant(names[i], min(once, wants[i].Want, int(k.tokens)))
		if n == 0 {
			wants[i].Want = 0
			continue
		}
		k.tokens -= float64(n)
		k.granted += int64(n)
		wants[i].Want -= n
		if wants[i].Credit >= 1 {
			wants[i].Credit -= float64(n)
		} else {
			wants[i].Had = max(wants[i].Had, least) + float64(n)/k.weight(names[i])
		}
	}
	waiting := 0
	for i, n := range names {
		c := k.claims[n]
		c.Credit, c.Had = wants[i].Credit, wants[i].Had
		waiting += max(0, wants[i].Want)
	}
	for who, a := range k.requests {
		if a.got < a.want && !over {
			continue
		}
		hint := time.Duration(0)
		if a.got < a.want {
			hint = time.Duration(float64(waiting+1) / max(k.rate(now), 1e-3) * float64(time.Second))
		}
		delete(k.requests, who)
		a.reply(a.got, hint)
	}
}

// mostTurns is about how many turns a deal takes.
const mostTurns = 512

func (k *leader) weight(partner string) float64 {
	for _, p := range k.terms.Partners {
		if p.Name == partner && p.Weight > 0 {
			return p.Weight
		}
	}
	return 1
}

// grant gives up to n tokens to the next of a partner's gateways that wants any, and tells how many: those first whose clients
// come back at a time that they were told.
func (k *leader) grant(partner string, n int) int {
	for _, due := range []bool{true, false} {
		for i, who := range k.order {
			a := k.requests[who]
			if who.Partner != partner || a == nil {
				continue
			}
			most := a.want
			if due {
				most = min(a.want, a.due)
			}
			if a.got >= most {
				continue
			}
			n = min(n, most-a.got)
			a.got += n
			k.order = append(slices.Delete(k.order, i, i+1), who)
			return n
		}
	}
	return 0
}

// waive notes that a gateway's floor may be lent until a time.
func (k *leader) waive(who peering.GatewayID, floor float64, until time.Duration) {
	k.lent[who.String()] = &lease{who.Partner, floor, until}
}
