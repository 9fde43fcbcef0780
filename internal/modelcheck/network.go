package modelcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Flight is a message on its way between nodes.
type Flight struct {
	From, To int
	Data     string // as on the wire
}

// Air holds the messages of a system that are on their way: each may be delivered, dropped or doubled next, within bounds. It
// keeps them in an order of its own, so that states do not differ by the order in which they were sent.
type Air struct {
	Most           int // at once; more are lost
	Drops, Doubles int // that are left
	Flying         []Flight
}

// Clone is a copy.
func (a Air) Clone() Air {
	a.Flying = slices.Clone(a.Flying)
	return a
}

// Send puts a message on its way.
func (a *Air) Send(f Flight) {
	if len(a.Flying) >= a.Most {
		return
	}
	i, _ := slices.BinarySearchFunc(a.Flying, f, func(x, y Flight) int {
		return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To), strings.Compare(x.Data, y.Data))
	})
	a.Flying = slices.Insert(a.Flying, i, f)
}

// Moves are what can happen to messages next.
func (a *Air) Moves() (moves []string) {
	for k, f := range a.Flying {
		if k > 0 && f == a.Flying[k-1] {
			continue
		}
		moves = append(moves, fmt.Sprint("deliver ", k))
		if a.Drops > 0 {
			moves = append(moves, fmt.Sprint("drop ", k))
		}
		if a.Doubles > 0 {
			moves = append(moves, fmt.Sprint("double ", k))
		}
	}
	return moves
}

// Apply makes one of the moves; of a delivery it gives the message that arrives.
func (a *Air) Apply(what string, at int) (arrived Flight, ok bool) {
	f := a.Flying[at]
	switch what {
	case "double":
		a.Doubles--
		a.Flying = slices.Insert(a.Flying, at, f)
		return Flight{}, false
	case "drop":
		a.Drops--
	}
	a.Flying = slices.Delete(a.Flying, at, at+1)
	return f, what == "deliver"
}

// Move reads a move's name, if it is one of those that can be made.
func Move(move string, moves []string) (what string, at int, ok bool) {
	n, _ := fmt.Sscan(move, &what, &at)
	return what, at, n == 2 && slices.Contains(moves, move)
}
