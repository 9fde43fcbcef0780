package route

import (
	"cmp"
	"strings"
)

// rank orders the rules that match one request: the greatest wins. It goes by the host first, then by the
// path, then by the headers, then by whether class and listener are named.
type rank struct {
	host    int // labels of an exact name, doubled and one more; of a name below which all match, doubled; 0: any
	path    int // segments, likewise
	headers int // conditions
	values  int // of these with a value
	class   int // 1: named
	named   int // 1: the listener is named
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.path, b.path), cmp.Compare(a.headers, b.headers),
		cmp.Compare(a.values, b.values), cmp.Compare(a.class, b.class), cmp.Compare(a.named, b.named))
}

// rule is one route for one listener, class, host and path.
type rule struct {
	route      int
	rank       rank
	host       string // exact, "*.below", or "" for any
	path       string // exact, "/below/*", or "" for any
	headers    []Header
	split      split
	cell       cellKey
	shadowedBy *rule // a rule that takes all that this one would, if there is one
}

func hostRank(h string) int {
	switch {
	case h == "":
		return 0
	case strings.HasPrefix(h, "*."):
		return 2 * strings.Count(h, ".")
	}
	return 2*(strings.Count(h, ".")+1) + 1
}

func pathRank(p string) int {
	switch {
	case p == "":
		return 0
	case strings.HasSuffix(p, "/*"):
		return 2 * (strings.Count(p, "/") - 1)
	}
	return 2*strings.Count(p, "/") + 1
}

func countWithValue(headers []Header) (n int) {
	for _, h := range headers {
		if h.Equals != nil {
			n++
		}
	}
	return n
}
