package route

import (
	"cmp"
	"strings"
)

// rule is one route for one listener, class, host and path.
type rule struct {
	route      int // index among those given to Compile
	rank       rank
	host       string // exact, "*.below", or "" for any
	path       string // exact, "/below/*", or "" for any
	headers    []Header
	split      split
	shadowedBy *rule // a rule that takes all that this one would, if there is one
}

// rank orders the rules that match one request: the greatest wins. It goes by the host first, then by the
// path, then by the headers, then by whether class and listener are named.
type rank struct {
	host     int // see hostRank
	path     int // see pathRank
	headers  int // conditions
	values   int // conditions with a value
	class    int // 1: classes are named
	listener int // 1: listeners are named
}

// defaultRank is the rank of the default route: below all others.
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

// rankOf returns the rank of a route's rule for a host and a path.
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

// hostRank ranks patterns of hosts by their labels: an exact name is above the names below which all match, the more labels
// the higher. Any host has 0.
func hostRank(pattern string) int {
	switch {
	case pattern == "":
		return 0
	case strings.HasPrefix(pattern, "*."):
		return 2 * strings.Count(pattern, ".")
	}
	return 2*(strings.Count(pattern, ".")+1) + 1
}

// pathRank ranks patterns of paths by their segments, likewise.
func pathRank(pattern string) int {
	switch {
	case pattern == "":
		return 0
	case strings.HasSuffix(pattern, "/*"):
		return 2 * (strings.Count(pattern, "/") - 1)
	}
	return 2*strings.Count(pattern, "/") + 1
}

// countWithValue counts the conditions that ask for a value.
func countWithValue(headers []Header) (n int) {
	for _, h := range headers {
		if h.Equals != nil {
			n++
		}
	}
	return n
}
