// Package route selects the pool for each request, and normalizes the paths that routes are matched against.
//
// A Table is compiled from the routes of a configuration, completely or not at all, and is immutable. It selects the same
// pool for the same request every time and on every node, and routes that are ambiguous or can never match do not compile.
// The package does no I/O and uses no clock and no random numbers; classes, listeners and pools are defined in package
// config.
package route

// Route selects the pools for the requests that match all its conditions. A condition with several values matches a
// request with any of them; an empty condition matches every request.
type Route struct {
	Name      string   `json:"name"`
	Default   bool     `json:"default,omitempty"`   // matches the requests that match no other route
	Listeners []string `json:"listeners,omitempty"` // names
	Classes   []string `json:"classes,omitempty"`   // names
	Hosts     []string `json:"hosts,omitempty"`     // "a.example", or "*.example" for all its subdomains
	Paths     []string `json:"paths,omitempty"`     // "/view/a", or "/view/*" for "/view" and all paths below it
	Headers   []Header `json:"headers,omitempty"`
	To        []Target `json:"to"`
}

// Header is a condition on a request header: the header must be present, with the value Equals unless that is nil.
type Header struct {
	Name   string  `json:"name"`
	Equals *string `json:"equals,omitempty"`
}

// Target is a pool of a route. It gets the share of the route's requests that its weight has in the sum of all weights.
type Target struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// MaxWeight is the maximum weight of a target.
const MaxWeight = 1_000_000

// noRoute is the index used if a problem does not concern a single route.
const noRoute = -1

// Problem is an error in the routes of a configuration. Its message names the other route if two are involved.
type Problem struct {
	Route   int    // index of the invalid route, or -1 if no single route is
	Field   string // of the route, or "" if no single field is invalid
	Class   string // set for a class that no route serves
	Message string
	Other   int // index of the other route involved, or -1
}

// String returns the message.
func (p Problem) String() string { return p.Message }

// Names are the listeners, classes and pools that the routes of a configuration may refer to.
type Names struct {
	Listeners, Classes, Pools []string
}
