// Package modelcheck explores the interleavings of events in systems of state machines without I/O. Small systems are searched
// exhaustively, visiting each state once; larger ones are sampled by random walks from a seed. A breach is minimized to a
// short script that still reproduces it. Only tests and tools use the package, never the node.
package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// State is one state of a system. Its methods must not modify the receiver; Apply returns a new state.
type State interface {
	// Moves returns the names of the possible next events, in an order that depends only on the state. A script of names
	// can be replayed.
	Moves() []string
	// Apply returns the state after a move, or false if the move is not possible in this state.
	Apply(move string) (State, bool)
	// Key identifies the state: two states with the same key have the same future.
	Key() string
	// Check returns an error if the state violates an invariant.
	Check() error
}

// Settler is a State with a liveness property. Settle continues from the state in a fair order, without further losses, and
// returns an error if the expected outcome is not reached within a bound.
type Settler interface{ Settle() error }

// Breach is a property violation and the script of moves that leads to it from the start state.
type Breach struct {
	Script []string
	Err    error
}

func (b *Breach) Error() string {
	return fmt.Sprintf("%v\nafter:\n\t%s", b.Err, strings.Join(b.Script, "\n\t"))
}

// Result holds the statistics of a search or a walk.
type Result struct {
	States   int  // distinct states visited
	Moves    int  // moves applied
	Depth    int  // moves to the deepest state
	Complete bool // every reachable state was visited
}

// searchNode is a state and the move that reached it.
type searchNode struct {
	state State
	from  *searchNode
	move  string
	depth int
}

func (n *searchNode) script() (moves []string) {
	for ; n.from != nil; n = n.from {
		moves = append(moves, n.move)
	}
	slices.Reverse(moves)
	return moves
}

// Search explores all interleavings breadth-first from start, up to maxStates distinct states, so the first breach found is
// one of the shortest. It also calls Settle on every settleEvery-th state that is a Settler; 0 disables that.
func Search(start State, maxStates, settleEvery int) (r Result, breach *Breach) {
	queue := []*searchNode{{state: start}}
	seen := map[string]bool{start.Key(): true}
	for len(queue) > 0 {
		n := queue[0]
		queue[0] = nil
		queue = queue[1:]
		r.States++
		r.Depth = max(r.Depth, n.depth)
		err := n.state.Check()
		if s, ok := n.state.(Settler); ok && err == nil && settleEvery > 0 && r.States%settleEvery == 0 {
			err = s.Settle()
		}
		if err != nil {
			return r, Shorten(start, &Breach{n.script(), err})
		}
		if r.States == maxStates {
			return r, nil
		}
		for _, m := range n.state.Moves() {
			next, ok := n.state.Apply(m)
			if !ok {
				continue
			}
			r.Moves++
			if key := next.Key(); !seen[key] && len(seen) < 4*maxStates {
				seen[key] = true
				queue = append(queue, &searchNode{next, n, m, n.depth + 1})
			}
		}
	}
	r.Complete = true
	return r, nil
}

// Walk makes up to steps random moves from start and calls Settle on the last state if it is a Settler. The breach it returns
// is not minimized; see Shorten.
func Walk(start State, seed uint64, steps int) (r Result, breach *Breach) {
	rng := rand.New(rand.NewPCG(seed, 0xe4b107e))
	state := start
	var script []string
	for r.Moves < steps {
		moves := state.Moves()
		if len(moves) == 0 {
			break
		}
		m := moves[rng.IntN(len(moves))]
		next, ok := state.Apply(m)
		if !ok {
			continue
		}
		r.Moves++
		state = next
		script = append(script, m)
		if err := state.Check(); err != nil {
			return r, &Breach{script, err}
		}
	}
	r.Depth = len(script)
	if s, ok := state.(Settler); ok {
		if err := s.Settle(); err != nil {
			return r, &Breach{script, err}
		}
	}
	return r, nil
}

// Walks makes one walk per seed, counting up from first, and stops at the first breach.
func Walks(start State, first uint64, walks, steps int) (seed uint64, breach *Breach) {
	for k := range walks {
		seed = first + uint64(k)
		if _, breach = Walk(start, seed, steps); breach != nil {
			return seed, breach
		}
	}
	return seed, nil
}

// Play replays a script and returns the first error of Check, or that of Settle at the end. played reports whether every
// move up to there was possible.
func Play(start State, script []string) (err error, played bool) {
	state := start
	for _, m := range script {
		next, ok := state.Apply(m)
		if !ok {
			return nil, false
		}
		state = next
		if err := state.Check(); err != nil {
			return err, true
		}
	}
	if s, ok := state.(Settler); ok {
		return s.Settle(), true
	}
	return nil, true
}

// Shorten minimizes a script by delta debugging (Zeller and Hildebrandt): it removes moves that the breach does not need, in
// runs of half the script's length, then a quarter, down to single moves, until no single move can be removed.
func Shorten(start State, b *Breach) *Breach {
	best := &Breach{slices.Clone(b.Script), b.Err}
	for size := max(1, len(best.Script)/2); ; {
		shorter := false
		for begin := 0; begin+size <= len(best.Script); {
			candidate := slices.Concat(best.Script[:begin], best.Script[begin+size:])
			if err, played := Play(start, candidate); played && err != nil {
				best, shorter = &Breach{candidate, err}, true
				continue
			}
			begin++
		}
		if size == 1 && !shorter {
			return best
		}
		if !shorter || size > len(best.Script) {
			size = max(1, size/2)
		}
	}
}
