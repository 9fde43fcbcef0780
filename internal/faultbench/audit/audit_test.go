package audit

import (
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/world"
)

const ms = time.Millisecond

// sound is a request that was served by the one server that it was sent to.
func sound(a *Audit, id string, unsafe bool) *Attempt {
	a.Ask(Call{ID: id, Unsafe: unsafe, At: 10 * ms, Aim: 100 * ms, Deadline: 200 * ms})
	t := a.Send(id, "s1", 0, false, 20*ms)
	a.Run(t)
	a.Over(t, 50*ms, "served")
	a.Hear(id, Served, 51*ms, "")
	return t
}

// Each breach is planted in a run that is otherwise sound, and is found, once.
func TestEveryBreachIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		plant func(*Audit)
		rule  string
		words string
	}{
		"none": {func(*Audit) {}, "", ""},
		"no answer": {func(a *Audit) {
			a.Ask(Call{ID: "x", At: 10 * ms, Aim: 100 * ms, Deadline: 200 * ms})
		}, "answer", "x got no answer"},
		"late": {func(a *Audit) {
			a.Ask(Call{ID: "x", At: 10 * ms, Aim: 100 * ms, Deadline: 200 * ms})
			a.Hear("x", Failed, 800*ms, "")
		}, "answer", "after its time"},
		"two answers": {func(a *Audit) {
			sound(a, "x", false)
			a.Hear("x", Refused, 60*ms, "1")
		}, "answer", "refused after served"},
		"a connection that ended": {func(a *Audit) {
			a.Ask(Call{ID: "x", At: 10 * ms, Aim: 100 * ms, Deadline: 200 * ms})
			a.Hear("x", Broken, 20*ms, "EOF")
		}, "answer", "its connection ended"},
		"a refusal that does not say when": {func(a *Audit) {
			a.Ask(Call{ID: "x", At: 10 * ms, Aim: 100 * ms, Deadline: 200 * ms})
			a.Hear("x", Refused, 20*ms, "")
		}, "answer", "no word of when"},
		"served by nobody": {func(a *Audit) {
			a.Ask(Call{ID: "x", At: 10 * ms, Aim: 100 * ms, Deadline: 200 * ms})
			a.Hear("x", Served, 20*ms, "")
		}, "answer", "no server ran it"},
		"asked by nobody": {func(a *Audit) { a.Send("x", "s1", 0, false, 20*ms) }, "answer", "nobody asked for it"},
		"unsafe twice": {func(a *Audit) {
			sound(a, "x", true)
			a.Run(a.Send("x", "s2", 1, false, 90*ms))
		}, "once", "ran 2 times"},
		"two attempts at once": {func(a *Audit) {
			sound(a, "x", false)
			second := a.Send("x", "s2", 1, false, 25*ms)
			a.Over(second, 60*ms, "served")
		}, "once", "while an attempt at s1 was out"},
		"two attempts at once, the later one noted first": {func(a *Audit) {
			a.Ask(Call{ID: "x", At: 10 * ms, Aim: 100 * ms, Deadline: 200 * ms})
			later := a.Send("x", "s2", 1, false, 100*ms)
			a.Run(later)
			a.Over(later, 120*ms, "served")
			held := a.Send("x", "s1", 0, false, 20*ms) // it lay in a link that was cut
			a.Over(held, 150*ms, "given up")
			a.Hear("x", Served, 121*ms, "")
		}, "once", "sent to s2 while an attempt at s1"},
		"refused though it ran": {func(a *Audit) {
			a.Ask(Call{ID: "x", Unsafe: true, At: 10 * ms, Aim: 100 * ms, Deadline: 200 * ms})
			r := a.Send("x", "s1", 0, false, 20*ms)
			a.Run(r)
			a.Over(r, 50*ms, "error")
			a.Hear("x", Refused, 51*ms, "1")
		}, "once", "refused though it ran"},
		"sent to one that drains": {func(a *Audit) {
			a.Told(0, "s1", 10*ms)
			a.Ask(Call{ID: "x", At: 2000 * ms, Aim: 100 * ms, Deadline: 200 * ms})
			r := a.Send("x", "s1", 0, false, 2000*ms)
			a.Run(r)
			a.Over(r, 2010*ms, "served")
			a.Hear("x", Served, 2011*ms, "")
		}, "drain", "after it was told"},
		"a cold server": {func(a *Audit) {
			s := world.NewServer(experiment.Servers{Slots: 1, Service: 100 * ms, ColdFrom: 0.2, ColdOver: time.Minute}, "s1", "a", 0, 1)
			for range 30 {
				s.Arrive(ms, &world.Job{})
			}
			a.LifeOver(s, 10*ms)
		}, "cold", "s1 got more than it could bear"},
	} {
		a := New()
		sound(a, "fine", true)
		a.Told(0, "s1", 15*ms) // a drain that was told a moment ago is none yet
		c.plant(a)
		got := a.Breaches(0)
		if c.rule == "" && len(got) > 0 || c.rule != "" && (len(got) != 1 || got[0].Rule != c.rule || !strings.Contains(got[0].Words, c.words)) {
			t.Errorf("%s: found %v; want one of %q with %q", name, got, c.rule, c.words)
		}
	}
}

// What a node does not do while it is killed or stopped is not its fault; what runs twice is.
func TestWhatIsExcused(t *testing.T) {
	a := New()
	a.Excuse(Excuse{Node: 1, From: 100 * ms, To: 300 * ms})
	a.Ask(Call{ID: "x", Node: 1, At: 150 * ms, Aim: 100 * ms, Deadline: 200 * ms})
	a.Ask(Call{ID: "y", Node: 2, At: 150 * ms, Aim: 100 * ms, Deadline: 200 * ms})
	a.Ask(Call{ID: "z", Node: 1, Unsafe: true, At: 150 * ms, Aim: 100 * ms, Deadline: 200 * ms})
	for _, at := range []time.Duration{160 * ms, 200 * ms} {
		r := a.Send("z", "s1", 0, false, at)
		a.Run(r)
		a.Over(r, at+5*ms, "reset")
	}
	got := a.Breaches(0)
	if len(got) != 2 || got[0].Call != "z" || got[1].Call != "y" {
		t.Errorf("found %v; want z, which ran twice, and y, which nobody answered", got)
	}
}
