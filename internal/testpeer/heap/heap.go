// Package heap tells tests how much memory is reachable. It stands apart from the other stand-ins, which know the
// decision module, so that the module's own tests can use it.
package heap

import "runtime"

// Reachable is how many bytes of the heap are reachable now.
func Reachable() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the first only queues what finalizers hold
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
