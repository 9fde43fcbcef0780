package route

import (
	"fmt"
	"slices"
	"strings"
)

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
