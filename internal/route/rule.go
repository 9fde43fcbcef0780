package route

import (
	"cmp"
	"strings"
)

// rule is a route's rule for one listener, class, host and path.
type rule struct {
	route      int // index in the routes given to Compile
	rank       rank
	host       string // exact, "*.parent", or "" for any
	path       string // exact, "/prefix/*", or "" for any
	headers    []Header
	split      split
	shadowedBy *rule // a rule that takes all requests that this one matches; nil if there is none
}

// rank orders the rules that match a request: the rule with the greatest rank is used. It compares the host first,
// then the path, the headers, and whether the route names classes and listeners.
type rank struct {
	host     int // see hostRank
	path     int // see pathRank
	headers  int // number of header conditions
	values   int // number of header conditions with a value
	class    int // 1 if the route names classes
	listener int // 1 if the route names listeners
}

// defaultRank is the rank of the default route, lower than all others.
var defaultRank = rank{host: -1}

func (r rank) compare(other rank) int {
	return cmp.Or(
		cmp.Compare(r.host, other.host),
		cmp.Compare(r.path, other.path),
		cmp.Compare(r.headers, other.headers),
		cmp.Compare(r.values, other.values),
		cmp.Compare(r.class, other.class),
		cmp.Compare(r.listener, other.listener),
	)
}

// rankOf returns the rank of a route's rule for a host and a path pattern.
func rankOf(r Route, host, path string) rank {
	if r.Default {
		return defaultRank
	}
	return rank{
		host:     hostRank(host),
		path:     pathRank(path),
		headers:  len(r.Headers),
		values:   countWithValue(r.Headers),
		class:    min(1, len(r.Classes)),
		listener: min(1, len(r.Listeners)),
	}
}

// hostRank returns the rank of a host pattern: the more labels, the higher, and an exact name is above the "*." patterns that
// match it. The pattern for any host has rank 0.
func hostRank(pattern string) int {
	switch {
	case pattern == "":
		return 0
	case strings.HasPrefix(pattern, "*."):
		return 2 * strings.Count(pattern, ".")
	}
	return 2*(strings.Count(pattern, ".")+1) + 1
}

// pathRank returns the rank of a path pattern, likewise by the number of its segments.
func pathRank(pattern string) int {
	switch {
	case pattern == "":
		return 0
	case strings.HasSuffix(pattern, "/*"):
		return 2 * (strings.Count(pattern, "/") - 1)
	}
	return 2*strings.Count(pattern, "/") + 1
}

// countWithValue returns the number of header conditions with a value.
func countWithValue(headers []Header) (n int) {
	for _, h := range headers {
		if h.Equals != nil {
			n++
		}
	}
	return n
}
