package quota

import (
	"slices"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// leader is the bucket of one who may be the quota leader of a budget, and its part in electing one. The owner locks it.
type leader struct {
	terms      budget.Terms
	self       string // partner/name
	candidates []string
	startedAt  time.Duration

	vote        budget.Vote
	highestTerm uint64        // the highest term heard of
	term        uint64        // own, while
	until       time.Duration // it lasts; 0: it is not the quota leader

	tokens   float64
	filledAt time.Duration
	claims   map[string]*budget.Claim              // by partner
	waivers  map[string]*floorWaiver               // by gateway
	pending  map[peering.GatewayID]*pendingRequest // that wait for tokens, the last of each gateway
	order    []peering.GatewayID                   // of gateways, in turn
	granted  int64
}

// floorWaiver is a gateway's floor that it has waived.
type floorWaiver struct {
	partner string
	floor   float64
	until   time.Duration
}

// pendingRequest is a gateway's question that is not answered yet.
type pendingRequest struct {
	wanted, returning int
	granted           int
	reply             func(given int, hint time.Duration)
}

func newLeader(t budget.Terms, self string, all []string, now time.Duration) *leader {
	return &leader{terms: t, self: self, candidates: all, startedAt: now, claims: map[string]*budget.Claim{}, waivers: map[string]*floorWaiver{}, pending: map[peering.GatewayID]*pendingRequest{}}
}

// isLeader says whether this one is the quota leader now.
func (l *leader) isLeader(now time.Duration) bool { return l.until > 0 && now < l.until }

// begin takes the office for a term. The bucket begins empty, whatever the one before had given out.
func (l *leader) begin(now time.Duration, number uint64) {
	l.term, l.tokens, l.filledAt = number, 0, now
	l.claims, l.waivers = map[string]*budget.Claim{}, map[string]*floorWaiver{}
}

// rate is how fast the bucket fills now: floors that nobody has waived are others' own.
func (l *leader) rate(now time.Duration) float64 {
	if l.terms.Fallback != budget.Floor {
		return l.terms.Rate
	}
	rate := l.terms.Rate
	for _, p := range l.terms.Partners {
		left := p.Floor
		n := 0
		for _, waiver := range l.waivers {
			if waiver.partner == p.Name && now < waiver.until && n < p.Gateways {
				left -= waiver.floor
				n++
			}
		}
		rate -= max(0, left)
	}
	return max(0, rate)
}

// fill lets the bucket run until now.
func (l *leader) fill(now time.Duration) {
	if d := (now - l.filledAt).Seconds(); d > 0 {
		l.tokens = min(l.terms.Depth(), l.tokens+d*l.rate(now))
		for _, p := range l.terms.Partners {
			if c := l.claims[p.Name]; c != nil && p.Floor > 0 {
				c.Credit = min(max(1, p.Floor), c.Credit+d*p.Floor)
			}
		}
	}
	l.filledAt = now
}

// claim is what a partner has had and is owed.
func (l *leader) claim(name string) *budget.Claim {
	c := l.claims[name]
	if c == nil {
		c = &budget.Claim{}
		l.claims[name] = c
	}
	return c
}

// request takes a gateway's question; a newer one takes the place of one that waits.
func (l *leader) request(who peering.GatewayID, a *pendingRequest, back int) {
	l.tokens = min(l.terms.Depth(), l.tokens+float64(back))
	if was := l.pending[who]; was != nil {
		was.reply(was.granted, 0)
	} else if !slices.Contains(l.order, who) {
		l.order = append(l.order, who)
	}
	l.pending[who] = a
}

// distribute gives out what the bucket holds, by turns, and answers who has got what it wanted. over: whoever still waits is
// answered too, with what there is and when to come back.
func (l *leader) distribute(now time.Duration, over bool) {
	l.fill(now)
	names := make([]string, 0, len(l.terms.Partners))
	for _, p := range l.terms.Partners {
		names = append(names, p.Name)
	}
	wants := make([]budget.Claim, len(names))
	for i, n := range names {
		c := l.claim(n)
		c.Want = 0
		for who, a := range l.pending {
			if who.Partner == n {
				c.Want += max(0, a.wanted-a.granted)
			}
		}
		wants[i] = *c
	}
	// Who wants again after a while counts as if it had had as little as the one who has had least of those who go on.
	least, any := 0.0, false
	for i := range wants {
		if wants[i].Want > 0 && (!any || wants[i].BeyondFloor < least) {
			least, any = wants[i].BeyondFloor, true
		}
	}
	once := max(1, int(l.tokens)/turnsPerDistribution) // tokens that go in one turn
	for l.tokens >= 1 {
		i := budget.NextPartner(wants)
		if i < 0 {
			break
		}
		n := l.grant(names[i], min(once, wants[i].Want, int(l.tokens)))
		if n == 0 {
			wants[i].Want = 0
			continue
		}
		l.tokens -= float64(n)
		l.granted += int64(n)
		wants[i].Want -= n
		if wants[i].Credit >= 1 {
			wants[i].Credit -= float64(n)
		} else {
			wants[i].BeyondFloor = max(wants[i].BeyondFloor, least) + float64(n)/l.weight(names[i])
		}
	}
	waiting := 0
	for i, n := range names {
		c := l.claims[n]
		c.Credit, c.BeyondFloor = wants[i].Credit, wants[i].BeyondFloor
		waiting += max(0, wants[i].Want)
	}
	for who, a := range l.pending {
		if a.granted < a.wanted && !over {
			continue
		}
		hint := time.Duration(0)
		if a.granted < a.wanted {
			hint = time.Duration(float64(waiting+1) / max(l.rate(now), 1e-3) * float64(time.Second))
		}
		delete(l.pending, who)
		a.reply(a.granted, hint)
	}
}

// turnsPerDistribution is about how many turns a deal takes.
const turnsPerDistribution = 512

func (l *leader) weight(partner string) float64 {
	for _, p := range l.terms.Partners {
		if p.Name == partner && p.Weight > 0 {
			return p.Weight
		}
	}
	return 1
}

// grant gives up to n tokens to the next of a partner's gateways that wants any, and tells how many: those first whose clients
// come back at a time that they were told.
func (l *leader) grant(partner string, n int) int {
	for _, due := range []bool{true, false} {
		for i, who := range l.order {
			a := l.pending[who]
			if who.Partner != partner || a == nil {
				continue
			}
			most := a.wanted
			if due {
				most = min(a.wanted, a.returning)
			}
			if a.granted >= most {
				continue
			}
			n = min(n, most-a.granted)
			a.granted += n
			l.order = append(slices.Delete(l.order, i, i+1), who)
			return n
		}
	}
	return 0
}

// waive notes that a gateway's floor may be lent until a time.
func (l *leader) waive(who peering.GatewayID, floor float64, until time.Duration) {
	l.waivers[who.String()] = &floorWaiver{who.Partner, floor, until}
}
