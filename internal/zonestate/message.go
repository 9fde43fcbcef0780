package zonestate

import (
	"net/netip"
	"time"
)

// MessageKind says what a message is for.
type MessageKind uint8

// Kinds of messages.
const (
	Up    MessageKind = iota + 1 // parts for the receiver, its sender's parent in a plane
	Down                         // rows that are news to the sender
	Tell                         // rows that were asked for
	Query                        // asks for rows of zones that are younger than what the sender holds
)

// Message is what one node sends another.
type Message struct {
	Kind  MessageKind
	From  uint64
	Token uint32 // the sender's clock when it was sent, in milliseconds from a drawn origin
	Echo  uint32 // the last token that came from the receiver; 0: none
	Held  uint16 // milliseconds since then
	Rows  []Row
	Wants []Want
}

// Want is a zone of which somebody wants to know more, and how old the best is that it holds.
type Want struct {
	Place Place
	Age   time.Duration
}

// Packet is a message on its way out.
type Packet struct {
	To netip.AddrPort
	Message
}
