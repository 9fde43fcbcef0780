// Package zonestate implements the protocol by which nodes exchange the state of zones: the demand in each zone, the zones to
// which it is sent with what result, and the servers in service. It does no I/O, reads no clock and starts no goroutine: time,
// members and messages are passed in, and messages and values are returned. Package membership determines the members; package
// gossip handles sockets, keys and rate limits.
//
// The measurements of one node are a part. The nodes of a zone aggregate their parts along two trees, the planes. The root of
// each plane publishes the aggregates as rows, which are sent to the roots of the other zones and down all trees of the plane.
// Traffic and memory of a node therefore grow with the number of zones rather than nodes, and a failed node delays the rows of
// one plane but, except by chance, not those of the other.
//
// Guarantees:
//
//   - The age of a row is an upper bound on the age of the oldest part in it, regardless of message loss and delay, restarts and
//     changes of wall clocks, as long as clock rates differ by at most one part in a thousand. No delay is assumed: the delay
//     of a hop is at most the time since the receiver sent the token that the message echoes, less the time for which the
//     sender reports to have held it. Rows and parts without such a token are dropped (Dropped.Unbounded).
//   - A row carries the number of parts in it. A part may be counted twice in a row of one plane for at most half a period
//     after its node changes its parent. Row.PartCount may then exceed the number of active nodes; readers get both numbers.
//   - Among rows of the same author, zone, plane and page, the one with the latest incarnation, and within it the latest
//     sequence number, supersedes the others. Merging is commutative, associative and idempotent.
//   - Each value is returned with the freshness of the zone (Fresh, Stale, Unknown). Missing values are not estimated.
//   - A node sends its part once per plane and period, or twice if it has children or message loss was detected; each row once
//     to each neighbour in its tree; and one query per half period while rows are missing or about to become stale.
package zonestate

import (
	"hash/fnv"
	"time"

	"damsontrestle/internal/splitmix"
)

// Subject identifies the subject of an entry by a hash of its name, which is equal at all nodes. With a thousand names, the
// probability that two collide is one in ten thousand; their entries are then combined.
type Subject uint32

// SubjectOf returns the subject of a name.
func SubjectOf(name string) Subject {
	h := fnv.New64a()
	h.Write([]byte(name))
	return Subject(max(1, uint32(splitmix.Mix(h.Sum64()))))
}

// ZoneID identifies a zone of a region by a hash of both names.
type ZoneID Subject

// ZoneIDOf returns the ID of a zone.
func ZoneIDOf(region, zone string) ZoneID { return ZoneID(SubjectOf(region + "/" + zone)) }

// Entry is one value of a subject.
type Entry struct {
	Kind    Kind
	Subject Subject
	Value   float64 // with the precision of a float32
}

// Author identifies the node that published a row.
type Author struct {
	ID          uint64
	Incarnation uint32
}

// Row is one page of the state of a zone: entries that its author aggregated at one time.
type Row struct {
	ZoneID    ZoneID
	Plane     uint8
	Page      uint8
	Author    Author
	Seq       uint32        // incremented with each publication of the author; wraps around
	Age       time.Duration // upper bound on the age of the oldest part in it at the time the row was passed in or returned
	PartCount int           // number of parts in it, normally one per node
	Entries   []Entry       // at most MaxEntries, ordered by kind and subject
}

const (
	// MaxEntries is the maximum number of entries of a row, so that it fits into a datagram.
	MaxEntries   = 21
	maxPartCount = 1<<16 - 1 // highest Row.PartCount that can be encoded
)

// Pages holds a node's own entries by page.
type Pages [pages][]Entry

// GroupByPage returns the entries grouped by page.
func GroupByPage(entries []Entry) Pages {
	var p Pages
	for _, e := range entries {
		p[e.Kind.page()] = append(p[e.Kind.page()], e)
	}
	return p
}
