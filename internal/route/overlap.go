package route

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// checkRulesTogether rejects what only the routes together show.
func (c *compiler) checkRulesTogether() {
	c.checkReachable()
	if !c.checkOverlaps() {
		c.checkShadowed()
	}
	c.checkClassesServed()
}

// checkReachable rejects a route whose paths no request of its classes can have.
func (c *compiler) checkReachable() {
	for i, r := range c.routes {
		if len(c.rules[i]) == 0 {
			c.report(i, "paths", "it can never match: a path's first part is the class, and %s has none of its classes there; classes: %s",
				strings.Join(r.Paths, ", "), quotedList(namedOrAll(r.Classes, c.names.Classes)))
		}
	}
}

// checkOverlaps rejects two routes that one request could go by, with none of them before the other. It returns whether
// there are any.
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
			problem := c.report(second, "", "it overlaps route %q with the same rank: a call of class %q at listener %q%s could go either way",
				c.routes[first].Name, key.class, key.listener, describeConditions(a))
			problem.Other = first
		})
	}
	return len(overlaps) > 0
}

// sortedCells returns the keys of the table's cells in order, so that problems always come in the same one.
func (c *compiler) sortedCells() []cellKey {
	keys := slices.Collect(maps.Keys(c.table.cells))
	slices.SortFunc(keys, func(a, b cellKey) int {
		return cmp.Or(cmp.Compare(a.listener, b.listener), cmp.Compare(a.class, b.class))
	})
	return keys
}

// describeConditions says which host and path a rule asks for.
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

// checkShadowed rejects a route whose every rule loses to another that takes all that it would. The default is
// there for what may be left, be it nothing.
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
		problem := c.report(i, "", "it can never match: all that it would take goes to %s", quotedList(others))
		problem.Other = rules[0].shadowedBy.route
	}
}

// isReachable says that no other rule takes all that a rule would.
func isReachable(r *rule) bool { return r.shadowedBy == nil }

// checkClassesServed rejects a class that leads nowhere from any listener.
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

// compare finds the rules of the same rank that one request could match, and for each rule one that takes all
// that it would. Only rules that share host and path can do either: of patterns that differ, the narrower
// one leaves the wider requests that it does not match, and has the greater rank.
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

// compatible says that one request may carry what both ask for.
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

// impliedBy says that whatever carries the headers of b carries those of a.
func impliedBy(a, b []Header) bool {
	for _, wanted := range a {
		implies := func(given Header) bool { return headerImplies(given, wanted) }
		if !slices.ContainsFunc(b, implies) {
			return false
		}
	}
	return true
}

// headerImplies says that whatever carries one header carries another.
func headerImplies(given, wanted Header) bool {
	if given.Name != wanted.Name {
		return false
	}
	if wanted.Equals == nil {
		return true
	}
	return given.Equals != nil && *given.Equals == *wanted.Equals
}
