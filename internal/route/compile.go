package route

import (
	"fmt"
	"net/textproto"
	"slices"
	"strings"
)

// Compile compiles routes into a Table, or returns all problems that it finds in them.
func Compile(routes []Route, names Names) (*Table, []Problem) {
	c := &compiler{routes: routes, names: names, table: &Table{cells: map[cellKey]*cell{}}}
	c.checkRoutes()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	c.table.pools = slices.Clone(names.Pools)
	slices.Sort(c.table.pools)
	c.placeRules()
	c.checkRulesTogether()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return c.table, nil
}

// compiler is the state of one Compile.
type compiler struct {
	routes   []Route
	names    Names
	table    *Table
	rules    [][]*rule // by route
	problems []Problem
}

// report adds a problem of a route, or of no single route (noRoute), and returns it. The caller may set further fields of the
// returned Problem until the next report.
func (c *compiler) report(route int, field, format string, args ...any) *Problem {
	c.problems = append(c.problems, Problem{
		Route:   route,
		Field:   field,
		Other:   noRoute,
		Message: fmt.Sprintf(format, args...),
	})
	return &c.problems[len(c.problems)-1]
}

// placeRules creates the rules of every route and adds each to its cell. As there is one cell for each listener and
// class, whether a rule can match at all can be determined within its cell.
func (c *compiler) placeRules() {
	c.rules = make([][]*rule, len(c.routes))
	for i, r := range c.routes {
		common := rule{route: i, headers: canonicalHeaders(r.Headers), split: newSplit(r.To, c.table.pools)}
		for _, listener := range namedOrAll(r.Listeners, c.names.Listeners) {
			for _, class := range namedOrAll(r.Classes, c.names.Classes) {
				c.addRules(cellKey{listener: listener, class: class}, common)
			}
		}
	}
	for _, cell := range c.table.cells {
		cell.sort()
	}
}

// addRules adds a rule to a cell for each host and path of a route that requests of the cell's class can have. common holds the
// fields that all rules of the route share.
func (c *compiler) addRules(key cellKey, common rule) {
	route := c.routes[common.route]
	for _, host := range patternsOrAny(route.Hosts) {
		for _, path := range patternsOrAny(route.Paths) {
			pattern, fits := patternForClass(path, key.class)
			if !fits {
				continue
			}
			added := common
			added.host = host
			added.path = pattern
			added.rank = rankOf(route, host, path)
			c.rules[common.route] = append(c.rules[common.route], &added)
			c.table.cell(key).add(&added)
		}
	}
}

// canonicalHeaders returns a copy of headers with canonical names.
func canonicalHeaders(headers []Header) []Header {
	canonical := slices.Clone(headers)
	for i := range canonical {
		canonical[i].Name = textproto.CanonicalMIMEHeaderKey(canonical[i].Name)
	}
	return canonical
}

// namedOrAll returns the names that a route lists, or all names if it lists none.
func namedOrAll(named, all []string) []string {
	if len(named) == 0 {
		return all
	}
	return named
}

// patternsOrAny returns the patterns that a route lists, or the pattern "", which matches any value, if it lists none.
func patternsOrAny(patterns []string) []string {
	if len(patterns) == 0 {
		return []string{""}
	}
	return patterns
}

// patternForClass returns the path pattern to match against requests of a class, and false if none of them can match: the
// first segment of a path is its class. A pattern that matches all paths of the class differs from no pattern only in rank.
func patternForClass(pattern, class string) (string, bool) {
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
