package metrics

import (
	"runtime"
	"testing"
)

// The parts of the process's memory can be told apart: bytes in use and goroutines' stacks.
func TestMemoryShowsWhatIsInUse(t *testing.T) {
	const size, goroutines = 32 << 20, 1000
	runtime.GC()
	before := ReadMemory()
	kept := make([]byte, size)
	for i := range kept {
		kept[i] = 1
	}
	stop := make(chan struct{})
	defer close(stop)
	for range goroutines {
		go func() { <-stop }()
	}
	runtime.GC()
	after := ReadMemory()
	if after.Live < before.Live+size || after.Anonymous < before.Anonymous+size/2 || after.Runtime < after.Live || after.Objects < size {
		t.Errorf("%d bytes more in use: %+v, before %+v", size, after, before)
	}
	if after.Goroutines < before.Goroutines+goroutines || after.Stacks <= before.Stacks || after.Collections <= before.Collections {
		t.Errorf("%d goroutines more: %+v, before %+v", goroutines, after, before)
	}
	runtime.KeepAlive(kept)
}
