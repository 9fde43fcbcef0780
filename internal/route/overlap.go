package route

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// checkRulesTogether rejects conflicts between routes, and routes and classes that can never be used.
func (c *compiler) checkRulesTogether() {
	c.checkReachable()
	if !c.checkOverlaps() {
		c.checkShadowed()
	}
	c.checkClassesServed()
}

// checkReachable rejects a route if no request of its classes can have one of its paths.
func (c *compiler) checkReachable() {
	for i, r := range c.routes {
		if len(c.rules[i]) == 0 {
			c.report(i, "paths", "it can never match: the first segment of a path is the class, and %s begins with none of its classes; classes: %s",
				strings.Join(r.Paths, ", "), quotedList(namedOrAll(r.Classes, c.names.Classes)))
		}
	}
}

// checkOverlaps rejects two routes of the same rank that can match the same request. It reports whether there are any.
func (c *compiler) checkOverlaps() bool {
	overlaps := map[[2]int]bool{} // pairs of routes
	for _, key := range c.sortedCells() {
		c.table.cells[key].compareRules(func(a, b *rule) {
			first := min(a.route, b.route)
			second := max(a.route, b.route)
			pair := [2]int{first, second}
			if overlaps[pair] {
				return
			}
			overlaps[pair] = true
			problem := c.report(second, "", "it overlaps route %q with the same rank: a request of class %q at listener %q%s could match both",
				c.routes[first].Name, key.class, key.listener, describeConditions(a))
			problem.Other = first
		})
	}
	return len(overlaps) > 0
}

// sortedCells returns the keys of the table's cells in sorted order, so that the order of problems is deterministic.
func (c *compiler) sortedCells() []cellKey {
	keys := slices.Collect(maps.Keys(c.table.cells))
	slices.SortFunc(keys, func(a, b cellKey) int {
		return cmp.Or(cmp.Compare(a.listener, b.listener), cmp.Compare(a.class, b.class))
	})
	return keys
}

// describeConditions describes the host and path conditions of a rule.
func describeConditions(r *rule) string {
	var b strings.Builder
	if r.host != "" {
		fmt.Fprintf(&b, " for host %s", r.host)
	}
	if r.path != "" {
		fmt.Fprintf(&b, " with path %s", r.path)
	}
	return b.String()
}

// checkShadowed rejects a route if each of its rules is shadowed by a rule of higher rank. The default route is
// exempt, as it may have no requests left to match.
func (c *compiler) checkShadowed() {
	for i, rules := range c.rules {
		if len(rules) == 0 || c.routes[i].Default || slices.ContainsFunc(rules, isReachable) {
			continue
		}
		var others []string
		for _, r := range rules {
			name := c.routes[r.shadowedBy.route].Name
			if !slices.Contains(others, name) {
				others = append(others, name)
			}
		}
		problem := c.report(i, "", "it can never match: all requests that it matches go to %s", quotedList(others))
		problem.Other = rules[0].shadowedBy.route
	}
}

// isReachable reports whether no other rule takes all requests that a rule matches.
func isReachable(r *rule) bool { return r.shadowedBy == nil }

// checkClassesServed rejects a class that has no route at any listener.
func (c *compiler) checkClassesServed() {
	if len(c.names.Listeners) == 0 {
		return
	}
	for _, class := range c.names.Classes {
		served := slices.ContainsFunc(c.names.Listeners, func(listener string) bool {
			return c.table.cells[cellKey{listener: listener, class: class}] != nil
		})
		if !served {
			problem := c.report(noRoute, "", "no route serves class %q", class)
			problem.Class = class
		}
	}
}

// compareRules calls overlap for each pair of rules of the same rank that can match the same request, and sets
// shadowedBy of each rule that is shadowed. It compares only rules with the same host and path: of two different
// patterns, the more specific one has the higher rank and leaves requests that it does not match to the other.
func (c *cell) compareRules(overlap func(a, b *rule)) {
	c.eachRuleList(func(rules []*rule) {
		for i, r := range rules {
			for _, better := range rules[:i] {
				if better.rank == r.rank && compatible(better.headers, r.headers) {
					overlap(better, r)
				}
				if r.shadowedBy == nil && impliedBy(better.headers, r.headers) {
					r.shadowedBy = better
				}
			}
		}
	})
}

// compatible reports whether one request can meet the header conditions of both a and b.
func compatible(a, b []Header) bool {
	for _, x := range a {
		for _, y := range b {
			sameName := x.Name == y.Name
			bothValued := x.Equals != nil && y.Equals != nil
			if sameName && bothValued && *x.Equals != *y.Equals {
				return false
			}
		}
	}
	return true
}

// impliedBy reports whether every request that meets the header conditions b also meets a.
func impliedBy(a, b []Header) bool {
	for _, wanted := range a {
		implies := func(given Header) bool { return headerImplies(given, wanted) }
		if !slices.ContainsFunc(b, implies) {
			return false
		}
	}
	return true
}

// headerImplies reports whether every request that meets the condition given also meets wanted.
func headerImplies(given, wanted Header) bool {
	if given.Name != wanted.Name {
		return false
	}
	if wanted.Equals == nil {
		return true
	}
	return given.Equals != nil && *given.Equals == *wanted.Equals
}
