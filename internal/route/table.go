package route

import (
	"net/textproto"
	"strings"
)

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
	// Draw settles which of several pools: it stays the same for requests that must meet the same servers, as
	// those with one idempotency key.
	Draw string
}

// Headers tells the values of headers. http.Header is one.
type Headers interface {
	// Values of a header by its canonical name (textproto.CanonicalMIMEHeaderKey).
	Values(name string) []string
}

// Choice is where a request goes.
type Choice struct {
	Pool  string
	Route int // index of the route that took the request, among those given to Compile
}

const maxHostLength = 255

// Choose tells which pool a request goes to; false if no route takes it.
func (t *Table) Choose(c *Request) (Choice, bool) {
	cell := t.cells[cellKey{c.Listener, c.Class}]
	if cell == nil {
		return Choice{}, false
	}
	r := cell.choose(c)
	if r == nil {
		return Choice{}, false
	}
	return Choice{Pool: t.pools[r.split.choose(c.Draw)], Route: r.route}, true
}

func (t *Table) cell(k cellKey) *cell {
	c := t.cells[k]
	if c == nil {
		c = &cell{exact: map[string]*pathRules{}, below: map[string]*pathRules{}, anyHost: newPathRules()}
		t.cells[k] = c
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

func canonicalHeader(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }
