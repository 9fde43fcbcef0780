// Package route decides which pool a request goes to. A Table is compiled once from the routes of a
// configuration, whole or not at all, and never changes; the same request gets the same answer from it every
// time. The package does no I/O, has no clock and draws nothing.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

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

// MaxWeight bounds a weight.
const MaxWeight = 1_000_000

// Problem is what is wrong with routes. Its message names the other route where two are concerned.
type Problem struct {
	Route   int    // index of the route at fault; -1: no single one is
	Field   string // of the route; empty: the route as a whole
	Class   string // for a class that no route serves
	Message string
	Other   int // index of the other route concerned; -1: none
}

func (p Problem) String() string { return p.Message }

// Names are what the routes of a configuration may refer to.
type Names struct {
	Listeners, Classes, Pools []string
}

// Compile makes a Table of routes, or tells all that is wrong with them.
func Compile(routes []Route, names Names) (*Table, []Problem) {
	c := &compiler{routes: routes, names: names, table: &Table{cells: map[cellKey]*cell{}}}
	c.checkEach()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	c.table.pools = slices.Clone(names.Pools)
	slices.Sort(c.table.pools)
	c.place()
	c.checkTogether()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return c.table, nil
}

// compiler holds what Compile knows halfway.
type compiler struct {
	routes   []Route
	names    Names
	table    *Table
	rules    [][]*rule // of each route
	problems []Problem
}

func (c *compiler) fail(route int, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Route: route, Field: field, Other: -1, Message: fmt.Sprintf(format, args...)})
}

// checkEach looks at each route by itself.
func (c *compiler) checkEach() {
	seen := map[string]int{}
	def := -1
	for i, r := range c.routes {
		if first, twice := seen[r.Name]; twice {
			c.fail(i, "", "the name %q is used twice", r.Name)
			c.problems[len(c.problems)-1].Other = first
		}
		seen[r.Name] = i
		c.checkNames(i, "listeners", r.Listeners, c.names.Listeners)
		c.checkNames(i, "classes", r.Classes, c.names.Classes)
		c.checkTargets(i)
		if r.Default {
			if def >= 0 {
				c.fail(i, "default", "%q is the default already: one route may be it", c.routes[def].Name)
			}
			def = i
			if len(r.Listeners)+len(r.Classes)+len(r.Hosts)+len(r.Paths)+len(r.Headers) > 0 {
				c.fail(i, "default", "the default route takes what no other does and has no conditions of its own")
			}
		}
		for _, h := range r.Hosts {
			if why := badHost(h); why != "" {
				c.fail(i, "hosts", "found %q: %s", h, why)
			}
		}
		for _, p := range r.Paths {
			if why := badPattern(p); why != "" {
				c.fail(i, "paths", "found %q: %s", p, why)
			}
		}
		c.checkTwice(i, "hosts", r.Hosts)
		c.checkTwice(i, "paths", r.Paths)
		c.checkHeaders(i)
	}
}

// checkNames refuses names that do not exist, and those that come twice.
func (c *compiler) checkNames(i int, field string, found, known []string) {
	for _, n := range found {
		if !slices.Contains(known, n) {
			c.fail(i, field, "found %q: there is none of that name; allowed: %s", n, list(known))
		}
	}
	c.checkTwice(i, field, found)
}

func (c *compiler) checkTwice(i int, field string, found []string) {
	for k, n := range found {
		if slices.Contains(found[:k], n) {
			c.fail(i, field, "%q is listed twice", n)
		}
	}
}

func (c *compiler) checkTargets(i int) {
	r := c.routes[i]
	if len(r.To) == 0 {
		c.fail(i, "to", "it leads to no pool; allowed: %s", list(c.names.Pools))
	}
	sum := 0
	for k, t := range r.To {
		if !slices.Contains(c.names.Pools, t.Pool) {
			c.fail(i, "to", "found pool %q: there is none of that name; allowed: %s", t.Pool, list(c.names.Pools))
		}
		if t.Weight < 0 || t.Weight > MaxWeight {
			c.fail(i, "to", "pool %q: found weight %d; allowed: 0 to %d", t.Pool, t.Weight, MaxWeight)
		}
		if slices.ContainsFunc(r.To[:k], func(o Target) bool { return o.Pool == t.Pool }) {
			c.fail(i, "to", "pool %q is listed twice", t.Pool)
		}
		sum += t.Weight
	}
	if len(r.To) > 0 && sum == 0 {
		c.fail(i, "to", "all weights are 0: one must be above")
	}
}

func (c *compiler) checkHeaders(i int) {
	r := c.routes[i]
	for k, h := range r.Headers {
		if h.Name == "" || strings.Trim(strings.ToLower(h.Name), tokenChars) != "" {
			c.fail(i, "headers", "found %q: that is no header's name (RFC 9110 section 5.1)", h.Name)
		}
		if slices.ContainsFunc(r.Headers[:k], func(o Header) bool { return strings.EqualFold(o.Name, h.Name) }) {
			c.fail(i, "headers", "%q is listed twice", h.Name)
		}
		if h.Equals != nil && strings.ContainsAny(*h.Equals, "\r\n\x00") {
			c.fail(i, "headers", "%q: its value may hold no line ends and no NUL", h.Name)
		}
	}
}

// tokenChars may stand in a header's name (RFC 9110 section 5.6.2), letters in lower case.
const tokenChars = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// badHost says why a pattern of hosts can't be used.
func badHost(h string) string {
	name := strings.TrimPrefix(h, "*.")
	switch {
	case h == "*":
		return "leave hosts out to take all"
	case name == "" || strings.ContainsAny(name, "*/:@ \t\r\n\x00"):
		return `want a name such as "a.example", without a port, or "*.example" for all below it`
	case h != strings.ToLower(h):
		return "want lower case: names of hosts have no case"
	case strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".") || strings.Contains(name, ".."):
		return "an empty label"
	}
	return ""
}

// badPattern says why a pattern of paths can't be used.
func badPattern(p string) string {
	path := strings.TrimSuffix(p, "/*")
	switch {
	case p == "/*":
		return "leave paths out to take all"
	case !strings.HasPrefix(p, "/"):
		return `want a path that begins with "/"`
	case strings.Contains(path, "*"):
		return `"*" may stand only as the last part, as in "/view/*"`
	case strings.ContainsAny(p, "?#"):
		return "a path has no query and no fragment here"
	}
	if plain, err := Plain(path); err != nil {
		return err.Error()
	} else if plain != path {
		return fmt.Sprintf("no call's path looks so: its plain form is %q", plain)
	}
	return ""
}

// list is for messages: a few names in order, and how many more there are.
func list(names []string) string {
	if len(names) == 0 {
		return "none, for none is defined"
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	const most = 8
	rest := ""
	if len(sorted) > most {
		rest = fmt.Sprintf(" and %d more", len(sorted)-most)
		sorted = sorted[:most]
	}
	for i, n := range sorted {
		sorted[i] = fmt.Sprintf("%q", n)
	}
	return strings.Join(sorted, ", ") + rest
}

// rank orders the rules that match one request: the greatest wins. It goes by the host first, then by the
// path, then by the headers, then by whether class and listener are named.
type rank struct {
	host    int // labels of an exact name, doubled and one more; of a name below which all match, doubled; 0: any
	path    int // segments, likewise
	headers int // conditions
	values  int // of these with a value
	class   int // 1: named
	named   int // 1: the listener is named
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.path, b.path), cmp.Compare(a.headers, b.headers),
		cmp.Compare(a.values, b.values), cmp.Compare(a.class, b.class), cmp.Compare(a.named, b.named))
}

// rule is one route for one listener, class, host and path.
type rule struct {
	route   int
	rank    rank
	host    string // exact, "*.below", or "" for any
	path    string // exact, "/below/*", or "" for any
	headers []Header
	to      split
	cell    cellKey
	taken   *rule // a rule that takes all that this one would, if there is one
}

// place makes the rules of every route and puts each into the cells that it belongs to: with listeners and
// classes named one by one, whether a rule can match at all is told within its cell.
func (c *compiler) place() {
	c.rules = make([][]*rule, len(c.routes))
	for i, r := range c.routes {
		to := newSplit(r.To, c.table.pools)
		headers := slices.Clone(r.Headers)
		for k := range headers {
			headers[k].Name = canonical(headers[k].Name)
		}
		for _, l := range orAll(r.Listeners, c.names.Listeners) {
			for _, class := range orAll(r.Classes, c.names.Classes) {
				key := cellKey{l, class}
				for _, h := range orAny(r.Hosts) {
					for _, p := range orAny(r.Paths) {
						path, fits := within(p, class)
						if !fits {
							continue
						}
						n := &rule{route: i, host: h, path: path, headers: headers, to: to, cell: key, rank: rank{
							host: hostRank(h), path: pathRank(p), headers: len(headers), values: withValue(headers),
							class: min(1, len(r.Classes)), named: min(1, len(r.Listeners))}}
						if r.Default {
							n.rank = rank{host: -1}
						}
						c.rules[i] = append(c.rules[i], n)
						c.table.cell(key).add(n)
					}
				}
			}
		}
	}
	for _, cell := range c.table.cells {
		cell.sort()
	}
}

func orAll(named, all []string) []string {
	if len(named) == 0 {
		return all
	}
	return named
}

func orAny(patterns []string) []string {
	if len(patterns) == 0 {
		return []string{""}
	}
	return patterns
}

// within says whether requests of a class can have such a path: a path's first part is its class. A pattern
// that takes the whole class is the same as none, but for its rank.
func within(pattern, class string) (string, bool) {
	if pattern == "" {
		return "", true
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(pattern, "/"), "/")
	switch {
	case pattern == "/"+class+"/*":
		return "", true
	case first != class:
		return "", false
	}
	return pattern, true
}

func hostRank(h string) int {
	switch {
	case h == "":
		return 0
	case strings.HasPrefix(h, "*."):
		return 2 * strings.Count(h, ".")
	}
	return 2*(strings.Count(h, ".")+1) + 1
}

func pathRank(p string) int {
	switch {
	case p == "":
		return 0
	case strings.HasSuffix(p, "/*"):
		return 2 * (strings.Count(p, "/") - 1)
	}
	return 2*strings.Count(p, "/") + 1
}

func withValue(headers []Header) (n int) {
	for _, h := range headers {
		if h.Equals != nil {
			n++
		}
	}
	return n
}

// checkTogether refuses what only the routes together show.
func (c *compiler) checkTogether() {
	for i, r := range c.routes {
		if len(c.rules[i]) == 0 {
			c.fail(i, "paths", "it can never match: a path's first part is the class, and %s has none of its classes there; classes: %s",
				strings.Join(r.Paths, ", "), list(orAll(r.Classes, c.names.Classes)))
		}
	}
	keys := make([]cellKey, 0, len(c.table.cells))
	for k := range c.table.cells {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b cellKey) int {
		return cmp.Or(cmp.Compare(a.listener, b.listener), cmp.Compare(a.class, b.class))
	})
	overlaps := map[[2]int]bool{}
	for _, k := range keys {
		c.table.cells[k].compare(func(a, b *rule) {
			pair := [2]int{min(a.route, b.route), max(a.route, b.route)}
			if overlaps[pair] {
				return
			}
			overlaps[pair] = true
			c.fail(pair[1], "", "it overlaps route %q with the same rank: a call of class %q at listener %q%s could go either way",
				c.routes[pair[0]].Name, k.class, k.listener, where(a))
			c.problems[len(c.problems)-1].Other = pair[0]
		})
	}
	if len(overlaps) == 0 {
		c.checkTaken()
	}
	c.checkServed()
}

func where(r *rule) string {
	var b strings.Builder
	if r.host != "" {
		fmt.Fprintf(&b, " for host %s", r.host)
	}
	if r.path != "" {
		fmt.Fprintf(&b, " with path %s", r.path)
	}
	return b.String()
}

// checkTaken refuses a route whose every rule loses to another that takes all that it would. The default is
// there for what may be left, be it nothing.
func (c *compiler) checkTaken() {
	for i, rules := range c.rules {
		if len(rules) == 0 || c.routes[i].Default || slices.ContainsFunc(rules, func(r *rule) bool { return r.taken == nil }) {
			continue
		}
		var by []string
		for _, r := range rules {
			if n := c.routes[r.taken.route].Name; !slices.Contains(by, n) {
				by = append(by, n)
			}
		}
		c.fail(i, "", "it can never match: all that it would take goes to %s", list(by))
		c.problems[len(c.problems)-1].Other = rules[0].taken.route
	}
}

// checkServed refuses a class that leads nowhere from any listener.
func (c *compiler) checkServed() {
	for _, class := range c.names.Classes {
		served := slices.ContainsFunc(c.names.Listeners, func(l string) bool {
			return c.table.cells[cellKey{l, class}] != nil
		})
		if !served && len(c.names.Listeners) > 0 {
			c.fail(-1, "", "no route serves class %q", class)
			c.problems[len(c.problems)-1].Class = class
		}
	}
}
