package route

import (
	"fmt"
	"slices"
	"strings"
)

// Compile makes a Table of routes, or tells all that is wrong with them.
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

// compiler holds what Compile knows halfway.
type compiler struct {
	routes   []Route
	names    Names
	table    *Table
	rules    [][]*rule // of each route
	problems []Problem
}

func (c *compiler) report(route int, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Route: route, Field: field, Other: -1, Message: fmt.Sprintf(format, args...)})
}

// placeRules makes the rules of every route and puts each into the cells that it belongs to: with listeners and
// classes named one by one, whether a rule can match at all is told within its cell.
func (c *compiler) placeRules() {
	c.rules = make([][]*rule, len(c.routes))
	for i, r := range c.routes {
		to := newSplit(r.To, c.table.pools)
		headers := slices.Clone(r.Headers)
		for k := range headers {
			headers[k].Name = canonicalHeader(headers[k].Name)
		}
		for _, l := range namedOrAll(r.Listeners, c.names.Listeners) {
			for _, class := range namedOrAll(r.Classes, c.names.Classes) {
				key := cellKey{l, class}
				for _, h := range patternsOrAny(r.Hosts) {
					for _, p := range patternsOrAny(r.Paths) {
						path, fits := patternForClass(p, class)
						if !fits {
							continue
						}
						n := &rule{route: i, host: h, path: path, headers: headers, split: to, cell: key, rank: rank{
							host: hostRank(h), path: pathRank(p), headers: len(headers), values: countWithValue(headers),
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

func namedOrAll(named, all []string) []string {
	if len(named) == 0 {
		return all
	}
	return named
}

func patternsOrAny(patterns []string) []string {
	if len(patterns) == 0 {
		return []string{""}
	}
	return patterns
}

// patternForClass says whether requests of a class can have such a path: a path's first part is its class. A pattern
// that takes the whole class is the same as none, but for its rank.
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
