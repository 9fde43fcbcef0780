package route

import (
	"slices"
	"strings"
)

// cellKey names a cell: a listener and a class.
type cellKey struct{ listener, class string }

// cell holds the rules for one listener and class.
type cell struct {
	exact       map[string]*pathRules // by host
	subdomains  map[string]*pathRules // by the name below which all match, with its dot in front
	anyHost     *pathRules
	defaultRule *rule // the default
}

// pathRules holds the rules for one pattern of hosts.
type pathRules struct {
	exact    map[string][]*rule
	prefixes map[string][]*rule // by the path below which all match
	anyPath  []*rule
	maxDepth int // segments of the longest in below
}

func newPathRules() *pathRules {
	return &pathRules{exact: map[string][]*rule{}, prefixes: map[string][]*rule{}}
}

func newCell() *cell {
	return &cell{exact: map[string]*pathRules{}, subdomains: map[string]*pathRules{}, anyHost: newPathRules()}
}

// add puts a rule among those of its host and path.
func (c *cell) add(r *rule) {
	if r.rank == defaultRank {
		c.defaultRule = r
		return
	}
	c.hostRules(r.host).add(r)
}

// hostRules returns the rules of a pattern of hosts, made if it is the first of it.
func (c *cell) hostRules(pattern string) *pathRules {
	if pattern == "" {
		return c.anyHost
	}
	byName := c.exact
	name, isBelow := strings.CutPrefix(pattern, "*")
	if isBelow {
		byName = c.subdomains
	}
	rules := byName[name]
	if rules == nil {
		rules = newPathRules()
		byName[name] = rules
	}
	return rules
}

// add puts a rule among those of its path.
func (b *pathRules) add(r *rule) {
	prefix, isBelow := strings.CutSuffix(r.path, "/*")
	switch {
	case r.path == "":
		b.anyPath = append(b.anyPath, r)
	case isBelow:
		b.prefixes[prefix] = append(b.prefixes[prefix], r)
		b.maxDepth = max(b.maxDepth, strings.Count(prefix, "/"))
	default:
		b.exact[r.path] = append(b.exact[r.path], r)
	}
}

// eachRuleList goes over the lists of rules that share host and path.
func (c *cell) eachRuleList(f func([]*rule)) {
	c.eachHostRules(func(b *pathRules) {
		for _, rules := range b.exact {
			f(rules)
		}
		for _, rules := range b.prefixes {
			f(rules)
		}
		f(b.anyPath)
	})
}

// eachHost goes over the rules of each pattern of hosts.
func (c *cell) eachHostRules(f func(*pathRules)) {
	for _, b := range c.exact {
		f(b)
	}
	for _, b := range c.subdomains {
		f(b)
	}
	f(c.anyHost)
}

// sort puts the best rule of each list first.
func (c *cell) sort() {
	c.eachRuleList(func(rules []*rule) {
		slices.SortStableFunc(rules, func(a, b *rule) int { return b.rank.compare(a.rank) })
	})
}

// choose tries the hosts' patterns from the narrowest to the widest, within each the paths'.
func (c *cell) choose(request *Request) *rule {
	if len(c.exact)+len(c.subdomains) > 0 {
		if r := c.chooseByHost(hostName(request.Host), request); r != nil {
			return r
		}
	}
	if r := c.anyHost.choose(request); r != nil {
		return r
	}
	return c.defaultRule
}

// chooseByHost tries the patterns that a host matches, but for the one of any host.
func (c *cell) chooseByHost(host string, request *Request) *rule {
	if rules := c.exact[host]; rules != nil {
		if r := rules.choose(request); r != nil {
			return r
		}
	}
	// A longer name than the DNS has is below none, and would take long to try.
	if len(c.subdomains) == 0 || len(host) > maxHostLength {
		return nil
	}
	for i := 1; i < len(host); i++ { // from 1: "*.example" takes all below, not the name itself
		if host[i] != '.' {
			continue
		}
		if rules := c.subdomains[host[i:]]; rules != nil {
			if r := rules.choose(request); r != nil {
				return r
			}
		}
	}
	return nil
}

// choose tries the patterns of paths from the narrowest to the widest.
func (b *pathRules) choose(request *Request) *rule {
	if len(b.exact) > 0 {
		if r := firstMatch(b.exact[request.Path], request); r != nil {
			return r
		}
	}
	if len(b.prefixes) > 0 {
		// The path itself is the longest prefix of its own, then what is left before each slash.
		path := request.Path
		for n := strings.Count(path, "/"); n > b.maxDepth; n-- {
			path = path[:strings.LastIndexByte(path, '/')]
		}
		for ; path != ""; path = path[:strings.LastIndexByte(path, '/')] {
			if r := firstMatch(b.prefixes[path], request); r != nil {
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
		values := has.Values(w.Name)
		if len(values) == 0 {
			return false
		}
		if w.Equals != nil && (len(values) > 1 || values[0] != *w.Equals) {
			return false
		}
	}
	return true
}
