package route

import (
	"slices"
	"strings"
)

type cellKey struct{ listener, class string }

// cell holds the rules for one listener and class.
type cell struct {
	exact    map[string]*pathRules // by host
	below    map[string]*pathRules // by the name below which all match, with its dot in front
	anyHost  *pathRules
	fallback *rule // the default
}

// pathRules holds the rules for one pattern of hosts.
type pathRules struct {
	exact    map[string][]*rule
	below    map[string][]*rule // by the path below which all match
	anyPath  []*rule
	maxDepth int // segments of the longest in below
}

func newPathRules() *pathRules {
	return &pathRules{exact: map[string][]*rule{}, below: map[string][]*rule{}}
}

func (c *cell) add(r *rule) {
	if r.rank.host < 0 {
		c.fallback = r
		return
	}
	b := c.anyHost
	if r.host != "" {
		in, name := c.exact, r.host
		if below, ok := strings.CutPrefix(r.host, "*"); ok {
			in, name = c.below, below
		}
		if b = in[name]; b == nil {
			b = newPathRules()
			in[name] = b
		}
	}
	switch below, is := strings.CutSuffix(r.path, "/*"); {
	case r.path == "":
		b.anyPath = append(b.anyPath, r)
	case is:
		b.below[below] = append(b.below[below], r)
		b.maxDepth = max(b.maxDepth, strings.Count(below, "/"))
	default:
		b.exact[r.path] = append(b.exact[r.path], r)
	}
}

// eachRuleList goes over the lists of rules that share host and path.
func (c *cell) eachRuleList(f func([]*rule)) {
	c.eachHost(func(b *pathRules) {
		for _, l := range b.exact {
			f(l)
		}
		for _, l := range b.below {
			f(l)
		}
		f(b.anyPath)
	})
}

func (c *cell) eachHost(f func(*pathRules)) {
	for _, b := range c.exact {
		f(b)
	}
	for _, b := range c.below {
		f(b)
	}
	f(c.anyHost)
}

// sort puts the best rule of each list first.
func (c *cell) sort() {
	c.eachRuleList(func(l []*rule) {
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
			if len(c.below) == 0 || len(host) > maxHostLength {
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
	if r := c.anyHost.choose(request); r != nil {
		return r
	}
	return c.fallback
}

func (b *pathRules) choose(request *Request) *rule {
	if len(b.exact) > 0 {
		if r := firstMatch(b.exact[request.Path], request); r != nil {
			return r
		}
	}
	if len(b.below) > 0 {
		// The path itself is the longest prefix of its own, then what is left before each slash.
		path := request.Path
		for n := strings.Count(path, "/"); n > b.maxDepth; n-- {
			path = path[:strings.LastIndexByte(path, '/')]
		}
		for ; path != ""; path = path[:strings.LastIndexByte(path, '/')] {
			if r := firstMatch(b.below[path], request); r != nil {
				return r
			}
		}
	}
	return firstMatch(b.anyPath, request)
}

// firstMatch is the best of rules that share host and path whose headers a request carries.
func firstMatch(rules []*rule, request *Request) *rule {
	for _, r := range rules {
		if matchesHeaders(request.Headers, r.headers) {
			return r
		}
	}
	return nil
}

// matchesHeaders says that a request has all headers that are asked for. One that comes twice has no one value.
func matchesHeaders(has Headers, wanted []Header) bool {
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
