package zonestate

import (
	"net/netip"
	"time"
)

// MessageKind is the purpose of a message. Its value is its code on the wire.
type MessageKind uint8

// Kinds of messages.
const (
	PartUpdate MessageKind = iota + 1 // parts, sent to the parent in a plane
	RowUpdate                         // rows that are new to the sender
	Reply                             // rows that a Query requested
	Query                             // requests rows that are younger than those of the sender
)

// Message is a message from one node to another.
type Message struct {
	Kind        MessageKind
	From        uint64
	Token       uint32 // the sender's clock at sending, in milliseconds from a random origin
	Echo        uint32 // last token that the sender received from the receiver; 0: none
	HeldMillis  uint16 // time since the sender received Echo
	Rows        []Row
	ZoneQueries []ZoneQuery
}

// ZoneQuery is a zone whose rows a Query requests, and the age of the best row that the sender has of it.
type ZoneQuery struct {
	ZoneID ZoneID
	Age    time.Duration
}

// Packet is a message and its destination address.
type Packet struct {
	To netip.AddrPort
	Message
}
