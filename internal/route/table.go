package route

import "strings"

// Table selects the pools of requests. It is created by Compile and is immutable.
type Table struct {
	cells map[cellKey]*cell
	pools []string // sorted
}

// Request holds the properties of a request that routes can match.
type Request struct {
	Listener string // name
	Class    string // name
	Host     string // as sent by the client, with or without a port
	Path     string // normalized, without the query
	Headers  Headers
	// HashKey selects one of several pools. It is the same for requests that must reach the same servers, such as those with the
	// same idempotency key.
	HashKey string
}

// Headers are the headers of a request. http.Header implements it.
type Headers interface {
	// Values returns the values of a header by its canonical name (textproto.CanonicalMIMEHeaderKey).
	Values(name string) []string
}

// Choice is the result of routing a request.
type Choice struct {
	Pool  string
	Route int // index of the matched route in the routes given to Compile
}

// maxHostLength is the maximum length of a DNS name, in octets (RFC 1035 section 2.3.4).
const maxHostLength = 255

// Choose returns the pool and route for a request, and false if no route matches it.
func (t *Table) Choose(request *Request) (Choice, bool) {
	cell := t.cells[cellKey{listener: request.Listener, class: request.Class}]
	if cell == nil {
		return Choice{}, false
	}
	chosen := cell.choose(request)
	if chosen == nil {
		return Choice{}, false
	}
	pool := t.pools[chosen.split.choose(request.HashKey)]
	return Choice{Pool: pool, Route: chosen.route}, true
}

// cell returns the cell of a key, which it creates if there is none.
func (t *Table) cell(key cellKey) *cell {
	c := t.cells[key]
	if c == nil {
		c = newCell()
		t.cells[key] = c
	}
	return c
}

// hostName returns a host in lower case, without its port and without a trailing dot.
func hostName(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.Contains(h[i:], "]") {
		h = h[:i]
	}
	h = strings.TrimSuffix(h, ".")
	for i := range len(h) {
		if 'A' <= h[i] && h[i] <= 'Z' {
			return strings.ToLower(h)
		}
	}
	return h
}
