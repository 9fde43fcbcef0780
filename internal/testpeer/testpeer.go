// Package testpeer holds what tests and tools share: stand-ins for servers, for the registry's agent and for
// clients, all on loopback. They do what they are told, faults included, and count what reached them; the
// node knows nothing of them.
package testpeer

import "time"

// Limit is how long a test waits for what must come; only a failing one waits so long.
const Limit = 30 * time.Second

// TB is the part of testing.TB that the stand-ins need.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
	Cleanup(func())
}

// Receive takes what comes on a channel.
func Receive[T any](t TB, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(Limit):
		t.Fatalf("%s: nothing came", what)
	}
	return v
}

// Until waits for a condition.
func Until(t TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Limit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, Limit)
		}
	}
}
