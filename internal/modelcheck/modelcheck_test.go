package modelcheck

import (
	"fmt"
	"strings"
	"testing"
)

// counter is a system of two cells that each go up to a bound; a defect makes some sum wrong.
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
		return fmt.Errorf("%d and %d", c.a, c.b)
	}
	return nil
}

func (c counter) Settle() error {
	if c.stuck && c.a > 1 {
		return fmt.Errorf("%d never falls", c.a)
	}
	return nil
}

func TestSearchVisitsEveryStateOnce(t *testing.T) {
	r, b := Search(counter{limit: 9}, 1000, 1)
	if b != nil || !r.Complete || r.States != 100 || r.Depth < 18 {
		t.Errorf("%+v, %v; want all of a hundred states", r, b)
	}
	if r, _ := Search(counter{limit: 9}, 50, 0); r.Complete || r.States != 50 {
		t.Errorf("%+v; want it to end at fifty", r)
	}
}

func TestBreachIsFoundAndShortened(t *testing.T) {
	wrong := counter{limit: 9, violates: func(a, b int) bool { return a == 4 && b == 1 }}
	if _, b := Search(wrong, 1000, 0); b == nil || len(b.Script) != 5 {
		t.Errorf("%v; want five steps", b)
	}
	found := 0
	for seed := range uint64(20) {
		if _, b := Walk(wrong, seed, 400); b != nil {
			found++
			if len(b.Script) > 8 || !strings.Contains(b.Error(), "4 and 1") {
				t.Errorf("%v; want at most three steps more than the five that it takes", b)
			}
			if err, played := Play(wrong, b.Script); err == nil || !played {
				t.Errorf("its script leads to %v", err)
			}
		}
	}
	if found == 0 {
		t.Error("twenty walks of 400 steps found nothing")
	}
	if _, b := Search(counter{limit: 9, stuck: true}, 1000, 1); b == nil || len(b.Script) != 2 {
		t.Errorf("%v; want the two steps after which something never comes about", b)
	}
	if _, played := Play(wrong, []string{"a", "c"}); played {
		t.Error("a move that can't be made was played")
	}
}
