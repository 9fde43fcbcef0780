// Package testpeer provides fake servers, clients and registry agents on loopback for tests and tools. They behave as
// scripted, injected faults included, and count what they receive. The node does not depend on this package.
package testpeer

import "time"

// Limit is how long tests wait for an expected event. Only a failing test waits this long.
const Limit = 30 * time.Second

// TB is the subset of testing.TB that this package needs.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
	Cleanup(func())
}

// Receive returns the next value from a channel, and fails the test if none arrives within Limit.
func Receive[T any](t TB, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(Limit):
		t.Fatalf("%s: no value received", what)
	}
	return v
}

// Until waits until ok returns true, and fails the test if it does not within Limit.
func Until(t TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Limit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: condition not met within %v", what, Limit)
		}
	}
}
