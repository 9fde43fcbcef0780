package membership

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"time"
)

// ID tells members apart: it is made of the name alone.
type ID uint64

// IDOf is the ID of a name.
func IDOf(name string) ID {
	sum := sha256.Sum256([]byte(name))
	return ID(max(1, binary.BigEndian.Uint64(sum[:8])))
}

// Peer is what is told of a member beside its incarnation.
type Peer struct {
	Name         string         // up to MaxName bytes
	Addr         netip.AddrPort // where it listens
	Region, Zone string         // up to MaxPlace bytes each
	Listens      bool           // it hears and is heard, and is never asked to probe for others
}

// Bounds of a Peer's words.
const (
	MaxName  = 32
	MaxPlace = 16
)

// Status is what is held of a member, graver ones later.
type Status uint8

// Statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // in order
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

func (s Status) String() string { return statusNames[min(int(s), len(statusNames)-1)] }

// member is what is held of one.
type member struct {
	ID
	Peer
	incarnation     uint32
	peerIncarnation uint32 // in which Peer was announced
	peerPending     bool   // Peer is news and goes with the next updates
	status          Status
	since           time.Duration // when it came to this status here
	heard           time.Duration // last message from it
	suspectors      []ID          // members that suspect it, sorted
	transmits       int           // times that the update of it went out
	finalPingUntil  time.Duration // until when it may answer the final ping; 0: none was sent
}

// Member is what is told of one.
type Member struct {
	Peer
	ID          ID
	Incarnation uint32
	Status      Status
	Since       time.Duration // time of this node's clock when it came to this status here
	Heard       time.Duration // and when a message from it came last; 0: never
}
