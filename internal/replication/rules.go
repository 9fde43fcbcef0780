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
	Sequence    uint64 `cbor:"4,keyasint"` // of those that it had in hand in that incarnation: two requests of one key are two ballots
}

// Compare orders ballots.
func (ballot Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(ballot.Number, o.Number), cmp.Compare(ballot.Owner, o.Owner), cmp.Compare(ballot.Incarnation, o.Incarnation), cmp.Compare(ballot.Sequence, o.Sequence))
}

// Record is what is kept of a request, so that another can go on with it.
type Record struct {
	Key            Key                 `cbor:"1,keyasint"`
	Generation     uint32              `cbor:"2,keyasint"` // of requests under one key, of which those before were refused
	ID             string              `cbor:"3,keyasint"`
	Method         string              `cbor:"4,keyasint"`
	Target         string              `cbor:"5,keyasint"`
	IdempotencyKey string              `cbor:"6,keyasint,omitempty"` // idempotency key
	ContentType    string              `cbor:"7,keyasint,omitempty"`
	Body           []byte              `cbor:"8,keyasint,omitempty"`
	TimeLeft       time.Duration       `cbor:"9,keyasint"` // until its client's deadline, when this was sent
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
	Ballot  Ballot        `cbor:"1,keyasint"`
	Attempt int           `cbor:"2,keyasint"` // of the request's attempts over all who had it in hand, from 0
	Pool    string        `cbor:"3,keyasint"`
	Server  string        `cbor:"4,keyasint"`
	Zone    string        `cbor:"5,keyasint,omitempty"`
	Cell    int           `cbor:"6,keyasint,omitempty"`
	Age     time.Duration `cbor:"7,keyasint"`           // since it was allowed, when this was sent
	NotRun  bool          `cbor:"8,keyasint,omitempty"` // it has ended, and is known not to have run
	ID      string        `cbor:"9,keyasint"`           // of the record that it was for
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
	Kind        Kind          `cbor:"1,keyasint"`
	Body        []byte        `cbor:"2,keyasint,omitempty"`
	ContentType string        `cbor:"3,keyasint,omitempty"`
	TooLong     bool          `cbor:"4,keyasint,omitempty"` // it was too long to be kept: only who heard it first has it
	RetryAfter  time.Duration `cbor:"5,keyasint,omitempty"` // of Refused: when to come back
	Reason      string        `cbor:"6,keyasint,omitempty"` // of Refused by a rule: which one
	NotRun      bool          `cbor:"7,keyasint,omitempty"` // of Refused: no attempt of it may have run

	Live interface{ Discard() } `cbor:"-"` // the answer as it came, for whoever had it run
}

// Entry is what a replica has taken of a request.
type Entry struct {
	Record     Record   `cbor:"1,keyasint"`
	Promised   Ballot   `cbor:"2,keyasint"` // nothing of a lower one is taken
	Intents    []Intent `cbor:"3,keyasint,omitempty"`
	Outcome    *Outcome `cbor:"4,keyasint,omitempty"` // that was taken last, and
	AcceptedBy Ballot   `cbor:"5,keyasint"`           // by which ballot
	Decided    bool     `cbor:"6,keyasint,omitempty"` // a majority has taken it
	Recovered  bool     `cbor:"7,keyasint,omitempty"` // an earlier incarnation of the replica may have taken it: this one knows of it, and is no replica
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

func (verdict Verdict) String() string { return verdicts[min(int(verdict), len(verdicts)-1)] }

// MayRecord says whether a replica that has e of this key (nil: nothing) takes a record by its owner's ballot.
func MayRecord(entry *Entry, record *Record, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return Yes
	case record.Generation > entry.Record.Generation && entry.Outcome != nil && entry.Outcome.Kind == Rejected:
		return Yes // what was refused may be asked for anew
	case record.Generation != entry.Record.Generation || record.Owner != entry.Record.Owner || record.ID != entry.Record.ID:
		return Duplicate
	case ballot.Compare(entry.Promised) < 0:
		return Higher
	}
	return Yes
}

// ballotVerdict says whether a replica goes by a ballot now.
func ballotVerdict(entry *Entry, ballot Ballot) Verdict {
	switch {
	case ballot.Compare(entry.Promised) < 0:
		return Higher
	case ballot.Number == 1 && ballot != entry.Promised:
		return Duplicate // another owner's: a first ballot was promised by nobody who did not take its record
	}
	return Yes
}

// MayIntend says whether a replica takes an intent.
func MayIntend(entry *Entry, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return Unknown
	case entry.Decided:
		return Duplicate
	}
	return ballotVerdict(entry, ballot)
}

// MaySettle says whether a replica takes an outcome. One that is decided stays.
func MaySettle(entry *Entry, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return Unknown
	case entry.Decided && ballot != entry.AcceptedBy:
		return Duplicate
	}
	return ballotVerdict(entry, ballot)
}

// MayClaim says whether a replica promises a ballot. heard: whoever has the request in hand now has a link to this replica, and
// has not given the request out of hand.
func MayClaim(entry *Entry, ballot Ballot, heard bool) Verdict {
	switch {
	case entry == nil:
		return Yes // it surely has taken nothing of this request
	case entry.Decided:
		return Duplicate
	case ballot.Compare(entry.Promised) <= 0:
		return Higher
	case heard:
		return OwnerAlive
	}
	return Yes
}

// MayWithdraw says whether a replica releases a request whose owner, by its first ballot, says that nothing of it was begun. An intent
// that was taken comes before that word, for both go over one link.
func MayWithdraw(entry *Entry, ballot Ballot) bool {
	return entry != nil && ballot.Number == 1 && entry.Promised == ballot && len(entry.Intents) == 0 && entry.Outcome == nil && !entry.Recovered
}

// TakeIntent notes an intent that MayIntend allows. One that is asked for again takes its own place.
func (entry *Entry) TakeIntent(intent Intent) {
	entry.Promised = intent.Ballot
	i := slices.IndexFunc(entry.Intents, func(o Intent) bool { return o.Ballot == intent.Ballot && o.Attempt == intent.Attempt })
	if i < 0 {
		entry.Intents = append(entry.Intents, intent)
	} else {
		entry.Intents[i] = intent
	}
}

// TakeOutcome notes an outcome that MaySettle allows.
func (entry *Entry) TakeOutcome(outcome Outcome, ballot Ballot) {
	entry.Promised, entry.AcceptedBy, entry.Outcome = ballot, ballot, &outcome
}

// Merge is what a successor has to go by, from the entries of a majority: every intent that any of them has taken, the outcome of
// the highest ballot, if there is one, and the record. An attempt that one of them knows not to have run has not. Where two
// gateways were given one key at once, replicas may hold two records: the one that an intent was for is the request's.
func Merge(entries []Entry) (record Record, intents []Intent, outcome *Outcome) {
	var accepted Ballot
	for _, entry := range entries {
		for _, intent := range entry.Intents {
			i := slices.IndexFunc(intents, func(o Intent) bool { return o.Ballot == intent.Ballot && o.Attempt == intent.Attempt })
			if i < 0 {
				intents = append(intents, intent)
				continue
			}
			intents[i].NotRun = intents[i].NotRun || intent.NotRun
			intents[i].Age = max(intents[i].Age, intent.Age)
		}
		if entry.Outcome != nil && (outcome == nil || entry.AcceptedBy.Compare(accepted) > 0) {
			outcome, accepted = entry.Outcome, entry.AcceptedBy
		}
	}
	slices.SortFunc(intents, func(a, b Intent) int { return cmp.Or(a.Ballot.Compare(b.Ballot), cmp.Compare(a.Attempt, b.Attempt)) })
	lastIntended := ""
	if len(intents) > 0 {
		lastIntended = intents[len(intents)-1].ID
	}
	for i, entry := range entries {
		take := i == 0 || entry.Record.Generation > record.Generation || entry.Record.Generation == record.Generation && record.ID != lastIntended && (entry.Record.ID == lastIntended || entry.Record.ID < record.ID)
		left := record.TimeLeft
		if take {
			record = entry.Record
		}
		if i > 0 && entry.Record.Generation == record.Generation {
			record.TimeLeft = max(left, entry.Record.TimeLeft) // whoever heard of it soonest knows best
		}
	}
	return record, intents, outcome
}

// Step is what a successor does with a request.
type Step uint8

// Steps.
const (
	Send         Step = iota + 1 // as the owner would have
	Resend                       // it may have run: only where the class's effect makes that harmless
	QueryPartner                 // it may run at a partner, which is asked what became of it and begins nothing for that
	GiveUp
)

var steps = [...]string{"", "send", "send again", "ask the partner", "fail"}

func (step Step) String() string { return steps[min(int(step), len(steps)-1)] }

// Next is what whoever takes a request over does first. partner says whether a pool is a partner's.
func Next(effect balancer.Effect, intents []Intent, timeLeft time.Duration, partner func(pool string) bool) Step {
	mayHaveRun := slices.DeleteFunc(slices.Clone(intents), func(intent Intent) bool { return intent.NotRun })
	switch {
	case timeLeft <= 0:
		return GiveUp
	case len(mayHaveRun) == 0:
		return Send
	case effect != balancer.Unsafe:
		return Resend
	case partner(mayHaveRun[len(mayHaveRun)-1].Pool):
		return QueryPartner
	}
	return GiveUp
}

// Majority is how many of n replicas are needed.
func Majority(n int) int { return n/2 + 1 }

// ChooseReplicas are who holds the requests of a key: the first of the group by a hash of key and name, of as many zones as there are,
// and an odd number of them, the owner perhaps among them. Whoever sees the same group sees the same replicas. In a group of
// two the other one votes alone; alone nobody does.
func ChooseReplicas(key Key, self string, group []Gateway, replicas int) []Gateway {
	switch len(group) {
	case 0, 1:
		return nil
	case 2:
		return slices.DeleteFunc(slices.Clone(group), func(g Gateway) bool { return g.Name == self })
	}
	replicas = min(replicas, len(group))
	if replicas%2 == 0 {
		replicas--
	}
	order := slices.Clone(group)
	slices.SortFunc(order, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(splitmix.Of(key.Class, key.ID, b.Name), splitmix.Of(key.Class, key.ID, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	var chosen []Gateway
	zones := map[string]int{}
	for perZone := 1; len(chosen) < replicas; perZone++ { // one of each zone first, then two
		for _, g := range order {
			if len(chosen) < replicas && zones[g.Zone] < perZone && !slices.ContainsFunc(chosen, func(o Gateway) bool { return o.Name == g.Name }) {
				zones[g.Zone]++
				chosen = append(chosen, g)
			}
		}
	}
	return chosen
}

// Suspect is how long whoever has a request in hand may be silent, by the heartbeat that it answered last, until a replica takes it
// for lost although its link stands. A link ends after silence; a request whose time is over soon, and that a successor could still
// have served, is not made to wait for that, but for two heartbeats and the way there and back at least: a third of its time
// goes to the doubt, the rest is for the claim and the attempt. a suspicion that was wrong costs the owner the request, and a request
// that is safe an attempt, so what a successor could only fail waits for the link.
func SuspectAfter(heartbeat, rtt, silence, timeLeft time.Duration, servable bool) time.Duration {
	if !servable {
		return silence
	}
	return min(silence, max(2*heartbeat+4*rtt, timeLeft/3))
}

// Servable says that a successor could still have a request served.
func Servable(step Step) bool { return step == Send || step == Resend }

// ClaimDelay is how long a replica waits, from when it lost whoever has a request in hand, until it claims the request: those first
// that come first among the replicas, so that they do not claim against one another.
func ClaimDelay(replicas []Gateway, owner, self string) time.Duration {
	rank := 0
	for _, replica := range replicas {
		if replica.Name == self {
			break
		}
		if replica.Name != owner {
			rank++
		}
	}
	return claimGrace + time.Duration(rank)*claimRankDelay
}

// ClaimRetryDelay is how long a replica waits after a claim that others refused, who heard what it did not: heartbeats come to each
// of them at another time, and a request whose time is short has none to lose.
func ClaimRetryDelay(timeLeft time.Duration) time.Duration {
	return min(claimRetryDelay, max(claimGrace, timeLeft/8))
}

// Times of a claim. A link that broke may come back at once.
const (
	claimGrace     = 60 * time.Millisecond
	claimRankDelay = 150 * time.Millisecond
)
