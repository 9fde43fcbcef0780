package membership

import "net/netip"

// MaxUpdateBytes is the maximum encoded size of the updates in a message.
const MaxUpdateBytes = 200

// Kind is the purpose of a message. Its value is its code on the wire.
type Kind uint8

// Kinds of messages.
const (
	Ping    Kind = iota + 1 // requests an Ack with the same Seq
	Ack                     // carries the digest of the members that the sender considers active
	PingReq                 // requests a ping of MemberID; the reply is an Ack, or a Nack if the ping timed out
	Nack                    // the member named in a PingReq did not reply
	Pull                    // requests the member list starting at MemberID
	Page                    // a part of the list; MemberID is the start of the remainder, or 0 if there is none
)

// Update is the state of one member as known to the sender.
type Update struct {
	ID          ID
	Incarnation uint32
	Status      Status
	Suspector   ID    // for Suspect: the member that reports the suspicion
	Peer        *Peer // nil: not included

	PeerIncarnation uint32 // incarnation in which Peer was announced
}

// Message is a message from one member to another.
type Message struct {
	Kind          Kind
	From          ID
	Seq           uint32 // of a probe and the replies to it
	MemberID      ID
	Digest        uint64
	Updates       []Update
	BucketDigests []uint32 // of a Pull: the sender's digests by bucket; the reply omits equal buckets
}

// Packet is a message and its destination address.
type Packet struct {
	To netip.AddrPort
	Message
}
