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
	"hash/fnv"
	"time"

	"damsontrestle/internal/splitmix"
)

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
