// Package route decides which pool a request goes to, and brings paths to the one form that routes are matched against.
//
// A Table is compiled from the routes of a configuration, completely or not at all, and never changes. The package promises
// that the same request gets the same pool from it every time, on every node, and that routes that are ambiguous or can
// never match do not compile. It does no I/O, has no clock and draws nothing; classes, listeners and pools themselves are
// left to package config.
package route

// Route says which requests go to which pools. What it leaves empty holds for all; what it lists holds for any
// of the list; all that it lists must hold.
type Route struct {
	Name      string   `json:"name"`
	Default   bool     `json:"default,omitempty"`   // for the requests that no other route takes
	Listeners []string `json:"listeners,omitempty"` // names
	Classes   []string `json:"classes,omitempty"`   // names
	Hosts     []string `json:"hosts,omitempty"`     // "a.example", or "*.example" for all below it
	Paths     []string `json:"paths,omitempty"`     // "/view/a", or "/view/*" for it and all below it
	Headers   []Header `json:"headers,omitempty"`
	To        []Target `json:"to"`
}

// Header is a header that a request must carry: with a value, or with any value if Equals is nil.
type Header struct {
	Name   string  `json:"name"`
	Equals *string `json:"equals,omitempty"`
}

// Target is a pool with its share of a route's requests among the weights of all of the route's targets.
type Target struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// MaxWeight is the highest weight that is allowed.
const MaxWeight = 1_000_000

// noRoute is an index for no single route.
const noRoute = -1

// Problem is what is wrong with routes. Its message names the other route where two are concerned.
type Problem struct {
	Route   int    // index of the route at fault; -1: no single one is
	Field   string // of the route; empty: the route as a whole
	Class   string // for a class that no route serves
	Message string
	Other   int // index of the other route concerned; -1: none
}

// String returns the message.
func (p Problem) String() string { return p.Message }

// Names are what the routes of a configuration may refer to.
type Names struct {
	Listeners, Classes, Pools []string
}
