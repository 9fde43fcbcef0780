package woodpick

import (
	"fmt"
	"testing"
	"time"
)

// A server that starts anew takes calls at once, though calls to its earlier life are unanswered: their silence is not its own,
// and what becomes of them is not told of it.
func TestAServerThatStartsAnewOwesNothing(t *testing.T) {
	b, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	list := servers(1)
	now := 100 * time.Second
	b.Handle(now, ServerList{Full: true, Servers: list})
	var hanging []Send
	for i := range 3 {
		hanging = append(hanging, sends(b.Handle(now, Request{ID: fmt.Sprint("hangs", i), Class: "get", Deadline: now + time.Hour}))...)
	}
	if len(hanging) != 3 {
		t.Fatalf("%d of 3 calls were sent", len(hanging))
	}
	now += time.Second
	list[0].Boot = now
	b.Handle(now, ServerList{Servers: list})
	s := b.servers[list[0].ID]
	if s.calls != 0 || b.silent(s) || !s.idle() {
		t.Errorf("the new life has %d calls, silent %v", s.calls, b.silent(s))
	}
	for _, h := range hanging {
		b.Handle(now, Outcome{ID: h.ID, Server: h.Server, Ending: Broken, Ended: true})
	}
	if s.calls != 0 || s.streak != 0 || s.room != 0 || b.inFlight != 0 {
		t.Errorf("the ends of calls to the earlier life are told of the new one: %d calls, %d bad endings in a row", s.calls, s.streak)
	}
	if b.servers[list[0].ID] != s || len(b.servers) != 1 {
		t.Error("the end of the earlier life's calls has taken the new one from the list")
	}
	if got := sends(b.Handle(now+b.set.WarmAfter, Request{ID: "next", Class: "get", Deadline: now + time.Hour})); len(got) != 1 {
		t.Errorf("the next call was sent %d times", len(got))
	}
}
