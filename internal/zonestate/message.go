package zonestate

import (
	"net/netip"
	"time"
)

// MessageKind is the purpose of a message. Its value is its code on the wire.
type MessageKind uint8

// Kinds of messages.
const (
	PartUpdate MessageKind = iota + 1 // parts for the receiver, which is the sender's parent in a plane
	RowUpdate                         // rows that are new to the sender
	Reply                             // rows that answer a Query
	Query                             // asks for rows that are younger than what the sender holds
)

// Message is what one node sends another.
type Message struct {
	Kind        MessageKind
	From        uint64
	Token       uint32 // the sender's clock at sending, in milliseconds from a random origin
	Echo        uint32 // the last token that the sender received from the receiver; 0: none
	HeldMillis  uint16 // milliseconds for which the sender has held Echo
	Rows        []Row
	ZoneQueries []ZoneQuery
}

// ZoneQuery is a zone that a Query asks about, and the age of the best row that the sender holds of it.
type ZoneQuery struct {
	ZoneID ZoneID
	Age    time.Duration
}

// Packet is a message with the address that it goes to.
type Packet struct {
	To netip.AddrPort
	Message
}
