package membership

import "net/netip"

// Update is a word of one member.
type Update struct {
	ID          ID
	Incarnation uint32
	Status      Status
	By          ID    // for Suspect: who suspects; one voice each
	Peer        *Peer // nil: as known

	PeerIncarnation uint32 // in which Peer was so
}

// Kind says what a message is for.
type Kind uint8

// Kinds of messages.
const (
	Ping    Kind = iota + 1 // answered by an Ack of the same Seq
	Ack                     // Sum tells of the sender's list
	PingReq                 // asks to ping About; answered by an Ack, or by a Nack where none comes
	Nack
	Pull // asks for the list from About on
	Page // a part of the list; About is where the next begins, 0: it was the last
)

// Message is what one member sends another.
type Message struct {
	Kind    Kind
	From    ID
	Seq     uint32
	About   ID
	Sum     uint64
	Updates []Update
	Sums    []uint32 // of a Pull: what the sender holds for alive, by bucket; only what differs is wanted
}

// Packet is a message on its way out.
type Packet struct {
	To netip.AddrPort
	Message
}
