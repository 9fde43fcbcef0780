// Package zonestate is what nodes tell one another of their zones: how much is asked for, where it is sent and how that ends,
// what is in service. It does no I/O, has no clock and no goroutine: time, members and messages come in, messages and answers go out. Who
// lives is internal/membership'.
//
// What one node sees is a part. The nodes of a zone add their parts up along two trees, the planes, and the root of each
// plane makes rows of the sums, which go to the roots of the other zones and down all trees of their plane. So what a node
// sends and holds goes with the number of zones and not of nodes, and a node that is struck is in the way of one plane's
// rows and, but by chance, not of the other's.
//
// What it promises:
//
//   - The age that a row is said to have at most is never less than that of the oldest part in it, whatever becomes of
//     messages, processes and their clocks' settings, as long as clocks run at the same rate to a thousandth (drift). No
//     delay is assumed: a hop took at most the time since the receiver's own token that the sender gives back, less the
//     time for which the sender says that it held it. What carries no such token is not taken (Dropped.Unbounded).
//   - A row says how many nodes' parts are in it. A part is in a row of a plane twice at most for Options.hold after its
//     node came to have another parent; then From may be above the number that live, and readers are told both.
//   - Of one author, zone, plane and page the row of the latest incarnation and then of the latest sequence holds. Merging does not
//     hang on order, repetition or grouping.
//   - A reader gets the word for a zone (Fresh, Stale, Unknown) with each answer. No guess is made of what is missing.
//   - A node sends its part once in each plane a period, twice where others hang on it or messages get lost, each row once to each neighbour in its tree, and one question a
//     half period while something is lacking.
package zonestate

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"damsontrestle/internal/splitmix"
)

// Kind says what an entry tells of its subject. Its highest bits say how parts are put together, so that a node can add up
// kinds that it does not know.
type Kind uint8

// How parts are put together.
const (
	opSum   Kind = 0x00
	opMax   Kind = 0x40
	opMin   Kind = 0x80
	opBits  Kind = 0xc0
	pageOne Kind = 0x10 // the bits between tell the page
	pages        = 4
)

// Kinds. Rates are per second, over the last period or so.
const (
	Demand   = opSum + 0 // of a class: requests that came, a second
	Rejected = opSum + 1 // of a class: requests that were refused, a second
	Open     = opSum + 2 // of a class: requests that are unanswered
	Ready    = opMax + 0 // of a zone: servers listed as ready
	Warm     = opMax + 1 // of a zone: of these, such as are past their slow start
	Newest   = opMax + 2 // of a list or configuration: the latest version that a node holds
	Oldest   = opMin + 0 // and the earliest
	Made     = opMin + 1 // of nothing: when the part was made; only builds for the fault bench tell it

	Sent = opSum + pageOne + 0 // of a zone: attempts that ended there, a second
	Bad  = opSum + pageOne + 1 // of a zone: of them, such as did not succeed, a second
	Lag  = opSum + pageOne + 2 // of a zone: what they took in all, seconds a second

	Trouble = opSum + 2*pageOne + 0 // of a server: attempts that did not succeed, a second
	Held    = opSum + 2*pageOne + 1 // of a server: attempts that are out

	Sketch = opSum + 3*pageOne + 0 // of a power of two of microseconds: attempts that took less, and not less than half, a second
)

// page is which of an author's rows holds a kind: each fits into a datagram and is of one time.
func (k Kind) page() uint8 { return uint8(k&^opBits) / uint8(pageOne) % pages }

// staysInZone says that rows of a page stay within their zone.
func staysInZone(page uint8) bool { return page >= 2 }

// Subject is what an entry is of, and Place a zone: by a number that all nodes make of the name. With a thousand names two
// share one with a chance of one in ten thousand; their entries are then added up.
type Subject uint32

// SubjectOf is the number of a name.
func SubjectOf(name string) Subject {
	h := fnv.New64a()
	h.Write([]byte(name))
	return Subject(max(1, uint32(splitmix.Mix(h.Sum64()))))
}

// Place is a zone of a region.
type Place Subject

// PlaceOf is the place of a zone.
func PlaceOf(region, zone string) Place { return Place(SubjectOf(region + "/" + zone)) }

// Entry is one figure.
type Entry struct {
	Kind    Kind
	Subject Subject
	Value   float64 // kept as a float32
}

// Author is who made a row: a member by its ID, in an incarnation.
type Author struct {
	ID          uint64
	Incarnation uint32
}

// Row is what one author says of its zone: entries that it put together at one time.
type Row struct {
	Place   Place
	Plane   uint8
	Page    uint8
	Author  Author
	Seq     uint32        // grows with each row of the author's
	Age     time.Duration // of the oldest part in it, at most, as of when it was handed in or out
	From    int           // nodes whose parts are in it
	Entries []Entry       // by kind and subject, MostEntries at most
}

// Bounds of a row.
const (
	MostEntries = 21
	maxFrom     = 1<<16 - 1
)

// Pages are a node's own entries, by the page.
type Pages [pages][]Entry

// Sort shares entries out to their pages.
func Sort(entries []Entry) (p Pages) {
	for _, e := range entries {
		p[e.Kind.page()] = append(p[e.Kind.page()], e)
	}
	return p
}

// combine puts entries together: each kind by its own rule. cut counts what there was no room for: of a page too long, the
// rates of kinds that come later, and of one kind the least, go.
func combine(lists ...[]Entry) (out []Entry, cut int) {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	for _, e := range all {
		if n := len(out) - 1; n >= 0 && out[n].Kind == e.Kind && out[n].Subject == e.Subject {
			switch o := &out[n]; e.Kind & opBits {
			case opMax:
				o.Value = max(o.Value, e.Value)
			case opMin:
				o.Value = min(o.Value, e.Value)
			default:
				o.Value += e.Value
			}
			continue
		}
		out = append(out, e)
	}
	out = slices.DeleteFunc(out, func(e Entry) bool { return e.Value == 0 && e.Kind&opBits == opSum }) // nought is what is not said
	if cut = len(out) - MostEntries; cut <= 0 {
		return out, 0
	}
	slices.SortStableFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Kind&opBits, a.Kind&opBits), cmp.Compare(a.Kind, b.Kind), cmp.Compare(math.Abs(b.Value), math.Abs(a.Value)))
	})
	out = out[:MostEntries]
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return out, cut
}

// Options are a fleet's, the same at all nodes.
type Options struct {
	Fresh time.Duration // what is not older is fresh
	Delay time.Duration // that a datagram takes at most where all is well; by it nodes time their parts, and no age hangs on it
	Fan   int           // children of a node in a tree
}

// DefaultDelay is that of nodes on one network.
const DefaultDelay = 20 * time.Millisecond

// Defaults are those of nodes on one network.
func Defaults(fresh time.Duration) Options {
	return Options{Fresh: fresh, Delay: DefaultDelay, Fan: 8}
}

// Least is the least Fresh that holds where nothing is lost and no datagram takes longer than a delay, in zones of up to 4,000
// nodes: half of it is the period, parts wait for three levels, and each of seven hops counts as its round trip.
func Least(delay time.Duration) time.Duration { return 2 * (7*levelStep(delay)/2 + 14*delay) }

// levelStep is by how much earlier the nodes of each level further from the root send their parts.
func levelStep(delay time.Duration) time.Duration { return 2*delay + 10*time.Millisecond }

// Check names the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.Delay <= 0 || o.Fresh < Least(o.Delay):
		return fmt.Errorf("zonestate: fresh %v with a delay of %v; allowed: %v or more", o.Fresh, o.Delay, Least(max(o.Delay, time.Millisecond)))
	case o.Fan < 1 || o.Fan > 32:
		return fmt.Errorf("zonestate: fan %d; allowed: 1 to 32", o.Fan)
	}
	return nil
}

// period is between two rows of one plane.
func (o Options) period() time.Duration { return o.Fresh / 2 }

// maxPartAge is how old a child's part may grow before it is left out: one of the round before would have the whole row be as old,
// and who wants more nodes than young rows have still has the older row.
func (o Options) maxPartAge() time.Duration { return o.period() / 2 }

// maxRowAge is how old a row may grow before it is dropped.
func (o Options) maxRowAge() time.Duration { return 2 * o.Fresh }
