package route

import (
	"fmt"
	"slices"
	"strings"
)

// checkRoutes looks at each route by itself.
func (c *compiler) checkRoutes() {
	seen := map[string]int{}
	def := -1
	for i, r := range c.routes {
		if first, twice := seen[r.Name]; twice {
			c.report(i, "", "the name %q is used twice", r.Name)
			c.problems[len(c.problems)-1].Other = first
		}
		seen[r.Name] = i
		c.checkNames(i, "listeners", r.Listeners, c.names.Listeners)
		c.checkNames(i, "classes", r.Classes, c.names.Classes)
		c.checkTargets(i)
		if r.Default {
			if def >= 0 {
				c.report(i, "default", "%q is the default already: one route may be it", c.routes[def].Name)
			}
			def = i
			if len(r.Listeners)+len(r.Classes)+len(r.Hosts)+len(r.Paths)+len(r.Headers) > 0 {
				c.report(i, "default", "the default route takes what no other does and has no conditions of its own")
			}
		}
		for _, h := range r.Hosts {
			if why := hostProblem(h); why != "" {
				c.report(i, "hosts", "found %q: %s", h, why)
			}
		}
		for _, p := range r.Paths {
			if why := pathProblem(p); why != "" {
				c.report(i, "paths", "found %q: %s", p, why)
			}
		}
		c.checkDuplicates(i, "hosts", r.Hosts)
		c.checkDuplicates(i, "paths", r.Paths)
		c.checkHeaders(i)
	}
}

// checkNames refuses names that do not exist, and those that come twice.
func (c *compiler) checkNames(i int, field string, found, known []string) {
	for _, n := range found {
		if !slices.Contains(known, n) {
			c.report(i, field, "found %q: there is none of that name; allowed: %s", n, quotedList(known))
		}
	}
	c.checkDuplicates(i, field, found)
}

func (c *compiler) checkDuplicates(i int, field string, found []string) {
	for k, n := range found {
		if slices.Contains(found[:k], n) {
			c.report(i, field, "%q is listed twice", n)
		}
	}
}

func (c *compiler) checkTargets(i int) {
	r := c.routes[i]
	if len(r.To) == 0 {
		c.report(i, "to", "it leads to no pool; allowed: %s", quotedList(c.names.Pools))
	}
	sum := 0
	for k, t := range r.To {
		if !slices.Contains(c.names.Pools, t.Pool) {
			c.report(i, "to", "found pool %q: there is none of that name; allowed: %s", t.Pool, quotedList(c.names.Pools))
		}
		if t.Weight < 0 || t.Weight > MaxWeight {
			c.report(i, "to", "pool %q: found weight %d; allowed: 0 to %d", t.Pool, t.Weight, MaxWeight)
		}
		if slices.ContainsFunc(r.To[:k], func(o Target) bool { return o.Pool == t.Pool }) {
			c.report(i, "to", "pool %q is listed twice", t.Pool)
		}
		sum += t.Weight
	}
	if len(r.To) > 0 && sum == 0 {
		c.report(i, "to", "all weights are 0: one must be above")
	}
}

func (c *compiler) checkHeaders(i int) {
	r := c.routes[i]
	for k, h := range r.Headers {
		if h.Name == "" || strings.Trim(strings.ToLower(h.Name), tokenChars) != "" {
			c.report(i, "headers", "found %q: that is no header's name (RFC 9110 section 5.1)", h.Name)
		}
		if slices.ContainsFunc(r.Headers[:k], func(o Header) bool { return strings.EqualFold(o.Name, h.Name) }) {
			c.report(i, "headers", "%q is listed twice", h.Name)
		}
		if h.Equals != nil && strings.ContainsAny(*h.Equals, "\r\n\x00") {
			c.report(i, "headers", "%q: its value may hold no line ends and no NUL", h.Name)
		}
	}
}

// tokenChars may stand in a header's name (RFC 9110 section 5.6.2), letters in lower case.
const tokenChars = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// hostProblem says why a pattern of hosts can't be used.
func hostProblem(h string) string {
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

// pathProblem says why a pattern of paths can't be used.
func pathProblem(p string) string {
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

// quotedList is for messages: a few names in order, and how many more there are.
func quotedList(names []string) string {
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
