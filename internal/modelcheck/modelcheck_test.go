package modelcheck

import (
	"fmt"
	"strings"
	"testing"
)

// counter is a system of two counters with an upper limit. violates injects an invariant violation, stuck a liveness violation.
type counter struct {
	a, b, limit int
	violates    func(a, b int) bool
	stuck       bool
}

func (c counter) Moves() []string { return []string{"a", "b", "swap"} }

func (c counter) Apply(m string) (State, bool) {
	switch {
	case m == "a" && c.a < c.limit:
		c.a++
	case m == "b" && c.b < c.limit:
		c.b++
	case m == "swap":
		c.a, c.b = c.b, c.a
	default:
		return nil, false
	}
	return c, true
}

func (c counter) Key() string { return fmt.Sprint(c.a, c.b) }

func (c counter) Check() error {
	if c.violates != nil && c.violates(c.a, c.b) {
		return fmt.Errorf("invalid counters: %d and %d", c.a, c.b)
	}
	return nil
}

func (c counter) Settle() error {
	if c.stuck && c.a > 1 {
		return fmt.Errorf("counter stays at %d", c.a)
	}
	return nil
}

func TestSearchVisitsEveryStateOnce(t *testing.T) {
	r, b := Search(counter{limit: 9}, 1000, 1)
	if b != nil || !r.Complete || r.States != 100 || r.Depth < 18 {
		t.Errorf("Search = %+v, %v; want a complete search of 100 states", r, b)
	}
	if r, _ := Search(counter{limit: 9}, 50, 0); r.Complete || r.States != 50 {
		t.Errorf("Search = %+v; want it to stop at 50 states", r)
	}
}

func TestBreachIsFoundAndShortened(t *testing.T) {
	wrong := counter{limit: 9, violates: func(a, b int) bool { return a == 4 && b == 1 }}
	if _, b := Search(wrong, 1000, 0); b == nil || len(b.Script) != 5 {
		t.Errorf("Search found %v; want a breach of 5 moves", b)
	}
	found := 0
	for seed := range uint64(20) {
		if _, b := Walk(wrong, seed, 400); b != nil {
			found++
			if len(b.Script) > 8 || !strings.Contains(b.Error(), "4 and 1") {
				t.Errorf("Walk found %v; want at most 3 moves more than the 5 that are needed", b)
			}
			if err, played := Play(wrong, b.Script); err == nil || !played {
				t.Errorf("replay of the breach's script returned %v", err)
			}
		}
	}
	if found == 0 {
		t.Error("20 walks of 400 steps found no breach")
	}
	if _, b := Search(counter{limit: 9, stuck: true}, 1000, 1); b == nil || len(b.Script) != 2 {
		t.Errorf("Search found %v; want a liveness breach of 2 moves", b)
	}
	if _, played := Play(wrong, []string{"a", "c"}); played {
		t.Error("Play accepted an impossible move")
	}
}
