package route

import "strings"

// Table chooses pools. It is made by Compile and never changes.
type Table struct {
	cells map[cellKey]*cell
	pools []string // sorted
}

// Request is what a route may look at.
type Request struct {
	Listener string // name
	Class    string // name
	Host     string // as the client named it, with or without a port
	Path     string // in its plain form, without the query
	Headers  Headers
	// Draw settles which of several pools takes the request: it is the same for requests that must reach the same servers,
	// as those with one idempotency key.
	HashKey string
}

// Headers are the headers of a request. http.Header is an implementation.
type Headers interface {
	// Values returns the values of a header by its canonical name (textproto.CanonicalMIMEHeaderKey).
	Values(name string) []string
}

// Choice is where a request goes.
type Choice struct {
	Pool  string
	Route int // index of the route that took the request, among those given to Compile
}

// maxHostLength is the length of the longest name that the DNS has, in octets (RFC 1035 section 2.3.4).
const maxHostLength = 255

// Choose returns where a request goes; false if no route takes it.
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

// cell returns the cell of a key, made if it is the first of it.
func (t *Table) cell(key cellKey) *cell {
	c := t.cells[key]
	if c == nil {
		c = newCell()
		t.cells[key] = c
	}
	return c
}

// hostName is a host in lower case and without its port.
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
