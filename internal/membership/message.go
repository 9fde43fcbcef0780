package membership

import "net/netip"

// MaxUpdateBytes is how many bytes the updates of a message take at most, as the codec writes them.
const MaxUpdateBytes = 200

// Kind is the purpose of a message. Its value is its code on the wire.
type Kind uint8

// Kinds of messages.
const (
	Ping    Kind = iota + 1 // answered by an Ack of the same Seq
	Ack                     // Digest is of the members that the sender holds for active
	PingReq                 // asks to ping MemberID; answered by an Ack, or by a Nack if there was no answer
	Nack                    // the member that a PingReq named has not answered
	Pull                    // asks for the member list from MemberID on
	Page                    // a part of the list; MemberID is where the next part begins, 0: it was the last
)

// Update is what its sender holds of one member.
type Update struct {
	ID          ID
	Incarnation uint32
	Status      Status
	Suspector   ID    // for Suspect: the member that suspects
	Peer        *Peer // nil: unchanged

	PeerIncarnation uint32 // in which Peer was announced
}

// Message is what one member sends another.
type Message struct {
	Kind          Kind
	From          ID
	Seq           uint32 // of a probe and its answers
	MemberID      ID
	Digest        uint64
	Updates       []Update
	BucketDigests []uint32 // of a Pull: the sender's digests by bucket; only buckets that differ are wanted
}

// Packet is a message with the address that it goes to.
type Packet struct {
	To netip.AddrPort
	Message
}
