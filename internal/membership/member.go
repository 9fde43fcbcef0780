package membership

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"
)

// ID identifies a member. It is derived only from the name.
type ID uint64

// IDOf returns the ID of a name, which is never 0.
func IDOf(name string) ID {
	sum := sha256.Sum256([]byte(name))
	return ID(max(1, binary.BigEndian.Uint64(sum[:8])))
}

// Peer is the data that a member announces about itself in addition to its incarnation.
type Peer struct {
	Name         string         // 1 to MaxName bytes
	Addr         netip.AddrPort // listen address
	Region, Zone string         // up to MaxZoneName bytes each
	ListenOnly   bool           // the member only listens; it is not asked for indirect probes
}

// Maximum lengths of the names in a Peer, in bytes.
const (
	MaxName     = 32
	MaxZoneName = 16 // of a region or zone
)

// check returns an error if a field is out of range.
func (p Peer) check() error {
	if p.Name == "" || len(p.Name) > MaxName || len(p.Region) > MaxZoneName || len(p.Zone) > MaxZoneName || !p.Addr.IsValid() {
		return fmt.Errorf("membership: invalid peer %+v: requires a name of 1 to %d bytes, a region and zone of at most %d bytes each, and an address", p, MaxName, MaxZoneName)
	}
	return nil
}

// Status is the status of a member from the viewpoint of a node. Within an incarnation, a higher status supersedes a lower one.
type Status uint8

// Member statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // the member announced that it leaves
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the status in lower case.
func (s Status) String() string { return statusNames[min(int(s), len(statusNames)-1)] }

// Member is the state that a node keeps about another, as returned by Machine.Members.
type Member struct {
	Peer
	ID          ID
	Incarnation uint32
	Status      Status
	StatusSince time.Duration // time of this node's clock at which it set the status
	LastHeard   time.Duration // time of this node's clock at which it last received a message from the member; 0: never
}

// memberState is the state that a node keeps about another member.
type memberState struct {
	ID
	Peer
	incarnation     uint32
	peerIncarnation uint32 // incarnation in which Peer was announced
	peerPending     bool   // Peer is new or has changed and is included in the next updates
	status          Status
	statusSince     time.Duration // when this node set the status
	lastHeard       time.Duration // when this node last received a message from it
	suspectors      []ID          // members that suspect it, ordered by ID
	transmits       int           // number of times its update was sent
	finalPingUntil  time.Duration // deadline for its reply to the final ping; 0: no final ping was sent
}

// active reports whether the member is neither dead nor left.
func (k *memberState) active() bool { return k.status <= Suspect }

// update returns the update about the member. withPeer includes the Peer.
func (k *memberState) update(withPeer bool) Update {
	u := Update{ID: k.ID, Incarnation: k.incarnation, Status: k.status}
	if withPeer {
		u.Peer = &k.Peer
		u.PeerIncarnation = k.peerIncarnation
	}
	if k.status == Suspect && len(k.suspectors) > 0 {
		// Successive transmissions rotate through the suspectors, so that each confirmation spreads.
		u.Suspector = k.suspectors[k.transmits%len(k.suspectors)]
	}
	return u
}
