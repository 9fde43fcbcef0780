// Package replication keeps work in hand alive past the gateway that had it: another takes it over, once.
//
// A request replicated is recorded at a few gateways of the owner's own group, its replicas, and whoever has it in hand goes by
// ballots, as in Paxos (Lamport 2001) and Viewstamped Replication's views (Liskov, Cowling 2012). The owner's ballot is the
// first one, and holds only at replicas that took its record; every later one was promised by a majority. Before an attempt its intent, and before the answer the outcome, must have been taken by a majority of the
// replicas. a successor claims the request with a higher ballot at a majority, and learns there every intent and outcome that any
// majority has taken before, for two majorities meet.
//
// What it promises:
//
//   - No attempt begins by a ballot once a majority has promised a higher one: whoever was claimed from, however long it was
//     stopped or cut off, begins nothing. No clock and no verdict on who is dead is part of this. (An intent is asked for
//     again where it is older than Options.Fresh when the first byte is to be written. What is left is a stop that is shorter
//     or falls between that look and the write, against which only the server could help.)
//   - At most one outcome is ever told, to the client and to all who ask, at any gateway: it is told once a majority has taken
//     it, and a successor that finds one taken goes on with it.
//   - a successor sends a request again only where that is harmless: none of its intents may have run, or its effect is safe, or it
//     is keyed, and then only to the group that drops repeats and while that remembers, which the decision module sees to.
//     What is unsafe and may have run ends as failed.
//   - A gateway that was started anew is no replica in what its earlier incarnation had taken.
//   - Memory is bounded (Options.Memory): past it new requests are not taken into replication, and what that means the class says
//     (when_alone). An answer is kept for Options.Keep after it was settled, or until room is needed.
//
// The rules are this file's plain functions; docs/design/custody.md has them as tables, and a test plays each row.
package replication

import (
	"cmp"
	"slices"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/splitmix"
)

// Gateway is an incarnation of a gateway.
type Gateway struct {
	Name        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint"` // 0: not known here, for there is no link to it
}

// Key is what a request is asked for by: its class, and its idempotency key or, without one, the id that its client gave it.
type Key struct {
	Class string `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"`
}

// Ballot orders those who may have a request in hand. The zero Ballot is below all.
type Ballot struct {
	Number      uint32 `cbor:"1,keyasint"`
	Owner       string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Call        uint64 `cbor:"4,keyasint"` // of those that it had in hand in that incarnation: two requests of one key are two ballots
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Owner, o.Owner), cmp.Compare(b.Incarnation, o.Incarnation), cmp.Compare(b.Call, o.Call))
}

// Record is what is kept of a request, so that another can go on with it.
type Record struct {
	Key            Key                 `cbor:"1,keyasint"`
	Gen            uint32              `cbor:"2,keyasint"` // of requests under one key, of which those before were refused
	ID             string              `cbor:"3,keyasint"`
	Method         string              `cbor:"4,keyasint"`
	Target         string              `cbor:"5,keyasint"`
	IdempotencyKey string              `cbor:"6,keyasint,omitempty"` // idempotency key
	Type           string              `cbor:"7,keyasint,omitempty"`
	Body           []byte              `cbor:"8,keyasint,omitempty"`
	Left           time.Duration       `cbor:"9,keyasint"` // until its client's deadline, when this was sent
	Owner          Gateway             `cbor:"10,keyasint"`
	Replicas       []Gateway           `cbor:"11,keyasint"`
	Tenant         string              `cbor:"12,keyasint,omitempty"`
	Draws          []string            `cbor:"13,keyasint,omitempty"` // quotas that were drawn from for it
	Path           []string            `cbor:"14,keyasint,omitempty"` // partners that it came through, the first one first
	Route          Route               `cbor:"16,keyasint"`
	Headers        map[string][]string `cbor:"18,keyasint,omitempty"` // that routes look at
	Offer          [2]string           `cbor:"19,keyasint"`           // origin and name of the offer that a partner sent it by
}

// Route is what routes look at beside headers.
type Route struct {
	Listener string `cbor:"1,keyasint"`
	Host     string `cbor:"2,keyasint,omitempty"`
	Path     string `cbor:"3,keyasint"`
	Draw     string `cbor:"4,keyasint"`
}

// Intent is an attempt that was allowed to begin.
type Intent struct {
	By     Ballot        `cbor:"1,keyasint"`
	N      int           `cbor:"2,keyasint"` // of the request's attempts over all who had it in hand, from 0
	Pool   string        `cbor:"3,keyasint"`
	Server string        `cbor:"4,keyasint"`
	Zone   string        `cbor:"5,keyasint,omitempty"`
	Cell   int           `cbor:"6,keyasint,omitempty"`
	Age    time.Duration `cbor:"7,keyasint"`           // since it was allowed, when this was sent
	NotRun bool          `cbor:"8,keyasint,omitempty"` // it has ended, and is known not to have run
	ID     string        `cbor:"9,keyasint"`           // of the record that it was for
}

// Kind says what an outcome is.
type Kind uint8

// Kinds of outcomes.
const (
	Served   Kind = iota + 1
	Rejected      // trying again is harmless
	Failed        // promises nothing
)

// Outcome is the one final answer.
type Outcome struct {
	Kind   Kind          `cbor:"1,keyasint"`
	Body   []byte        `cbor:"2,keyasint,omitempty"`
	Type   string        `cbor:"3,keyasint,omitempty"`
	Long   bool          `cbor:"4,keyasint,omitempty"` // it was too long to be kept: only who heard it first has it
	Retry  time.Duration `cbor:"5,keyasint,omitempty"` // of Refused: when to come back
	Why    string        `cbor:"6,keyasint,omitempty"` // of Refused by a rule: which one
	NotRun bool          `cbor:"7,keyasint,omitempty"` // of Refused: no attempt of it may have run

	Live interface{ Discard() } `cbor:"-"` // the answer as it came, for whoever had it run
}

// Entry is what a replica has taken of a request.
type Entry struct {
	Record    Record   `cbor:"1,keyasint"`
	Promised  Ballot   `cbor:"2,keyasint"` // nothing of a lower one is taken
	Intents   []Intent `cbor:"3,keyasint,omitempty"`
	Outcome   *Outcome `cbor:"4,keyasint,omitempty"` // that was taken last, and
	At        Ballot   `cbor:"5,keyasint"`           // by which ballot
	Decided   bool     `cbor:"6,keyasint,omitempty"` // a majority has taken it
	Recovered bool     `cbor:"7,keyasint,omitempty"` // an earlier incarnation of the replica may have taken it: this one knows of it, and is no replica
}

// Verdict is a replica's word.
type Verdict uint8

// Verdicts.
const (
	Yes              Verdict = iota + 1
	Higher                   // a higher ballot was promised
	Duplicate                // another request has this key, or the request's outcome is decided
	OwnerAlive               // whoever has the request in hand is heard here
	Unknown                  // this replica has taken no such request
	Full                     // there is no room
	OtherIncarnation         // the replica is not of this incarnation: it may have forgotten what it had taken
)

var verdicts = [...]string{"", "yes", "higher", "known", "heard", "unknown", "full", "another life"}

func (v Verdict) String() string { return verdicts[min(int(v), len(verdicts)-1)] }

// MayRecord says whether a replica that has e of this key (nil: nothing) takes a record by its owner's ballot.
func MayRecord(e *Entry, r *Record, b Ballot) Verdict {
	switch {
	case e == nil:
		return Yes
	case r.Gen > e.Record.Gen && e.Outcome != nil && e.Outcome.Kind == Rejected:
		return Yes // what was refused may be asked for anew
	case r.Gen != e.Record.Gen || r.Owner != e.Record.Owner || r.ID != e.Record.ID:
		return Duplicate
	case b.Compare(e.Promised) < 0:
		return Higher
	}
	return Yes
}

// ballotVerdict says whether a replica goes by a ballot now.
func ballotVerdict(e *Entry, b Ballot) Verdict {
	switch {
	case b.Compare(e.Promised) < 0:
		return Higher
	case b.Number == 1 && b != e.Promised:
		return Duplicate // another owner's: a first ballot was promised by nobody who did not take its record
	}
	return Yes
}

// MayIntend says whether a replica takes an intent.
func MayIntend(e *Entry, b Ballot) Verdict {
	switch {
	case e == nil:
		return Unknown
	case e.Decided:
		return Duplicate
	}
	return ballotVerdict(e, b)
}

// MaySettle says whether a replica takes an outcome. One that is decided stays.
func MaySettle(e *Entry, b Ballot) Verdict {
	switch {
	case e == nil:
		return Unknown
	case e.Decided && b != e.At:
		return Duplicate
	}
	return ballotVerdict(e, b)
}

// MayClaim says whether a replica promises a ballot. heard: whoever has the request in hand now has a link to this replica, and
// has not given the request out of hand.
func MayClaim(e *Entry, b Ballot, heard bool) Verdict {
	switch {
	case e == nil:
		return Yes // it surely has taken nothing of this request
	case e.Decided:
		return Duplicate
	case b.Compare(e.Promised) <= 0:
		return Higher
	case heard:
		return OwnerAlive
	}
	return Yes
}

// MayWithdraw says whether a replica releases a request whose owner, by its first ballot, says that nothing of it was begun. An intent
// that was taken comes before that word, for both go over one link.
func MayWithdraw(e *Entry, b Ballot) bool {
	return e != nil && b.Number == 1 && e.Promised == b && len(e.Intents) == 0 && e.Outcome == nil && !e.Recovered
}

// TakeIntent notes an intent that MayIntend allows. One that is asked for again takes its own place.
func (e *Entry) TakeIntent(in Intent) {
	e.Promised = in.By
	i := slices.IndexFunc(e.Intents, func(o Intent) bool { return o.By == in.By && o.N == in.N })
	if i < 0 {
		e.Intents = append(e.Intents, in)
	} else {
		e.Intents[i] = in
	}
}

// TakeOutcome notes an outcome that MaySettle allows.
func (e *Entry) TakeOutcome(o Outcome, b Ballot) { e.Promised, e.At, e.Outcome = b, b, &o }

// Merge is what a successor has to go by, from the entries of a majority: every intent that any of them has taken, the outcome of
// the highest ballot, if there is one, and the record. An attempt that one of them knows not to have run has not. Where two
// gateways were given one key at once, replicas may hold two records: the one that an intent was for is the request's.
func Merge(entries []Entry) (r Record, intents []Intent, outcome *Outcome) {
	var at Ballot
	for _, e := range entries {
		for _, in := range e.Intents {
			i := slices.IndexFunc(intents, func(o Intent) bool { return o.By == in.By && o.N == in.N })
			if i < 0 {
				intents = append(intents, in)
				continue
			}
			intents[i].NotRun = intents[i].NotRun || in.NotRun
			intents[i].Age = max(intents[i].Age, in.Age)
		}
		if e.Outcome != nil && (outcome == nil || e.At.Compare(at) > 0) {
			outcome, at = e.Outcome, e.At
		}
	}
	slices.SortFunc(intents, func(a, b Intent) int { return cmp.Or(a.By.Compare(b.By), cmp.Compare(a.N, b.N)) })
	of := ""
	if len(intents) > 0 {
		of = intents[len(intents)-1].ID
	}
	for i, e := range entries {
		take := i == 0 || e.Record.Gen > r.Gen || e.Record.Gen == r.Gen && r.ID != of && (e.Record.ID == of || e.Record.ID < r.ID)
		left := r.Left
		if take {
			r = e.Record
		}
		if i > 0 && e.Record.Gen == r.Gen {
			r.Left = max(left, e.Record.Left) // whoever heard of it soonest knows best
		}
	}
	return r, intents, outcome
}

// Step is what a successor does with a request.
type Step uint8

// Steps.
const (
	Send  Step = iota + 1 // as the owner would have
	Again                 // it may have run: only where the class's effect makes that harmless
	Ask                   // it may run at a partner, which is asked what became of it and begins nothing for that
	GiveUp
)

var steps = [...]string{"", "send", "send again", "ask the partner", "fail"}

func (s Step) String() string { return steps[min(int(s), len(steps)-1)] }

// Next is what whoever takes a request over does first. partner says whether a pool is a partner's.
func Next(effect balancer.Effect, intents []Intent, left time.Duration, partner func(pool string) bool) Step {
	may := slices.DeleteFunc(slices.Clone(intents), func(in Intent) bool { return in.NotRun })
	switch {
	case left <= 0:
		return GiveUp
	case len(may) == 0:
		return Send
	case effect != balancer.Unsafe:
		return Again
	case partner(may[len(may)-1].Pool):
		return Ask
	}
	return GiveUp
}

// Majority is how many of n replicas are needed.
func Majority(n int) int { return n/2 + 1 }

// ChooseReplicas are who holds the requests of a key: the first of the group by a hash of key and name, of as many zones as there are,
// and an odd number of them, the owner perhaps among them. Whoever sees the same group sees the same replicas. In a group of
// two the other one votes alone; alone nobody does.
func ChooseReplicas(k Key, own string, group []Gateway, replicas int) []Gateway {
	switch len(group) {
	case 0, 1:
		return nil
	case 2:
		return slices.DeleteFunc(slices.Clone(group), func(g Gateway) bool { return g.Name == own })
	}
	replicas = min(replicas, len(group))
	if replicas%2 == 0 {
		replicas--
	}
	order := slices.Clone(group)
	slices.SortFunc(order, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(splitmix.Of(k.Class, k.ID, b.Name), splitmix.Of(k.Class, k.ID, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	var out []Gateway
	zones := map[string]int{}
	for most := 1; len(out) < replicas; most++ { // one of each zone first, then two
		for _, g := range order {
			if len(out) < replicas && zones[g.Zone] < most && !slices.ContainsFunc(out, func(o Gateway) bool { return o.Name == g.Name }) {
				zones[g.Zone]++
				out = append(out, g)
			}
		}
	}
	return out
}

// Suspect is how long whoever has a request in hand may be silent, by the heartbeat that it answered last, until a replica takes it
// for lost although its link stands. A link ends after silence; a request whose time is over soon, and that a successor could still
// have served, is not made to wait for that, but for two heartbeats and the way there and back at least: a third of its time
// goes to the doubt, the rest is for the claim and the attempt. a suspicion that was wrong costs the owner the request, and a request
// that is safe an attempt, so what a successor could only fail waits for the link.
func Suspect(beat, rtt, silence, left time.Duration, servable bool) time.Duration {
	if !servable {
		return silence
	}
	return min(silence, max(2*beat+4*rtt, left/3))
}

// Servable says that a successor could still have a request served.
func Servable(s Step) bool { return s == Send || s == Again }

// ClaimDelay is how long a replica waits, from when it lost whoever has a request in hand, until it claims the request: those first
// that come first among the replicas, so that they do not claim against one another.
func ClaimDelay(replicas []Gateway, lost, self string) time.Duration {
	rank := 0
	for _, v := range replicas {
		if v.Name == self {
			break
		}
		if v.Name != lost {
			rank++
		}
	}
	return claimAfter + time.Duration(rank)*claimStep
}

// ClaimRetryDelay is how long a replica waits after a claim that others refused, who heard what it did not: heartbeats come to each
// of them at another time, and a request whose time is short has none to lose.
func ClaimRetryDelay(left time.Duration) time.Duration {
	return min(claimRetryDelay, max(claimAfter, left/8))
}

// Times of a claim. A link that broke may come back at once.
const (
	claimAfter = 60 * time.Millisecond
	claimStep  = 150 * time.Millisecond
)
