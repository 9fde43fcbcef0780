package membership

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"
)

// ID identifies a member. It is made of the name alone.
type ID uint64

// IDOf returns the ID of a name, which is never 0.
func IDOf(name string) ID {
	sum := sha256.Sum256([]byte(name))
	return ID(max(1, binary.BigEndian.Uint64(sum[:8])))
}

// Peer is what a member announces of itself beside its incarnation.
type Peer struct {
	Name         string         // up to MaxName bytes
	Addr         netip.AddrPort // where it listens
	Region, Zone string         // up to MaxZoneName bytes each
	ListenOnly   bool           // it takes part as a listener alone, and is never asked for indirect probes
}

// Bounds of a Peer's fields, in bytes.
const (
	MaxName     = 32
	MaxZoneName = 16
)

// check returns an error if a field is out of bounds.
func (p Peer) check() error {
	if p.Name == "" || len(p.Name) > MaxName || len(p.Region) > MaxZoneName || len(p.Zone) > MaxZoneName || !p.Addr.IsValid() {
		return fmt.Errorf("membership: %+v; allowed: a name of 1 to %d bytes, places of up to %d, an address", p, MaxName, MaxZoneName)
	}
	return nil
}

// Status is what a node holds of a member. In one incarnation a higher one supersedes a lower one.
type Status uint8

// Statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // announced that it leaves
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the status in lower case.
func (s Status) String() string { return statusNames[min(int(s), len(statusNames)-1)] }

// Member is what a node holds of another, as Machine.Members returns it.
type Member struct {
	Peer
	ID          ID
	Incarnation uint32
	Status      Status
	StatusSince time.Duration // time of this node's clock at which the member came to this status here
	LastHeard   time.Duration // time of this node's clock at which the last message from it came; 0: none has
}

// memberState is the state that is kept of another member.
type memberState struct {
	ID
	Peer
	incarnation     uint32
	peerIncarnation uint32 // in which Peer was announced
	peerPending     bool   // Peer is news and goes with the next updates
	status          Status
	statusSince     time.Duration // when it came to this status here
	lastHeard       time.Duration // when the last message from it came
	suspectors      []ID          // members that suspect it, in order
	transmits       int           // times that the update of it went out
	finalPingUntil  time.Duration // until when it may answer its final ping; 0: none was sent
}

// active says that the member is neither dead nor left.
func (k *memberState) active() bool { return k.status <= Suspect }

// update returns what is held of the member as an update; withPeer: with its name and address.
func (k *memberState) update(withPeer bool) Update {
	u := Update{ID: k.ID, Incarnation: k.incarnation, Status: k.status}
	if withPeer {
		u.Peer = &k.Peer
		u.PeerIncarnation = k.peerIncarnation
	}
	if k.status == Suspect && len(k.suspectors) > 0 {
		// All suspectors take turns, so that each confirmation spreads.
		u.Suspector = k.suspectors[k.transmits%len(k.suspectors)]
	}
	return u
}
