package downstream

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damsontrestle/internal/clock"
)

// fake is a connection that notes what is done to it.
type fake struct {
	name  string
	begun bool
	cut   bool
	quiet time.Duration
	done  *[]string
}

func (f *fake) CloseIdle() bool {
	if f.begun {
		return false
	}
	*f.done = append(*f.done, f.name+" let go")
	return true
}

func (f *fake) CutOff()        { f.cut = true; *f.done = append(*f.done, f.name+" cut off") }
func (f *fake) IsCut() bool    { return f.cut }
func (f *fake) HasBegun() bool { return f.begun }
func (f *fake) Owes() bool     { return f.begun }

func (f *fake) Quiet() time.Duration { return f.quiet }
func (f *fake) Abort() error         { *f.done = append(*f.done, f.name+" closed"); return nil }

func newSet(room int, servers int) *Set {
	s := New(clock.New(), Share{Capacity: room, Minimum: room / 4, Spare: 100}, func() int { return servers })
	s.SetGrace(Graces{})
	return s
}

// When there are too many, those that are of least use to a good client go first: answered for good, then half a
// request, then silent, then idle. One with a request that is open never does.
func TestEvictionOrder(t *testing.T) {
	var done []string
	s := newSet(100, 0)
	add := func(name string, begun bool, p Phase) *fake {
		f := &fake{name: name, begun: begun, done: &done}
		s.Add(f, nil)
		if p == Open {
			s.Begin(f)
		} else if p != Silent {
			s.Move(f, p)
		}
		return f
	}
	add("idle", false, Idle)
	add("silent", false, Silent)
	add("half", true, Silent)
	add("reading", false, Reading)
	add("lingering", false, Lingering)
	add("open", true, Open)
	add("next request", true, Idle)
	for room := 14; room >= 2; room -= 2 { // clients may have half of it
		s.Resize(Share{Capacity: room, Minimum: room / 2, Spare: 100})
	}
	want := []string{"lingering closed", "half cut off", "reading cut off", "silent let go", "idle let go"}
	if len(done) < len(want) || !slices.Equal(done[:1], want[:1]) || !slices.Contains(done[1:4], "half cut off") || !slices.Contains(done[1:4], "reading cut off") ||
		!slices.Equal(done[len(done)-2:], want[3:]) {
		t.Errorf("%v", done)
	}
}

// Of two clients with half a request each, the one that has stopped sending goes, though the other began before it.
func TestSlowClientIsKeptSilentOneIsEvicted(t *testing.T) {
	var done []string
	s := newSet(100, 0)
	s.SetGrace(Graces{Half: time.Minute})
	slow := &fake{name: "slow", begun: true, quiet: time.Second, done: &done}
	silent := &fake{name: "silent", begun: true, quiet: time.Hour, done: &done}
	s.Add(slow, nil)
	s.Add(silent, nil)
	for _, a := range s.conns {
		a.since -= 2 * time.Hour
	}
	s.Resize(Share{Capacity: 2, Minimum: 1, Spare: 100})
	if !slices.Equal(done, []string{"silent cut off"}) {
		t.Errorf("%v", done)
	}
}

// Requests that are open count, not connections; beyond what servers' connections are kept for, more are
// refused, and so are those of a connection that was to be cut off.
func TestRequestsThatAreOpen(t *testing.T) {
	var done []string
	s := newSet(8, 0)
	f, other := &fake{name: "f", done: &done}, &fake{name: "other", done: &done}
	s.Add(f, nil)
	s.Add(other, nil)
	for i := range 4 {
		if !s.Begin(f) {
			t.Fatalf("request %d is refused", i)
		}
	}
	if s.Begin(other) {
		t.Error("a fifth request of four that may be open")
	}
	s.Move(other, Idle)
	for want := 3; want >= 0; want-- {
		if left := s.End(f); left != want {
			t.Errorf("%d left, want %d", left, want)
		}
	}
	if s.End(f) != 0 {
		t.Error("more ends than requests")
	}
	other.cut = true
	if s.Begin(other) {
		t.Error("a connection that was cut off")
	}
	if s.Begin(&fake{}) {
		t.Error("a connection that nobody added")
	}
	s.Remove(other)
	s.Remove(f)
	if s.Open() != 0 || s.opened != 0 || s.leaving != 0 {
		t.Errorf("%d held, %d open, %d leaving", s.Open(), s.opened, s.leaving)
	}
}

// A front end lets go its own only.
func TestCloseQuiet(t *testing.T) {
	var done []string
	s := newSet(1000, 0)
	for i := range 6 {
		f := &fake{name: fmt.Sprint(i), done: &done}
		s.Add(f, i%2)
		if i < 4 {
			s.Move(f, Idle)
		}
		if i == 2 {
			s.Begin(f)
		}
	}
	if left := s.CloseQuiet(0); left != 3 || !slices.Equal(slices.Sorted(slices.Values(done)), []string{"0 let go", "4 let go"}) {
		t.Errorf("%d left, %v", left, done)
	}
}

// One that has been so for a moment only is spared, unless descriptors are about to run out.
func TestGraces(t *testing.T) {
	var done []string
	s := New(clock.New(), Share{Capacity: 4, Minimum: 4, Spare: 2}, func() int { return 0 })
	s.SetGrace(Graces{Lingering: time.Hour, Silent: time.Hour, Half: time.Hour, Idle: time.Hour})
	for i := range 4 {
		f := &fake{name: fmt.Sprint(i), done: &done}
		s.Add(f, nil)
		s.Move(f, Idle)
	}
	if len(done) != 0 || !s.NearLimit() || s.Full() {
		t.Errorf("%v, crowded %v, full %v", done, s.NearLimit(), s.Full())
	}
	for i := range 2 {
		s.Add(&fake{name: fmt.Sprint("more", i), done: &done}, nil)
	}
	if !s.Full() {
		t.Error("not full with all and the spare ones held")
	}
}

// racingConn begins a request in the moment in which it is asked whether it has.
type racingConn struct{ fake }

func (c *racingConn) HasBegun() bool {
	was := c.begun
	c.begun = true
	return was
}

// A request whose first bytes come while quiet connections are closed is read: it is not cut off.
func TestClosingQuietConnectionsCutsNoRequest(t *testing.T) {
	var done []string
	s := newSet(100, 0)
	c := &racingConn{fake{name: "crossed", done: &done}}
	s.Add(c, nil)
	begun := &fake{name: "begun", begun: true, done: &done}
	s.Add(begun, nil)
	if left := s.CloseQuiet(nil); left != 2 || c.cut || begun.cut {
		t.Errorf("%d left, %v", left, done)
	}
}
