// Package heap measures reachable memory for tests. It is separate from package testpeer, which imports the decision
// module, so that the module's own tests can use it.
package heap

import "runtime"

// Reachable returns the number of reachable heap bytes.
func Reachable() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the first run only queues finalizers, whose objects are still held
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
