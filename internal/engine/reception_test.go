package engine

import (
	"testing"
	"time"
)

// Guards against a late answer to an upload: what its client sent last waits to be received for longer than the client does.
func TestReceptionIsOverdueOnceItsInputHasWaited(t *testing.T) {
	const clientTime = 2 * time.Second
	for waited, overdue := range map[time.Duration]bool{0: false, clientTime - time.Millisecond: false, clientTime: true} {
		reception := NewReception(0, func() time.Duration { return waited })
		if reception.IsOverdue(clientTime) != overdue {
			t.Errorf("input that has waited for %v: overdue %v, want %v", waited, !overdue, overdue)
		}
	}
	var none *Reception
	if none.IsOverdue(clientTime) {
		t.Error("a request without a rest is overdue")
	}
}
