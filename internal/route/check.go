package route

import (
	"fmt"
	"slices"
	"strings"
)

// checkRoutes checks each route by itself, and that names and the default route are unique.
func (c *compiler) checkRoutes() {
	byName := map[string]int{}
	defaultRoute := noRoute
	for i, route := range c.routes {
		if first, twice := byName[route.Name]; twice {
			problem := c.report(i, "", "the name %q is used twice", route.Name)
			problem.Other = first
		}
		byName[route.Name] = i
		c.checkNames(i, "listeners", route.Listeners, c.names.Listeners)
		c.checkNames(i, "classes", route.Classes, c.names.Classes)
		c.checkTargets(i)
		if route.Default {
			c.checkDefault(i, defaultRoute)
			defaultRoute = i
		}
		c.checkPatterns(i, "hosts", route.Hosts, hostProblem)
		c.checkPatterns(i, "paths", route.Paths, pathProblem)
		c.checkDuplicates(i, "hosts", route.Hosts)
		c.checkDuplicates(i, "paths", route.Paths)
		c.checkHeaders(i)
	}
}

// checkDefault rejects a second default route and a default route with conditions. earlier is the index of the default route
// before it, or noRoute.
func (c *compiler) checkDefault(i, earlier int) {
	if earlier != noRoute {
		c.report(i, "default", "%q is the default already: only one route may be the default", c.routes[earlier].Name)
	}
	route := c.routes[i]
	conditions := len(route.Listeners) + len(route.Classes) + len(route.Hosts) + len(route.Paths) + len(route.Headers)
	if conditions > 0 {
		c.report(i, "default", "the default route takes all requests that match no other route: no conditions are allowed")
	}
}

// checkPatterns rejects invalid patterns. problem returns why a pattern is invalid, or "" if it is valid.
func (c *compiler) checkPatterns(i int, field string, patterns []string, problem func(string) string) {
	for _, pattern := range patterns {
		if why := problem(pattern); why != "" {
			c.report(i, field, "found %q: %s", pattern, why)
		}
	}
}

// checkNames rejects names that are unknown or listed twice.
func (c *compiler) checkNames(i int, field string, found, known []string) {
	for _, n := range found {
		if !slices.Contains(known, n) {
			c.report(i, field, "found %q: no such name; allowed: %s", n, quotedList(known))
		}
	}
	c.checkDuplicates(i, field, found)
}

// checkDuplicates rejects values that a field lists twice.
func (c *compiler) checkDuplicates(i int, field string, found []string) {
	for k, n := range found {
		if slices.Contains(found[:k], n) {
			c.report(i, field, "%q is listed twice", n)
		}
	}
}

// checkTargets rejects pools that are unknown or listed twice, and weights out of range.
func (c *compiler) checkTargets(i int) {
	route := c.routes[i]
	if len(route.To) == 0 {
		c.report(i, "to", "it leads to no pool; allowed: %s", quotedList(c.names.Pools))
	}
	sum := 0
	for k, target := range route.To {
		if !slices.Contains(c.names.Pools, target.Pool) {
			c.report(i, "to", "found pool %q: no such pool; allowed: %s", target.Pool, quotedList(c.names.Pools))
		}
		if target.Weight < 0 || target.Weight > MaxWeight {
			c.report(i, "to", "pool %q: found weight %d; allowed: 0 to %d", target.Pool, target.Weight, MaxWeight)
		}
		if slices.ContainsFunc(route.To[:k], func(o Target) bool { return o.Pool == target.Pool }) {
			c.report(i, "to", "pool %q is listed twice", target.Pool)
		}
		sum += target.Weight
	}
	if len(route.To) > 0 && sum == 0 {
		c.report(i, "to", "all weights are 0: at least one must be greater than 0")
	}
}

// checkHeaders rejects names and values that no header can have (RFC 9110 section 5), and names that are listed twice.
func (c *compiler) checkHeaders(i int) {
	route := c.routes[i]
	for k, header := range route.Headers {
		if header.Name == "" || strings.Trim(strings.ToLower(header.Name), tokenChars) != "" {
			c.report(i, "headers", "found %q: not a valid header name (RFC 9110 section 5.1)", header.Name)
		}
		if slices.ContainsFunc(route.Headers[:k], func(o Header) bool { return strings.EqualFold(o.Name, header.Name) }) {
			c.report(i, "headers", "%q is listed twice", header.Name)
		}
		if header.Equals != nil && strings.ContainsAny(*header.Equals, "\r\n\x00") {
			c.report(i, "headers", "%q: the value must not contain line breaks or NUL", header.Name)
		}
	}
}

// tokenChars are the characters allowed in a header name (RFC 9110 section 5.6.2), with letters in lower case only.
const tokenChars = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// hostProblem returns why a host pattern is invalid, or "" if it is valid.
func hostProblem(h string) string {
	name := strings.TrimPrefix(h, "*.")
	switch {
	case h == "*":
		return "omit hosts to match all hosts"
	case name == "" || strings.ContainsAny(name, "*/:@ \t\r\n\x00"):
		return `want a name such as "a.example", without a port, or "*.example" for all its subdomains`
	case h != strings.ToLower(h):
		return "want lower case: host names are case-insensitive"
	case strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".") || strings.Contains(name, ".."):
		return "the host name has an empty label"
	}
	return ""
}

// pathProblem returns why a path pattern is invalid, or "" if it is valid.
func pathProblem(p string) string {
	path := strings.TrimSuffix(p, "/*")
	switch {
	case p == "/*":
		return "omit paths to match all paths"
	case !strings.HasPrefix(p, "/"):
		return `want a path that begins with "/"`
	case strings.Contains(path, "*"):
		return `"*" is allowed only as the last segment, as in "/view/*"`
	case strings.ContainsAny(p, "?#"):
		return "a path pattern must not contain a query or a fragment"
	}
	normalized, err := NormalForm(path)
	if err != nil {
		return err.Error()
	}
	if normalized != path {
		return fmt.Sprintf("no request has such a path after normalization: the normalized form is %q", normalized)
	}
	return ""
}

// maxListed is the maximum number of names that a message lists.
const maxListed = 8

// quotedList returns up to maxListed names in sorted order and the number of further names, for use in messages.
func quotedList(names []string) string {
	if len(names) == 0 {
		return "none, as none is defined"
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	rest := ""
	if len(sorted) > maxListed {
		rest = fmt.Sprintf(" and %d more", len(sorted)-maxListed)
		sorted = sorted[:maxListed]
	}
	for i, n := range sorted {
		sorted[i] = fmt.Sprintf("%q", n)
	}
	return strings.Join(sorted, ", ") + rest
}
