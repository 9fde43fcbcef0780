// Package zonestate is the state of zones that nodes exchange: the load that each zone is asked for, where it is sent and how
// that ends, and which servers are in service. It owns the protocol and its messages. It does no I/O and has no clock and no
// goroutine: time, members and messages are passed in, messages and readings are returned. Membership is left to
// internal/membership, sockets, keys and pacing to internal/gossip.
//
// What one node measures is a part. The nodes of a zone add their parts up along two aggregation trees, the planes. The root of
// each plane makes rows of the sums, which go to the roots of the other zones and down all trees of their plane. So what a
// node sends and stores grows with the number of zones and not of nodes, and a node that fails delays one plane's rows and,
// but by chance, not the other's.
//
// It promises:
//
//   - The age of a row is an upper bound on the age of the oldest part in it, whatever becomes of messages, processes and
//     wall clocks, as long as clocks run at the same rate to a thousandth. No delay is assumed: a hop took at most the
//     time since the receiver's own token that the sender returns, less the time for which the sender says that it held
//     it. What carries no such token is dropped (Dropped.Unbounded).
//   - A row says how many nodes' parts are in it. A part may be counted twice in a row of one plane for at most half a period
//     after its node got another parent; then Row.PartCount may exceed the number of active nodes, and readers get both.
//   - Of one author, zone, plane and page the row of the latest incarnation and then of the latest sequence supersedes the
//     others. Merging does not depend on order, repetition or grouping.
//   - Each reading comes with the zone's freshness (Fresh, Stale, Unknown). What is missing is not estimated.
//   - A node sends its part once in each plane a period, twice if other nodes depend on it or messages get lost; each row
//     once to each neighbour in its tree; and one query a half period while something is missing.
package zonestate

import (
	"hash/fnv"
	"time"

	"damsontrestle/internal/splitmix"
)

// Subject identifies what an entry is about, by a hash of its name that all nodes compute alike. Among a thousand names two
// collide with a chance of one in ten thousand; their entries are then added up.
type Subject uint32

// SubjectOf returns the subject of a name.
func SubjectOf(name string) Subject {
	h := fnv.New64a()
	h.Write([]byte(name))
	return Subject(max(1, uint32(splitmix.Mix(h.Sum64()))))
}

// ZoneID identifies a zone of a region, by a hash of both names.
type ZoneID Subject

// ZoneIDOf returns the ID of a zone.
func ZoneIDOf(region, zone string) ZoneID { return ZoneID(SubjectOf(region + "/" + zone)) }

// Entry is one value about a subject.
type Entry struct {
	Kind    Kind
	Subject Subject
	Value   float64 // with the precision of a float32
}

// Author is the node that made a row, by its ID and incarnation.
type Author struct {
	ID          uint64
	Incarnation uint32
}

// Row is one page of the state of a zone: entries that its author added up at one time.
type Row struct {
	ZoneID    ZoneID
	Plane     uint8
	Page      uint8
	Author    Author
	Seq       uint32        // grows with each row of the author; it wraps
	Age       time.Duration // upper bound on the age of the oldest part in it, when the row was passed in or returned
	PartCount int           // number of nodes whose parts are in it
	Entries   []Entry       // by kind and subject, MaxEntries at most
}

const (
	// MaxEntries is how many entries a row has at most, so that it fits into a datagram.
	MaxEntries   = 21
	maxPartCount = 1<<16 - 1 // the highest Row.PartCount that can be written
)

// Pages are a node's own entries by page.
type Pages [pages][]Entry

// GroupByPage distributes entries to their pages.
func GroupByPage(entries []Entry) Pages {
	var p Pages
	for _, e := range entries {
		p[e.Kind.page()] = append(p[e.Kind.page()], e)
	}
	return p
}
