// Package modelcheck plays machines without I/O through orders of what can happen to them: for small systems all orders, with
// states that were seen before left out; beyond that random walks from a seed. A breach is shortened to the fewest steps
// that still bring it about, and told as a script. It is for tests and tools, never in the node.
package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// State is one state of a system. Its methods must not change it, but for what Apply returns.
type State interface {
	// Moves are what can happen next, in an order that depends on the state alone. Each is named so that a script of
	// names can be played again.
	Moves() []string
	// Apply is the state after a move. false: the move can't happen here.
	Apply(move string) (State, bool)
	// Key tells states apart: two of one key have the same future.
	Key() string
	// Check tells what is wrong with the state; nil: nothing.
	Check() error
}

// Settler is a State that knows what must come about in the end: Settle plays on in a fair order, with nothing lost from
// here on, and tells what has still not come about after a bound.
type Settler interface{ Settle() error }

// Breach is a script that leads from the start to what is wrong.
type Breach struct {
	Script []string
	Err    error
}

func (b *Breach) Error() string {
	return fmt.Sprintf("%v\nafter:\n\t%s", b.Err, strings.Join(b.Script, "\n\t"))
}

// Result is what a search has seen.
type Result struct {
	States   int  // that differ
	Moves    int  // that were made
	Depth    int  // of the deepest state
	Complete bool // nothing is left that was not tried
}

// node is a state and how it was come to.
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

// Search tries every order from the start, the shortest first, up to a number of different states. The first breach that
// it meets is one of the shortest. Every settleEvery-th state that is a Settler is settled too; 0: none is.
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

// Walk makes random moves from the start, and settles where the walk ends. A breach is told as it was met: Shorten shortens
// it.
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

// Walks makes one walk for each seed from the first on, until one meets a breach.
func Walks(start State, first uint64, walks, steps int) (seed uint64, breach *Breach) {
	for k := range walks {
		seed = first + uint64(k)
		if _, breach = Walk(start, seed, steps); breach != nil {
			return seed, breach
		}
	}
	return seed, nil
}

// Play plays a script and tells what is wrong at its end, or on the way; played: every move could be made.
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

// Shorten leaves out of a script what the breach does not need: runs of half its length, then of a quarter, down to
// single moves (Zeller and Hildebrandt's delta debugging), until none can go.
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
