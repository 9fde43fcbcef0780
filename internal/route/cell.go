package route

import (
	"slices"
	"strings"
)

// cellKey identifies a cell by its listener and class.
type cellKey struct{ listener, class string }

// cell holds the rules for one listener and class.
type cell struct {
	exact       map[string]*pathRules // by host name
	subdomains  map[string]*pathRules // by the parent name with a leading dot; for patterns "*.name"
	anyHost     *pathRules
	defaultRule *rule // of the default route; nil if there is none
}

// pathRules holds the rules for one host pattern.
type pathRules struct {
	exact    map[string][]*rule
	prefixes map[string][]*rule // by the path prefix without "/*"; matches the prefix itself too
	anyPath  []*rule
	maxDepth int // number of segments of the longest key in prefixes
}

func newPathRules() *pathRules {
	return &pathRules{exact: map[string][]*rule{}, prefixes: map[string][]*rule{}}
}

func newCell() *cell {
	return &cell{exact: map[string]*pathRules{}, subdomains: map[string]*pathRules{}, anyHost: newPathRules()}
}

// add adds a rule to those of its host and path.
func (c *cell) add(r *rule) {
	if r.rank == defaultRank {
		c.defaultRule = r
		return
	}
	c.hostRules(r.host).add(r)
}

// hostRules returns the rules of a host pattern, which it creates if there are none.
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

// add adds a rule to those of its path.
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

// eachRuleList calls f for each list of rules with the same host and path.
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

// eachHostRules calls f with the rules of each host pattern.
func (c *cell) eachHostRules(f func(*pathRules)) {
	for _, b := range c.exact {
		f(b)
	}
	for _, b := range c.subdomains {
		f(b)
	}
	f(c.anyHost)
}

// sort orders each list of rules by decreasing rank.
func (c *cell) sort() {
	c.eachRuleList(func(rules []*rule) {
		slices.SortStableFunc(rules, func(a, b *rule) int { return b.rank.compare(a.rank) })
	})
}

// choose returns the rule for a request, or nil. It tries host patterns from the most to the least specific, and the path
// patterns of each in the same order.
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

// chooseByHost tries the host patterns that a host matches, except the one for any host.
func (c *cell) chooseByHost(host string, request *Request) *rule {
	if rules := c.exact[host]; rules != nil {
		if r := rules.choose(request); r != nil {
			return r
		}
	}
	// A name longer than the DNS allows matches no subdomain pattern, and trying each of its suffixes would take long.
	if len(c.subdomains) == 0 || len(host) > maxHostLength {
		return nil
	}
	for i := 1; i < len(host); i++ { // from 1: "*.example" matches subdomains, not the name itself
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

// choose returns the rule for a request, or nil. It tries path patterns from the most to the least specific.
func (b *pathRules) choose(request *Request) *rule {
	if len(b.exact) > 0 {
		if r := firstMatch(b.exact[request.Path], request); r != nil {
			return r
		}
	}
	if len(b.prefixes) > 0 {
		// The first candidate is the path itself, followed by its prefixes up to each slash, longest first. Paths with more segments
		// than any key cannot match and are skipped.
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

// firstMatch returns the first of rules with the same host and path whose header conditions a request meets, or nil.
func firstMatch(rules []*rule, request *Request) *rule {
	for _, r := range rules {
		if matchesHeaders(request.Headers, r.headers) {
			return r
		}
	}
	return nil
}

// matchesHeaders reports whether a request meets all header conditions. A header that occurs twice meets no condition with
// a value.
func matchesHeaders(headers Headers, conditions []Header) bool {
	for _, condition := range conditions {
		if headers == nil {
			return false
		}
		values := headers.Values(condition.Name)
		if len(values) == 0 {
			return false
		}
		if condition.Equals != nil && (len(values) > 1 || values[0] != *condition.Equals) {
			return false
		}
	}
	return true
}
