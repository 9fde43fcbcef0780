package modelcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Flight is a message on its way between nodes.
type Message struct {
	From, To int
	Data     string // as on the wire
}

// Air holds the messages of a system that are on their way: each may be delivered, dropped or doubled next, within bounds. It
// keeps them in an order of its own, so that states do not differ by the order in which they were sent.
type Network struct {
	MaxInFlight               int // at once; more are lost
	DropsLeft, DuplicatesLeft int // that are left
	InFlight                  []Message
}

// Clone is a copy.
func (a Network) Clone() Network {
	a.InFlight = slices.Clone(a.InFlight)
	return a
}

// Send puts a message on its way.
func (a *Network) Send(f Message) {
	if len(a.InFlight) >= a.MaxInFlight {
		return
	}
	i, _ := slices.BinarySearchFunc(a.InFlight, f, func(x, y Message) int {
		return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To), strings.Compare(x.Data, y.Data))
	})
	a.InFlight = slices.Insert(a.InFlight, i, f)
}

// Moves are what can happen to messages next.
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

// Apply makes one of the moves; of a delivery it gives the message that arrives.
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

// Move reads a move's name, if it is one of those that can be made.
func ParseMove(move string, moves []string) (action string, index int, ok bool) {
	n, _ := fmt.Sscan(move, &action, &index)
	return action, index, n == 2 && slices.Contains(moves, move)
}
