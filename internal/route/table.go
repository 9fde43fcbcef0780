package route

import (
	"net/textproto"
	"slices"
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

const maxHost = 255

type cellKey struct{ listener, class string }

// cell holds the rules for one listener and class.
type cell struct {
	exact    map[string]*byPath // by host
	below    map[string]*byPath // by the name below which all match, with its dot in front
	any      *byPath
	fallback *rule // the default
}

// byPath holds the rules for one pattern of hosts.
type byPath struct {
	exact map[string][]*rule
	below map[string][]*rule // by the path below which all match
	any   []*rule
	depth int // segments of the longest in below
}

func (t *Table) cell(k cellKey) *cell {
	c := t.cells[k]
	if c == nil {
		c = &cell{exact: map[string]*byPath{}, below: map[string]*byPath{}, any: newByPath()}
		t.cells[k] = c
	}
	return c
}

func newByPath() *byPath { return &byPath{exact: map[string][]*rule{}, below: map[string][]*rule{}} }

func (c *cell) add(r *rule) {
	if r.rank.host < 0 {
		c.fallback = r
		return
	}
	b := c.any
	if r.host != "" {
		in, name := c.exact, r.host
		if below, ok := strings.CutPrefix(r.host, "*"); ok {
			in, name = c.below, below
		}
		if b = in[name]; b == nil {
			b = newByPath()
			in[name] = b
		}
	}
	switch below, is := strings.CutSuffix(r.path, "/*"); {
	case r.path == "":
		b.any = append(b.any, r)
	case is:
		b.below[below] = append(b.below[below], r)
		b.depth = max(b.depth, strings.Count(below, "/"))
	default:
		b.exact[r.path] = append(b.exact[r.path], r)
	}
}

// each goes over the lists of rules that share host and path.
func (c *cell) each(f func([]*rule)) {
	c.eachHost(func(b *byPath) {
		for _, l := range b.exact {
			f(l)
		}
		for _, l := range b.below {
			f(l)
		}
		f(b.any)
	})
}

func (c *cell) eachHost(f func(*byPath)) {
	for _, b := range c.exact {
		f(b)
	}
	for _, b := range c.below {
		f(b)
	}
	f(c.any)
}

// sort puts the best rule of each list first.
func (c *cell) sort() {
	c.each(func(l []*rule) {
		slices.SortStableFunc(l, func(a, b *rule) int { return b.rank.compare(a.rank) })
	})
}

// compare finds the rules of the same rank that one request could match, and for each rule one that takes all
// that it would. Only rules that share host and path can do either: of patterns that differ, the narrower
// one leaves the wider requests that it does not match, and has the greater rank.
func (c *cell) compare(overlap func(a, b *rule)) {
	c.each(func(l []*rule) {
		for i, r := range l {
			for _, better := range l[:i] {
				if better.rank == r.rank && meet(better.headers, r.headers) {
					overlap(better, r)
				}
				if r.taken == nil && implied(better.headers, r.headers) {
					r.taken = better
				}
			}
		}
	})
}

// meet says that one request may carry what both ask for.
func meet(a, b []Header) bool {
	for _, x := range a {
		for _, y := range b {
			if x.Name == y.Name && x.Equals != nil && y.Equals != nil && *x.Equals != *y.Equals {
				return false
			}
		}
	}
	return true
}

// implied says that whatever carries the headers of b carries those of a.
func implied(a, b []Header) bool {
	return !slices.ContainsFunc(a, func(x Header) bool {
		return !slices.ContainsFunc(b, func(y Header) bool {
			return x.Name == y.Name && (x.Equals == nil || y.Equals != nil && *x.Equals == *y.Equals)
		})
	})
}

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
	return Choice{Pool: t.pools[r.to.choose(c.Draw)], Route: r.route}, true
}

// choose tries the hosts' patterns from the narrowest to the widest, within each the paths'.
func (c *cell) choose(request *Request) *rule {
	if len(c.exact)+len(c.below) > 0 {
		host := hostName(request.Host)
		if b := c.exact[host]; b != nil {
			if r := b.choose(request); r != nil {
				return r
			}
		}
		// A longer name than the DNS has (RFC 1035 section 2.3.4) is below none, and would take long to try.
		for i := range len(host) {
			if len(c.below) == 0 || len(host) > maxHost {
				break
			}
			if i > 0 && host[i] == '.' { // "*.example" takes all below, not the name itself
				if b := c.below[host[i:]]; b != nil {
					if r := b.choose(request); r != nil {
						return r
					}
				}
			}
		}
	}
	if r := c.any.choose(request); r != nil {
		return r
	}
	return c.fallback
}

func (b *byPath) choose(request *Request) *rule {
	if len(b.exact) > 0 {
		if r := first(b.exact[request.Path], request); r != nil {
			return r
		}
	}
	if len(b.below) > 0 {
		// The path itself is the longest prefix of its own, then what is left before each slash.
		path := request.Path
		for n := strings.Count(path, "/"); n > b.depth; n-- {
			path = path[:strings.LastIndexByte(path, '/')]
		}
		for ; path != ""; path = path[:strings.LastIndexByte(path, '/')] {
			if r := first(b.below[path], request); r != nil {
				return r
			}
		}
	}
	return first(b.any, request)
}

// first is the best of rules that share host and path whose headers a request carries.
func first(rules []*rule, request *Request) *rule {
	for _, r := range rules {
		if carries(request.Headers, r.headers) {
			return r
		}
	}
	return nil
}

// carries says that a request has all headers that are asked for. One that comes twice has no one value.
func carries(has Headers, wanted []Header) bool {
	for _, w := range wanted {
		if has == nil {
			return false
		}
		v := has.Values(w.Name)
		if len(v) == 0 || w.Equals != nil && (len(v) > 1 || v[0] != *w.Equals) {
			return false
		}
	}
	return true
}

func canonical(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }

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

// split is how a route's requests are shared among its pools.
type split struct {
	pools []int // indexes into the table's pools, in the order of their names
	ends  []uint64
}

func newSplit(to []Target, pools []string) split {
	to = slices.Clone(to)
	slices.SortFunc(to, func(a, b Target) int { return strings.Compare(a.Pool, b.Pool) })
	var s split
	var sum uint64
	for _, t := range to {
		if t.Weight > 0 {
			sum += uint64(t.Weight)
			i, _ := slices.BinarySearch(pools, t.Pool)
			s.pools, s.ends = append(s.pools, i), append(s.ends, sum)
		}
	}
	return s
}

// choose settles on a pool by what is to be drawn by. Each pool has a run of the whole, so that a weight that
// changes a little moves few.
func (s split) choose(draw string) int {
	if len(s.pools) == 1 {
		return s.pools[0]
	}
	sum := s.ends[len(s.ends)-1]
	at := uint64(float64(hash(draw)>>11) / (1 << 53) * float64(sum))
	i := 0
	for s.ends[i] <= at {
		i++
	}
	return s.pools[i]
}

// hash is FNV-1a with 64 bits, its low bits mixed into the high ones that choose goes by: the same on every
// node and after every start, as a drawn seed would not be.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
