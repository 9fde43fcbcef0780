// Every decision of balancer. The interface (settings, events, actions) is in balancer.go.

package balancer

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	alpha         = 0.5    // share of the list in the left group
	memory        = 0.06   // weight of a new sample in pooled averages (about 16 samples)
	ownMemory     = 0.25   // weight of a new sample in a single server's averages
	chance        = 0.08   // a run of bad endings likelier than this by the share of them among all is luck
	tailDeviation = 3.0    // deviations above the mean at which a wait counts as overlong
	minSamples    = 3      // good endings that take one doubling of a later ejection back
	mostOut       = 0.2    // share of the list that health may exclude; beyond that all are drawn
	failMemory    = 0.15   // weight of a new ending in a server's share of failures in a class
	failFade      = 36     // mean latencies in which that share falls to a third, if nothing else is heard
	failWeight    = 3.0    // power of its share of good endings, against all servers', that it is drawn by
	failMargin    = 0.8    // what that share may fall to by chance, without being drawn less
	ejection      = 12     // mean latencies that a first ejection lasts
	maxLevel      = 5      // doublings of an ejection
	windowFloor   = 5.0    // own requests a server that are always admitted
	retryEarn     = 0.15   // further attempts earned by a success
	neverRanCost  = 0.1    // what a further attempt costs when the last one never ran
	retryBudget   = 10     // most that can be saved up
	targetShare   = 0.75   // part of the mean, by ratio, of base latency and aim that is steered to
	targetLeast   = 1.35   // times the base latency that is steered to at least
	baseRise      = 0.0005 // weight of a new sample in a class's base latency when it lies above
	baseFall      = 0.02   // and when it lies below: a noisy mean now and then is lower than any real one
	leanness      = 0.3    // part of the target given up when all is shed
	windowSlack   = 2      // times the requests out on average up to which the window grows
	windowGain    = 0.15   // window moved by an answer, for each target that it came under or over, at a lone node
	windowStart   = 13.0   // own requests for each server a node that are admitted before anything is known
	hanging       = 0.05   // share of a class's attempts that may fail before a request that hangs is cut short
	sameTry       = 0.05   // by how much times given to tries may differ and be held for the same
	mostVotes     = 50     // counted for the time that is usual
)

// ---- State ----

// Balancer decides for one node. See the package comment for its contract.
type Balancer struct {
	set       Settings
	rng       *rand.Rand
	now       time.Duration
	out       []Action
	servers   map[string]*server
	ready     []*server // ready servers in the shared order
	allGroups groups    // the two groups of the design
	pool      groups    // the part of each that this node draws from
	width     int       // servers in the pool
	places    [2]int    // where the node's runs begin in the two groups, in places of as many as there are copies
	times     float64   // how often the runs that it was cut by go round the group
	busy      float64   // requests in flight, averaged over sends
	requests  map[string]*request
	held      []*request
	zones     []*zone // in the order of their names
	trying    *zone   // that a trial is drawn from
	classes   map[string]*class
	order     []*class // every class in the order of the settings, then the unknown one

	errors           float64 // share of bad endings, overlong answers among them, of all attempts
	lastOK           time.Duration
	tokens           float64 // retry budget
	window           float64 // own requests admitted at once (first tier)
	inFlight         int
	meanReportedLoad float64 // requests that a server holds, on average over what was told
	shed             float64 // share of requests answered without an attempt
	subFails         int
	subWanted        time.Duration
	usualSize        float64 // of the listed servers, on average
}

// class holds what was learned of a class.
type class struct {
	Class
	mean, dev     float64 // latency of successes, in ns
	base          float64 // what mean was when there was most room
	failing       float64 // share of its attempts that fail
	samples       int
	arrive, serve float64 // decayed counts
	usual         float64 // time that most tries are given, in ns
	votes         int     // for it, less those against it
}

// server is a listed server, or one that left with requests of ours still out.
type server struct {
	Server
	in       *zone
	listed   bool
	inFlight int        // own requests in flight
	coming   int        // own requests whose bodies still go there
	open     []*attempt // the same requests in order of sending

	streak     int // bad endings in a row
	level      int // doublings of the next ejection
	goods      int // good endings in a row
	until      time.Duration
	slow       float64 // mean log of latency over the class mean
	samples    int
	lastOK     time.Duration
	capacity   int           // own requests that it had taken when it refused one more
	full       time.Duration // no more than room until then
	rejections int           // in a row
	out        bool          // ruled out for the request at hand
	failing    map[*class]fading
	part       float64       // of it that lies in this node's pool; 0: none
	busy       float64       // requests that it held by the last word of it
	reportedAt time.Duration // when it did; 0: nothing is known
}

// fading is a share that is the less sure the longer ago it was seen.
type fading struct {
	share float64
	at    time.Duration
}

// groups are the left and the right group, or a part of each.
type groups struct{ left, right []*server }

// terms say how often a request may run. They are its class's when it was taken, and only ever get stricter.
type terms struct {
	effect Effect
	scope  Scope
	window time.Duration
}

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	terms
	id       string
	class    *class
	arrived  time.Duration
	deadline time.Duration
	attempts []*attempt
	out      int
	retry    bool      // by the client, where clients say so
	partial  bool      // its body still comes
	spent    bool      // and is gone in part
	polled   []*server // how much they hold, before the first attempt; nil: nobody
	polling  int       // of them that have not said yet
	timerAt  time.Duration

	held, answered, streaming bool
}

// attempt is one send of a request.
type attempt struct {
	req      *request
	srv      *server
	n        int
	in       *zone
	sent     time.Duration
	zone     string
	cell     int
	ended    bool
	neverRan bool // proven never to have run
	begun    bool // its server may have begun, and it is counted there
}

// New returns a Balancer that knows no servers yet. The error names the setting at fault.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, 0x51a7e)),
		servers: map[string]*server{}, requests: map[string]*request{},
		classes: map[string]*class{}, errors: 0.02, tokens: retryBudget / 2}
	b.takeClasses(set.Classes)
	return b, nil
}

// takeClasses knows these classes from now on, and what was learned of them before. One more stands for all others.
func (b *Balancer) takeClasses(list []Class) {
	old := b.classes
	b.classes, b.order = map[string]*class{}, nil
	odd := slices.MaxFunc(list, func(a, b Class) int { return cmp.Compare(a.Deadline, b.Deadline) })
	other := Class{LatencyObjective: odd.LatencyObjective, Deadline: odd.Deadline, PriorityWeight: odd.PriorityWeight}
	for _, c := range append(slices.Clone(list), other) {
		k := old[c.Name]
		if k == nil {
			k = &class{}
		}
		if k.Class = c; k.samples == 0 {
			k.mean, k.dev, k.base = float64(c.LatencyObjective)/4, float64(c.LatencyObjective)/8,
				float64(c.LatencyObjective)/4
		}
		b.classes[c.Name] = k
		b.order = append(b.order, k)
	}
}

// reconfigure takes other settings over, with all that was learned. A request that is under way keeps the
// terms on which it was taken, as far as its class is not stricter now.
func (b *Balancer) reconfigure(set Settings) {
	if validate(set) != nil {
		return
	}
	old := b.set
	b.set = set
	b.takeClasses(set.Classes)
	for _, s := range b.servers {
		maps.DeleteFunc(s.failing, func(k *class, _ fading) bool { return b.classes[k.Name] != k })
	}
	for _, r := range b.requests {
		r.tighten(b.classes[r.class.Name])
	}
	if set.Balancers != old.Balancers || set.Index != old.Index {
		b.width = 0
	}
	if set.PollDiscovery && !old.PollDiscovery {
		b.pollAgain()
	}
	b.release()
}

// tighten holds a request to what its class is now, where that is stricter; a class that is gone is unsafe.
// A request that was taken as safe has no key, so that nobody could discard its repeats.
func (r *request) tighten(c *class) {
	switch {
	case c == nil || c.Effect < r.effect:
		r.effect = Unsafe
	case c.Effect == r.effect:
		r.scope, r.window = min(r.scope, c.Scope), min(r.window, c.Window)
	}
}

// ---- Events ----

// Handle takes one event at the clock time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.out = nil
	switch e := e.(type) {
	case ServerList:
		b.takeList(e)
	case ListFailed:
		b.subFails++
		b.pollAgain()
	case Request:
		b.accept(e)
	case Uploaded:
		b.takeUploaded(e)
	case Outcome:
		b.takeOutcome(e)
	case Started:
		if r := b.requests[e.ID]; r != nil {
			r.streaming = true
		}
	case ClientDisconnected:
		b.close(b.requests[e.ID])
	case LoadUpdate:
		b.takeLoadUpdate(e)
	case Timer:
		b.takeTimer(e)
	case Reconfigure:
		b.reconfigure(e.Settings)
	}
	return b.out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) takeTimer(e Timer) {
	if e.Token == "list" {
		if b.subWanted > 0 && b.now+b.set.Tick >= b.subWanted {
			b.subWanted = 0
			b.do(Subscribe{})
		}
		return
	}
	// A host may round a time down, so a timer can come a hair early: nothing relies on its being
	// late enough, and a review that finds nothing due yet asks for another.
	if r := b.requests[strings.TrimPrefix(e.Token, "r:")]; r != nil {
		if b.now+b.set.Tick >= r.timerAt {
			r.timerAt = 0
		}
		if r.polling > 0 && r.timerAt == 0 {
			b.polledAll(r)
		} else if r.held {
			b.delay(r)
			b.release()
		}
	}
}

// wakeAt asks for a review of a request, unless one is due by then already.
func (b *Balancer) wakeAt(r *request, at time.Duration) {
	at = max(at, b.now+1)
	if r.timerAt > b.now && r.timerAt <= at {
		return
	}
	r.timerAt = at
	b.do(SetTimer{At: at, Token: "r:" + r.id})
}

// ---- Discovery ----

// takeList applies news of the servers. A new boot time resets what is known of a server.
func (b *Balancer) takeList(e ServerList) {
	if e.Full {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	for _, n := range e.Servers {
		s := b.servers[n.ID]
		if s == nil {
			s = &server{failing: map[*class]fading{}}
			b.servers[n.ID] = s
		} else if s.Boot != n.Boot {
			*s = server{inFlight: s.inFlight, coming: s.coming, open: s.open, failing: map[*class]fading{}}
		}
		s.Server, s.in, s.listed = n, b.zoneOf(n.Zone), n.State != Removed
		b.rank(s)
	}
	if e.Full {
		for _, s := range b.servers {
			b.rank(s)
		}
	}
	b.forgetZones()
	b.usualSize = usualSize(b.ready)
	cut := int(math.Ceil(alpha * float64(len(b.ready))))
	b.allGroups, b.width = groups{b.ready[:cut], b.ready[cut:]}, 0
	b.window = cmp.Or(b.window, windowStart*b.serversPerNode())
	b.subFails = 0
	if e.Cached { // as at a start, before anything has failed
		b.pollAgain()
	}
	b.release()
}

// rank keeps a server's place in the shared order, by id, which all see alike. An idle unlisted one is forgotten.
func (b *Balancer) rank(s *server) {
	i, in := slices.BinarySearchFunc(b.ready, s.ID, func(o *server, id string) int { return cmp.Compare(o.ID, id) })
	if in {
		b.ready = slices.Delete(b.ready, i, i+1)
	}
	if s.listed && s.State == Ready {
		b.ready = slices.Insert(b.ready, i, s)
	} else if !s.listed && s.idle() {
		delete(b.servers, s.ID)
	}
}

// pollAgain plans a Subscribe where the list must be asked for. Jitter keeps copies that start, or lose their
// subscription, together from swamping discovery; the wait doubles with each failure, but all counts as told soon.
func (b *Balancer) pollAgain() {
	if !b.set.PollDiscovery {
		return
	}
	most := min(time.Second, b.set.PollInterval/4)
	wait := min(most, most/16<<min(b.subFails, 4))
	b.subWanted = b.now + time.Duration(b.rng.Float64()*float64(wait)) + 1
	b.do(SetTimer{At: b.subWanted, Token: "list"})
}

// ---- Requests ----

func (b *Balancer) accept(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	c := cmp.Or(b.classes[e.Class], b.classes[""]) // unknown: unsafe
	r := &request{id: e.ID, class: c, terms: terms{c.Effect, c.Scope, c.Window}, arrived: b.now,
		deadline: e.Deadline, retry: e.Retry, partial: e.Partial}
	b.requests[e.ID] = r
	b.backdate(r)
	for _, k := range b.order {
		k.arrive, k.serve = k.arrive*0.99, k.serve*0.99
	}
	for _, p := range e.PriorAttempts { // made by whoever had it in hand before
		a := &attempt{req: r, srv: b.servers[p.Server], sent: p.SentAt, zone: p.Zone, cell: p.Cell, ended: true}
		a.neverRan, r.attempts = p.NeverRan, append(r.attempts, a)
	}
	if c.arrive++; len(r.attempts) > 0 {
		b.further(r)
		return
	}
	b.place(r)
}

// backdate finds when the client first asked. Most tries of a class are given the same time, found by a vote; one
// that is given another has what its earlier tries left, or more where no try is to follow.
func (b *Balancer) backdate(r *request) {
	c, left := r.class, float64(r.deadline-b.now)
	switch {
	case b.set.Tier > 0:
	case math.Abs(left-c.usual) <= sameTry*c.usual:
		c.votes = min(c.votes+1, mostVotes)
	case c.votes == 0:
		c.usual, c.votes = left, 1
	default:
		c.votes--
		r.arrived = min(b.now, r.deadline-c.Deadline)
		r.retry = r.retry || b.now-r.arrived > c.LatencyObjective/2
	}
}

// place sends a request, or holds it while no server may take it.
func (b *Balancer) place(r *request) {
	if !b.full(r) {
		if b.poll(r) {
			return
		}
		if s := b.choose(r); s != nil {
			b.send(r, s)
			return
		}
	}
	b.delay(r)
}

func (b *Balancer) send(r *request, s *server) {
	a := &attempt{req: r, srv: s, n: len(r.attempts), in: s.in, sent: b.now, zone: s.Zone, cell: s.Cell}
	if b.muted(s) {
		s.in.probe = a
		b.do(CloseIdle{Server: s.ID}) // a connection from before the cut would take the request and say nothing
	}
	if a.n == 0 {
		b.shed -= memory / 4 * b.shed
	}
	last := b.lastBegin(r)
	r.attempts = append(r.attempts, a)
	r.out++
	b.sendDelayed(r)
	if s.coming++; !r.partial {
		b.begin(a)
	}
	left, c := b.useless(r)-b.now, r.class
	// A server that lets a request hang takes all its time: where that happens below the first tier, one that may run
	// again gives it half, if nearly all answers come within that.
	again := r.effect == Safe && a.n+1 < b.set.MaxAttempts && b.tokens >= 1
	if again && b.set.Tier > 0 && c.failing > hanging && left/2 > b.overlong(c) {
		left /= 2
	}
	b.do(Send{ID: r.id, Server: s.ID, Timeout: max(left, b.set.Tick), NotAfter: last})
}

// begin counts an attempt at its server. Before the last byte has come there it is no work, whoever sends it
// however slowly, and its silence tells nothing.
func (b *Balancer) begin(a *attempt) {
	a.begun, a.sent = true, b.now
	a.srv.coming--
	a.srv.inFlight++
	a.srv.open = append(a.srv.open, a)
	a.in.open = append(a.in.open, a)
	b.inFlight++
	b.busy += memory * (float64(b.inFlight) - b.busy)
}

// takeUploaded has a request's time run from now on, and its attempt be counted.
func (b *Balancer) takeUploaded(e Uploaded) {
	r := b.requests[e.ID]
	if r == nil || !r.partial || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	r.partial = false
	r.arrived += e.Deadline - r.deadline
	r.deadline = e.Deadline
	b.begin(r.attempts[e.Attempt])
}

// useless is when an answer stops being worth anything: work that goes on after it takes the room of
// answers in time. Below the first tier only the deadline is known.
func (b *Balancer) useless(r *request) time.Duration {
	if b.set.Tier > 0 || r.class.LateShare > 0 || r.retry {
		return r.deadline
	}
	return min(r.deadline, r.arrived+r.class.LatencyObjective-2*b.set.Tick)
}

// overlong is the wait for an answer that most of a class's answers stay well under.
func (b *Balancer) overlong(c *class) time.Duration {
	return time.Duration(c.mean + tailDeviation*c.dev)
}

// delay keeps a request back; its timer makes sure that it is answered.
func (b *Balancer) delay(r *request) {
	if b.now >= b.delayedUntil(r) {
		b.answer(r)
		return
	}
	if !r.held {
		r.held = true
		b.held = append(b.held, r)
	}
	b.wakeAt(r, b.delayedUntil(r))
}

func (b *Balancer) sendDelayed(r *request) {
	r.held = false
	b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
}

// delayedUntil is how long holding makes sense: until an answer may well miss the objective, for late answers take
// room. With no server at all a late answer is the best there can be, so then almost until the deadline.
func (b *Balancer) delayedUntil(r *request) time.Duration {
	last := r.deadline - 2*b.set.Tick
	if len(b.ready) == 0 {
		return last
	}
	objective := r.class.LatencyObjective
	hold := max(objective/4, objective-time.Duration(r.class.mean+2*r.class.dev))
	return min(last, r.arrived+hold)
}

// release sends held requests while there is room, the most valuable first.
func (b *Balancer) release() {
	for tries := len(b.held); tries > 0 && len(b.held) > 0; tries-- {
		best := b.held[0]
		for _, r := range b.held[1:] {
			if b.value(r) >= b.value(best) { // equal: the youngest has most time left
				best = r
			}
		}
		if b.full(best) {
			return
		}
		s := b.choose(best)
		if s == nil {
			return
		}
		b.send(best, s)
	}
}

func (b *Balancer) takeOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	a.ended = true
	a.neverRan = e.Result == Overloaded || e.Result == Unreachable || e.Result == NotStarted
	r.out--
	r.spent = r.spent || e.NotReplayable
	if e.Load != nil {
		b.learn(a.srv, e.Load.Busy, b.now)
	}
	tells := b.observe(a, e.Result)
	if a.begun {
		b.inFlight--
		a.srv.inFlight--
		// A hung server's waits tell nothing of how crowded the others are.
		if tells && !b.silent(a.srv) {
			b.steer(r, e)
		}
		a.srv.open = slices.DeleteFunc(a.srv.open, func(o *attempt) bool { return o == a })
	} else {
		a.srv.coming--
		// How long its client takes to send it is neither the server's doing nor the request's time.
		r.arrived, r.deadline = r.arrived+b.now-a.sent, r.deadline+b.now-a.sent
		a.sent = b.now
	}
	if tells && (a.begun || e.Result != Success) {
		b.judge(a, e)
	}
	if !a.srv.listed && a.srv.idle() && b.servers[a.srv.ID] == a.srv {
		delete(b.servers, a.srv.ID)
	}
	switch {
	case e.Ended:
		if e.Result == Success && !r.answered && b.now <= r.arrived+r.class.LatencyObjective {
			r.class.serve++
		}
		b.close(r)
	case !r.answered && r.out == 0:
		b.further(r)
	}
	b.forget(r)
	b.release()
}

// ---- The pick ----

// pick is the design's rule: one server drawn from each group, the fewer own requests win, equal counts above zero go
// left, and at zero the side is drawn by the groups' shares. Draws and shares go by weight, which is alike for all
// while nothing tells the servers apart. An empty group leaves the draw to the other.
func (b *Balancer) pick(left, right []*server) *server {
	l, leftWeight := b.draw(left)
	r, rightWeight := b.draw(right)
	switch {
	case r == nil || l != nil && l.inFlight < r.inFlight:
		return l
	case l == nil || r.inFlight < l.inFlight:
		return r
	case l.inFlight > 0 || b.rng.Float64()*(leftWeight+rightWeight) < leftWeight:
		return l
	}
	return r
}

// draw takes one server by weight and tells the weight of its group.
func (b *Balancer) draw(group []*server) (pick *server, total float64) {
	for _, s := range group {
		w := b.weight(s)
		total += w
		if b.rng.Float64()*total < w {
			pick = s
		}
	}
	return pick, total
}

// weight is what a server can carry against its peers: its listed size, corrected by how its latency stands to theirs
// and by what it says it holds. Uniform draws over unequal servers crowd the slow ones at loads that the fleet could
// carry; one node's samples are few, but the errors of many nodes cancel out.
func (b *Balancer) weight(s *server) float64 {
	w := b.carries(s)
	if s.part > 0 { // drawn from the pool
		w *= s.part
	}
	return w
}

// carries is a server's weight, wherever it is drawn from.
func (b *Balancer) carries(s *server) float64 {
	w := math.Exp(-max(s.slow, -1))
	if s.Size > 0 {
		w *= min(s.Size, 1e6) // an infinite weight would draw nobody
	}
	return w * b.capacity(s)
}

// choose draws from the pool and, where nobody there may be, from the whole groups; those that fail more come last.
func (b *Balancer) choose(r *request) *server {
	b.fitPool()
	if s := b.tryZone(r); s != nil {
		return s
	}
	first := b.pool
	if b.noServerAnswers() {
		first = b.allGroups
	}
	for step, g := range []groups{first, b.allGroups, b.allGroups} {
		s := b.chooseFrom(g, r, step > 0, step < 2)
		if s != nil && step == 0 && len(r.polled) == 0 && b.slowStartShare(s) < 1 {
			s = b.spreadCold(r)
		}
		if s != nil {
			return s
		}
	}
	return nil
}

// ---- Eligibility ----

// idle says that no own request is at a server, or on its way there.
func (s *server) idle() bool { return s.inFlight+s.coming == 0 }

// chooseFrom picks among those servers that a request may go to: in its scope, not tried by it, fit, warm enough and,
// as long as that leaves any, with room and not crowded with own requests: uniform draws now and then meet the same few
// servers twice, and a crowd of several nodes' requests there chokes it. Only where anySlowStarting is set may all of
// them be cold, and may a first attempt go to an idle server in slow start whatever the thinning: a pool may be cold as
// a whole, and would take a warm one's requests, while the rest is warm.
func (b *Balancer) chooseFrom(g groups, r *request, anySlowStarting, shun bool) *server {
	b.ruleOut(g, r, shun)
	for step, limit := range []int{1 + b.inFlight/max(1, b.width), math.MaxInt, math.MaxInt} {
		left, idleLeft := b.narrow(g.left, r, limit, step < 2)
		right, idleRight := b.narrow(g.right, r, limit, step < 2)
		isWarm := func(s *server) bool { return b.slowStartShare(s) == 1 }
		if anySlowStarting && len(left)+len(right) > 0 || slices.ContainsFunc(append(left, right...), isWarm) {
			return b.pick(left, right)
		}
		if anySlowStarting && len(idleLeft)+len(idleRight) > 0 {
			return b.pick(idleLeft, idleRight)
		}
	}
	return nil
}

// mostSick is how many servers health may keep out: fewer the more is shed, for in overload every server is
// missed, and time-outs show load rather than ill health.
func (b *Balancer) mostSick() int { return int(mostOut * (1 - b.shed) * float64(len(b.ready))) }

// ruleOut marks the servers that health keeps out. When many look bad to one node, the fault is likelier its own or the
// tier below's, and those left would take all the load: only the worst are kept out, up to a set share of the list.
func (b *Balancer) ruleOut(g groups, r *request, shun bool) {
	var sick []*server
	asked := len(r.polled) > 0 && r.polling == 0 && len(r.attempts) == 0 // and have said what they hold
	for _, s := range slices.Concat(g.left, g.right) {
		s.out = shun && (b.muted(s) || b.shuns(s, r.class) || asked && !slices.Contains(r.polled, s))
		if !s.out && b.unfit(s, r) {
			s.out = true
			sick = append(sick, s)
		}
	}
	if most := b.mostSick(); len(sick) > most {
		slices.SortStableFunc(sick, func(a, o *server) int { return cmp.Compare(o.streak, a.streak) })
		for _, s := range sick[most:] {
			s.out = false
		}
	}
}

// narrow lists the servers of a group that pass, and those in slow start that would but for the thinning. Sparing, it
// passes over one that refused one more request than it has now lately: its queue or its connections, which other
// copies hold idle, are full, and instant rejections drain its count. It is not ill: the cap on those does not apply.
func (b *Balancer) narrow(group []*server, r *request, limit int, sparing bool) (warm, idle []*server) {
	for _, s := range group {
		switch {
		case s.out || s.inFlight >= limit || sparing && b.now < s.full && s.inFlight >= s.capacity:
		case !b.inScope(r, s) || tried(r, s):
		case b.mayTakeUpload(s):
			warm = append(warm, s)
		case s.idle() && len(r.attempts) == 0:
			idle = append(idle, s)
		}
	}
	return warm, idle
}

// tried says that the request has been to the server before.
func tried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.srv == s })
}

// inScope keeps a keyed request that may have run to the servers that discard its repeats.
func (b *Balancer) inScope(r *request, s *server) bool {
	return r.effect != Keyed || !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		inCell := a.cell == s.Cell || r.scope == ScopeZone
		return !a.neverRan && r.scope != ScopeAll && (a.zone != s.Zone || !inCell)
	})
}

// ---- Health ----

// unfit says that a server should not be drawn now for its health.
func (b *Balancer) unfit(s *server, r *request) bool {
	if b.now < s.until || b.silent(s) {
		return true
	}
	// After an ejection one safe trial at a time decides: a bad server must not eat what can't be repeated, nor many.
	return s.level > 0 && s.goods == 0 && (r.effect == Unsafe || !s.idle())
}

// shuns says, by a draw, that a server should not get a class now, by its share of good endings against all
// servers'. One that fails at once, in part or one class only, drains its count and wins, and what it serves
// ends each run of bad endings; one that lets most time out holds its part of the window. Where all fail
// alike none is shunned: no cap is needed. It hurts where a few unlucky endings are all that is known.
func (b *Balancer) shuns(s *server, c *class) bool {
	good := 1.0
	for _, k := range []*class{c, b.classes[""]} { // that one stands for all together
		good = min(good, (1-b.failing(s, k, c))/(1-k.failing))
	}
	return good < failMargin && b.rng.Float64() >= math.Pow(good/failMargin, failWeight)
}

// failing is what is left of a server's share of failures in k, by the time that answers of c take.
func (b *Balancer) failing(s *server, k, c *class) float64 {
	f := s.failing[k]
	return f.share * math.Exp(-float64(b.now-f.at)/(failFade*c.mean))
}

// silent says that an old request to the server is unanswered while a younger one was answered
// elsewhere: a machine gone quiet, hung or pausing shows nothing else until time-outs end.
func (b *Balancer) silent(s *server) bool {
	if len(s.open) == 0 {
		return false
	}
	a := s.open[0]
	wait := b.overlong(a.req.class) * 3 / 2
	return b.now-a.sent > wait && b.lastOK > a.sent+wait/2 && s.lastOK < a.sent+wait/2
}

// judge learns from an ending: the class's latency, the server's health relative to its peers.
func (b *Balancer) judge(a *attempt, e Outcome) {
	s, c := a.srv, a.req.class
	took := max(1, float64(b.now-a.sent)) // a coarse clock may show none, and its logarithm no server
	late, bad := took > c.mean+tailDeviation*c.dev, false
	if now, tells := map[Result]float64{Success: 0, Failure: 1, TimedOut: 1}[e.Result]; tells {
		for _, k := range []*class{c, b.classes[""]} {
			share := b.failing(s, k, c)
			s.failing[k] = fading{share + failMemory*(now-share), b.now}
			k.failing += memory * (now - k.failing)
		}
	}
	switch e.Result {
	case Success:
		b.tokens = min(retryBudget, b.tokens+retryEarn)
		b.lastOK, s.lastOK = b.now, b.now
		// The first samples replace the guess, or who answers first would look fast against it.
		c.samples++
		share := max(memory, 1/float64(c.samples))
		c.dev += share * (math.Abs(took-c.mean) - c.dev)
		c.mean += share * (took - c.mean)
		c.base += baseRise * (c.mean - c.base)
		c.base += min(0, baseFall*(c.mean-c.base))
		if c.samples < 8 {
			c.base, late = c.mean, false
		}
		bad, s.rejections = late, 0
	case Overloaded, Unreachable:
		s.capacity = s.inFlight
		s.full = b.now + time.Duration((0.5+b.rng.Float64())*ejection*c.mean)<<s.rejections
		s.rejections = min(s.rejections+1, maxLevel)
		return
	case Failure, ConnectionLost, TimedOut:
		bad = true
	case Cancelled:
		if bad = late; !late {
			return
		}
	default:
		return
	}
	if late || e.Result == Success {
		s.samples++
		s.slow += max(ownMemory, 1/float64(s.samples+1)) * (math.Log(took/c.mean) - s.slow)
	}
	if !bad {
		s.streak = 0
		if s.goods++; s.goods >= minSamples && s.level > 0 {
			s.level, s.goods = s.level-1, 1
		}
		b.errors = max(0.01, b.errors-memory*b.errors)
		return
	}
	s.streak, s.goods = s.streak+1, 0
	// Trouble that strikes everywhere comes from the tier below or from the load; ejecting on it would
	// leave nobody. A run counts only if the peers' share of bad endings makes it unlikely.
	if math.Pow(b.errors, float64(s.streak)) < chance && b.now >= s.until {
		s.until = b.now + time.Duration(ejection*c.mean)<<s.level // doubles while its trials fail
		s.level = min(s.level+1, maxLevel)
	}
	b.errors += memory * (1 - b.errors)
}

// ---- Further attempts ----

// maySendAgain says that the class's effect and the limits allow one more attempt now.
func (b *Balancer) maySendAgain(r *request) bool {
	over := r.answered || r.streaming || r.spent || len(r.attempts) >= max(1, b.set.MaxAttempts)
	return !over && b.now < b.lastBegin(r)
}

// lastBegin is until when one more attempt may begin: never once an unsafe one may have run, and behind a keyed one as
// long as its servers still discard repeats.
func (b *Balancer) lastBegin(r *request) time.Duration {
	first := slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
	switch {
	case first < 0 || r.effect == Safe:
		return math.MaxInt64
	case r.effect == Unsafe:
		return 0
	}
	return r.attempts[first].sent + r.window - 2*b.set.Tick
}

// further decides what follows when no attempt is left out: another within the budget and with
// time for an answer, or the final answer. Without the budget, retries of every tier multiply.
func (b *Balancer) further(r *request) {
	left, cost := float64(b.useless(r)-b.now), 1.0
	if r.attempts[len(r.attempts)-1].neverRan {
		cost = neverRanCost
	}
	if b.maySendAgain(r) && b.tokens >= cost && left >= r.class.mean/2 {
		if s := b.choose(r); s != nil {
			b.tokens -= cost
			b.send(r, s)
			return
		}
	}
	b.answer(r)
}

// ---- Admission ----

// full says that the node has as many requests out as the tiers below answer in good time. Only the
// first tier holds back: a request refused further down wastes what was done above it. A client's repeat,
// whose objective is mostly over, must leave half of the room to first attempts, or repeats feed a jam.
func (b *Balancer) full(r *request) bool {
	requests := float64(b.inFlight)
	if r.retry {
		requests *= 2
	}
	return len(b.ready) == 0 || b.set.Tier == 0 && requests >= b.window*b.windowShare(r)
}

// windowShare is the part of the window that a request may fill, by its value against the others': the more is shed,
// the more room is kept for what is of most priority weight, for at a node of few requests seldom two wait at once.
// None starves: no class loses more than half of the window.
func (b *Balancer) windowShare(r *request) float64 {
	var sum, n float64
	for _, c := range b.order {
		sum += c.arrive * b.value(&request{class: c})
		n += c.arrive
	}
	return min(2, max(0.5, 1+b.shed*(b.value(r)*n/max(sum, 1e-9)-1)))
}

// serversPerNode is how many servers there are for each copy of this tier.
func (b *Balancer) serversPerNode() float64 {
	return float64(len(b.ready)) / float64(max(1, b.set.Balancers))
}

// target is the latency that admission steers to, a little under half way in ratio between a class's latency when there
// is room and its objective: work that fills much of the objective by itself is no crowd, and work that fills little
// waits in queues that choke servers well before its objective is near. The more is shed, the leaner, but an empty
// server always meets it, or the shedding would keep itself up.
func (c *class) target(shed float64) float64 {
	lean := (1 - leanness*shed) * targetShare * math.Sqrt(c.base*float64(c.LatencyObjective))
	return min(float64(c.LatencyObjective), max(targetLeast*c.base, lean))
}

// steer moves the window so that latencies stay at their target: crowded servers choke and stay slow, so the crowd must
// wait or be refused here. It grows up to a multiple of the requests out: growing only while nearly full, it would sink
// by chance at a node whose few requests seldom fill it. Each node's window swings, the more the faster it moves; where
// many admit, their swings cancel out by the root of their number, and so they may move faster by that.
func (b *Balancer) steer(r *request, e Outcome) {
	over := float64(b.now-r.attempts[e.Attempt].sent) / r.class.target(b.shed)
	// An error that took as long as a slow answer is mostly a time-out of the tier below.
	tells := e.Result == Success || e.Result == TimedOut || e.Result == Overloaded ||
		e.Result == Unreachable || e.Result == Failure && over > 1
	if b.set.Tier > 0 || !tells {
		return
	}
	if e.Result != Success {
		over = max(over, 2)
	}
	// A small window moves by up to one request a round of answers, or a node of many would take a day to open it.
	gain := min(1, windowGain*math.Sqrt(float64(b.set.Balancers)))
	step := max(gain, 1/b.window) * (1 - min(over, 2))
	if step < 0 || b.window < windowSlack*(b.busy+1) {
		b.window += step
	}
	b.window = max(b.window, 1, windowFloor*b.serversPerNode())
}

// value is what an answer in a class adds to the result for the time it takes, so that shedding
// hits what is of least priority weight; the class served worst counts extra, so none starves.
func (b *Balancer) value(r *request) float64 {
	c := r.class
	var total float64
	worst := c
	for _, k := range b.order {
		total += k.PriorityWeight * k.arrive
		if k.arrive > 1 && k.serve*worst.arrive < worst.serve*k.arrive {
			worst = k
		}
	}
	v := b.set.TotalWeight * c.PriorityWeight / max(total, 1e-9)
	if worst == c {
		v += b.set.ClassWeight / max(c.arrive, 1e-9)
	}
	if r.retry { // its objective runs from the client's first attempt and is mostly over
		v *= c.LateShare
	}
	return v / c.mean
}

// ---- Answers ----

// answer gives the final answer: a refusal where the rules let it promise that a retry is
// harmless, else a failure. With an attempt still out it waits for that.
func (b *Balancer) answer(r *request) {
	if r.answered || r.streaming {
		return
	}
	harmless := !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return !a.neverRan && (r.effect == Unsafe || r.effect == Keyed && r.scope != ScopeAll)
	})
	if len(r.attempts) == 0 {
		b.shed += memory / 4 * (1 - b.shed)
	}
	if harmless {
		// A client sent away for long comes back when its objective is mostly over, and its late answer
		// takes the room of one in time; the window, not the clients' absence, holds the load off.
		b.do(Reject{ID: r.id, RetryAfter: min(b.set.MaxRetryAfter, b.set.Tick)})
	} else {
		b.do(Fail{ID: r.id})
	}
	b.close(r)
}

// close ends a request and requests off what is still out for it.
func (b *Balancer) close(r *request) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	b.sendDelayed(r)
	for _, a := range r.attempts {
		if !a.ended && b.set.MayCancel {
			b.do(Cancel{ID: r.id, Attempt: a.n})
		}
	}
	b.forget(r)
}

// forget drops a request once nothing of it is left.
func (b *Balancer) forget(r *request) {
	if r.answered && r.out == 0 {
		delete(b.requests, r.id)
	}
}
