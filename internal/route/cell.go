package route

import (
	"slices"
	"strings"
)

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
