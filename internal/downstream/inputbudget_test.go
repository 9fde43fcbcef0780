package downstream

import "testing"

// startBody begins a body that counts how often it is aborted.
func startInput(b *InputBudget, aborts *int) *InputReservation {
	return b.Begin(func() { *aborts++ })
}

// A body that is still being received gives way to others, the one begun first; a complete one does not.
func TestInputBudgetEvictsOldestIncompleteBody(t *testing.T) {
	b := newInputBudget()
	b.resize(100)
	var aborts [4]int
	complete, oldest, older, newest := startInput(b, &aborts[0]), startInput(b, &aborts[1]), startInput(b, &aborts[2]), startInput(b, &aborts[3])
	if !complete.Grow(30) || !complete.Complete() || !oldest.Grow(30) || !older.Grow(30) {
		t.Fatal("bodies within the limit were refused")
	}
	if !newest.Grow(20) || aborts != [4]int{0, 1, 0, 0} {
		t.Errorf("aborted %v, want only the incomplete body that began first", aborts)
	}
	if oldest.Grow(1) || oldest.Complete() {
		t.Error("an evicted body went on")
	}
	if newest.Grow(80) || aborts != [4]int{0, 1, 0, 0} {
		t.Errorf("aborted %v; a body that has no room even so must not evict any", aborts)
	}
	if !newest.Grow(40) || aborts != [4]int{0, 1, 1, 0} {
		t.Errorf("aborted %v, want the second incomplete body too", aborts)
	}
	for _, r := range []*InputReservation{complete, oldest, older, newest, newest} {
		r.Release()
	}
	if used, evictions := b.Used(); used != 0 || evictions != 2 || b.receiving.Len() != 0 {
		t.Errorf("%d bytes used, %d evictions, %d bodies left; want 0, 2, 0", used, evictions, b.receiving.Len())
	}
}

// Without a limit every body has room.
func TestInputBudgetWithoutLimit(t *testing.T) {
	b := newInputBudget()
	var aborts int
	first, second := startInput(b, &aborts), startInput(b, &aborts)
	if !first.Grow(1<<40) || !second.Grow(1<<40) || aborts > 0 {
		t.Errorf("a body was refused, %d aborted", aborts)
	}
}
