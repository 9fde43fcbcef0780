package modelcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Message is a message in flight between two nodes.
type Message struct {
	From, To int
	Data     string // wire encoding
}

// Network holds the messages in flight. Each may be delivered next, or dropped or duplicated within bounds. Messages are kept
// sorted, so that states do not differ by the order in which messages were sent.
type Network struct {
	MaxInFlight               int // messages beyond it are lost
	DropsLeft, DuplicatesLeft int // remaining budget
	InFlight                  []Message
}

// Clone returns a copy that shares no messages with a.
func (a Network) Clone() Network {
	a.InFlight = slices.Clone(a.InFlight)
	return a
}

// Send adds a message, or loses it if MaxInFlight messages are in flight.
func (a *Network) Send(f Message) {
	if len(a.InFlight) >= a.MaxInFlight {
		return
	}
	i, _ := slices.BinarySearchFunc(a.InFlight, f, func(x, y Message) int {
		return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To), strings.Compare(x.Data, y.Data))
	})
	a.InFlight = slices.Insert(a.InFlight, i, f)
}

// Moves returns the possible moves; equal messages get them once.
func (a *Network) Moves() (moves []string) {
	for k, f := range a.InFlight {
		if k > 0 && f == a.InFlight[k-1] {
			continue
		}
		moves = append(moves, fmt.Sprint("deliver ", k))
		if a.DropsLeft > 0 {
			moves = append(moves, fmt.Sprint("drop ", k))
		}
		if a.DuplicatesLeft > 0 {
			moves = append(moves, fmt.Sprint("double ", k))
		}
	}
	return moves
}

// Apply makes one of the moves. For a delivery it returns the message and true.
func (a *Network) Apply(action string, index int) (arrived Message, ok bool) {
	f := a.InFlight[index]
	switch action {
	case "double":
		a.DuplicatesLeft--
		a.InFlight = slices.Insert(a.InFlight, index, f)
		return Message{}, false
	case "drop":
		a.DropsLeft--
	}
	a.InFlight = slices.Delete(a.InFlight, index, index+1)
	return f, action == "deliver"
}

// ParseMove splits a move into its action and index. ok reports whether it is one of moves.
func ParseMove(move string, moves []string) (action string, index int, ok bool) {
	n, _ := fmt.Sscan(move, &action, &index)
	return action, index, n == 2 && slices.Contains(moves, move)
}
