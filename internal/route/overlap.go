package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// checkRulesTogether refuses what only the routes together show.
func (c *compiler) checkRulesTogether() {
	for i, r := range c.routes {
		if len(c.rules[i]) == 0 {
			c.report(i, "paths", "it can never match: a path's first part is the class, and %s has none of its classes there; classes: %s",
				strings.Join(r.Paths, ", "), quotedList(namedOrAll(r.Classes, c.names.Classes)))
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
			c.report(pair[1], "", "it overlaps route %q with the same rank: a call of class %q at listener %q%s could go either way",
				c.routes[pair[0]].Name, k.class, k.listener, describeConditions(a))
			c.problems[len(c.problems)-1].Other = pair[0]
		})
	}
	if len(overlaps) == 0 {
		c.checkShadowed()
	}
	c.checkClassesServed()
}

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

// checkShadowed refuses a route whose every rule loses to another that takes all that it would. The default is
// there for what may be left, be it nothing.
func (c *compiler) checkShadowed() {
	for i, rules := range c.rules {
		if len(rules) == 0 || c.routes[i].Default || slices.ContainsFunc(rules, func(r *rule) bool { return r.shadowedBy == nil }) {
			continue
		}
		var by []string
		for _, r := range rules {
			if n := c.routes[r.shadowedBy.route].Name; !slices.Contains(by, n) {
				by = append(by, n)
			}
		}
		c.report(i, "", "it can never match: all that it would take goes to %s", quotedList(by))
		c.problems[len(c.problems)-1].Other = rules[0].shadowedBy.route
	}
}

// checkClassesServed refuses a class that leads nowhere from any listener.
func (c *compiler) checkClassesServed() {
	for _, class := range c.names.Classes {
		served := slices.ContainsFunc(c.names.Listeners, func(l string) bool {
			return c.table.cells[cellKey{l, class}] != nil
		})
		if !served && len(c.names.Listeners) > 0 {
			c.report(-1, "", "no route serves class %q", class)
			c.problems[len(c.problems)-1].Class = class
		}
	}
}

// compare finds the rules of the same rank that one request could match, and for each rule one that takes all
// that it would. Only rules that share host and path can do either: of patterns that differ, the narrower
// one leaves the wider requests that it does not match, and has the greater rank.
func (c *cell) compare(overlap func(a, b *rule)) {
	c.eachRuleList(func(l []*rule) {
		for i, r := range l {
			for _, better := range l[:i] {
				if better.rank == r.rank && compatible(better.headers, r.headers) {
					overlap(better, r)
				}
				if r.shadowedBy == nil && implies(better.headers, r.headers) {
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
			if x.Name == y.Name && x.Equals != nil && y.Equals != nil && *x.Equals != *y.Equals {
				return false
			}
		}
	}
	return true
}

// implies says that whatever carries the headers of b carries those of a.
func implies(a, b []Header) bool {
	return !slices.ContainsFunc(a, func(x Header) bool {
		return !slices.ContainsFunc(b, func(y Header) bool {
			return x.Name == y.Name && (x.Equals == nil || y.Equals != nil && *x.Equals == *y.Equals)
		})
	})
}
