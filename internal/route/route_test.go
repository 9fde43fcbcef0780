package route

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"
)

var testNames = Names{Listeners: []string{"main", "side"}, Classes: []string{"view", "note"}, Pools: []string{"a", "b", "c"}}

func to(pool string) []Target { return []Target{{Pool: pool, Weight: 1}} }

func text(s string) *string { return &s }

func compile(t *testing.T, routes ...Route) *Table {
	t.Helper()
	table, problems := Compile(routes, testNames)
	if len(problems) > 0 {
		t.Fatalf("%v", problems)
	}
	return table
}

// want checks where requests go: "-" for nowhere. A request is written as listener, class, host, path and headers.
func want(t *testing.T, table *Table, requests map[string]string) {
	t.Helper()
	for text, pool := range requests {
		f := strings.Fields(text)
		c := &Request{Listener: f[0], Class: f[1], Host: f[2], Path: f[3], Headers: http.Header{}}
		for _, h := range f[4:] {
			name, value, _ := strings.Cut(h, "=")
			c.Headers.(http.Header).Add(name, value)
		}
		got, ok := table.Choose(c)
		if !ok {
			got.Pool = "-"
		}
		if got.Pool != pool {
			t.Errorf("%s: goes to %s, want %s", text, got.Pool, pool)
		}
	}
}

func TestMostSpecificRouteWins(t *testing.T) {
	table := compile(t,
		Route{Name: "host", Hosts: []string{"a.example"}, To: to("a")},
		Route{Name: "below", Hosts: []string{"*.example"}, Paths: []string{"/view/x/y/*"}, To: to("b")},
		Route{Name: "deep", Hosts: []string{"*.deep.example"}, To: to("c")},
		Route{Name: "path", Paths: []string{"/view/x/*"}, To: to("c")},
		Route{Name: "exact", Paths: []string{"/view/x/y"}, To: to("b")},
		Route{Name: "rest", Default: true, To: to("a")})
	want(t, table, map[string]string{
		"main view h /view/k":               "a", // the default
		"main view h /view/x":               "c", // a pattern takes the path itself
		"main view h /view/x/":              "c",
		"main view h /view/xy":              "a", // not within a segment
		"main view h /view/x/y":             "b", // exact before below
		"main view h /view/x/y/z":           "c",
		"main view a.example /view/x/y":     "a", // the host before the path
		"main view A.Example:80 /view/x/y":  "a",
		"main view a.example. /view/x":      "a",
		"main view b.example /view/x/y/z":   "b",
		"main view b.example /view/x/k":     "c", // the host's route does not take it: the next best
		"main view x.b.example /view/x/y/z": "b",
		"main view x.deep.example /view/k":  "c",
		"main view deep.example /view/k":    "a", // "*." takes what is below, not itself
		"main view example /view/x/y/z":     "c",
		"main view [::1]:80 /view/k":        "a",
		"main note a.example /note/k":       "a",
		"side note h /note/k":               "a",
	})
}

func TestHeadersClassAndListenerBreakTies(t *testing.T) {
	table := compile(t,
		Route{Name: "class", Classes: []string{"note"}, To: to("b")},
		Route{Name: "listener", Listeners: []string{"side"}, To: to("c")},
		Route{Name: "value", Headers: []Header{{Name: "x-canary", Equals: text("1")}}, To: to("b")},
		Route{Name: "any value", Headers: []Header{{Name: "X-Canary"}}, To: to("c")},
		Route{Name: "two", Headers: []Header{{Name: "X-Canary"}, {Name: "X-Team"}}, To: to("a")},
		Route{Name: "rest", Default: true, To: to("a")})
	want(t, table, map[string]string{
		"main view h /view/k":                       "a",
		"main note h /note/k":                       "b",
		"side view h /view/k":                       "c",
		"side note h /note/k":                       "b", // the class before the listener
		"main view h /view/k X-Canary=1":            "b",
		"main note h /note/k X-Canary=2":            "c", // headers before the class
		"main view h /view/k X-Canary=1 X-Canary=1": "c", // twice is no one value
		"main view h /view/k X-Canary=1 X-Team=q":   "a",
		"main view h /view/k X-Team=q":              "a",
	})
}

func TestUnmatchedRequestHasNoPool(t *testing.T) {
	table := compile(t, Route{Name: "v", Classes: []string{"view"}, Listeners: []string{"main"}, To: to("a")},
		Route{Name: "n", Classes: []string{"note"}, Hosts: []string{"h"}, To: to("a")})
	want(t, table, map[string]string{
		"main view h /view/k": "a", "side view h /view/k": "-", "main note h /note/k": "a",
		"main note g /note/k": "-", "gone view h /view/k": "-", "main none h /none/k": "-",
	})
	if _, ok := table.Choose(&Request{Listener: "main", Class: "view", Host: "h", Path: "/view"}); !ok {
		t.Error("a request without headers goes nowhere")
	}
}

// Problems name the route at fault, and the other one where there is one.
func TestInvalidRoutesAreRejected(t *testing.T) {
	def := Route{Name: "rest", Default: true, To: to("a")}
	for _, c := range []struct {
		name   string
		routes []Route
		say    []string
	}{
		{"an unknown pool", []Route{{Name: "r", To: to("x")}}, []string{`"x"`, `allowed: "a", "b", "c"`}},
		{"an unknown class", []Route{{Name: "r", Classes: []string{"x"}, To: to("a")}, def}, []string{`"x"`, `"note", "view"`}},
		{"an unknown listener", []Route{{Name: "r", Listeners: []string{"x"}, To: to("a")}, def}, []string{`"x"`, `"main", "side"`}},
		{"no pool", []Route{{Name: "r"}}, []string{"no pool"}},
		{"no weight", []Route{{Name: "r", To: []Target{{Pool: "a"}, {Pool: "b"}}}}, []string{"all weights are 0"}},
		{"a negative weight", []Route{{Name: "r", To: []Target{{Pool: "a", Weight: -1}}}}, []string{"-1"}},
		{"a pool twice", []Route{{Name: "r", To: []Target{{Pool: "a", Weight: 1}, {Pool: "a", Weight: 1}}}}, []string{`"a" is listed twice`}},
		{"a name twice", []Route{{Name: "r", Classes: []string{"view"}, To: to("a")}, {Name: "r", Classes: []string{"note"}, To: to("a")}}, []string{"twice"}},
		{"two defaults", []Route{def, {Name: "other", Default: true, To: to("a")}}, []string{`"rest" is the default already`}},
		{"a default with conditions", []Route{{Name: "r", Default: true, Classes: []string{"view"}, To: to("a")}}, []string{"no conditions"}},
		{"a class that no route serves", []Route{{Name: "r", Classes: []string{"view"}, To: to("a")}}, []string{`no route serves class "note"`}},
		{"the same conditions", []Route{{Name: "q", Classes: []string{"view"}, To: to("a")}, {Name: "r", Classes: []string{"view"}, To: to("b")}, def},
			[]string{`overlaps route "q"`}},
		{"overlapping classes", []Route{{Name: "q", Classes: []string{"view"}, To: to("a")}, {Name: "r", Classes: []string{"note", "view"}, To: to("b")}, def},
			[]string{`overlaps route "q"`, `"view"`}},
		{"headers that can meet", []Route{{Name: "q", Headers: []Header{{Name: "X-A"}}, To: to("a")},
			{Name: "r", Headers: []Header{{Name: "X-B"}}, To: to("b")}, def}, []string{`overlaps route "q"`}},
		{"a class another way", []Route{{Name: "q", Paths: []string{"/view/*"}, To: to("a")}, {Name: "r", Classes: []string{"view"}, To: to("b")}, def},
			[]string{`never match`, `goes to "q"`}},
		{"a path of another class", []Route{{Name: "r", Classes: []string{"view"}, Paths: []string{"/note/k"}, To: to("a")}, def}, []string{"never match"}},
		{"a path of no class", []Route{{Name: "r", Paths: []string{"/x/*"}, To: to("a")}, def}, []string{"never match"}},
		{"taken by several together", []Route{{Name: "p", Paths: []string{"/view/*"}, To: to("a")}, {Name: "q", Paths: []string{"/note/*"}, To: to("b")},
			{Name: "r", Listeners: []string{"main"}, To: to("c")}}, []string{"never match", `"p", "q"`}},
		{"a host with a port", []Route{{Name: "r", Hosts: []string{"a:80"}, To: to("a")}, def}, []string{"without a port"}},
		{"a host in upper case", []Route{{Name: "r", Hosts: []string{"A"}, To: to("a")}, def}, []string{"lower case"}},
		{"a host twice", []Route{{Name: "r", Hosts: []string{"a", "a"}, To: to("a")}, def}, []string{"listed twice"}},
		{"a star within", []Route{{Name: "r", Paths: []string{"/view/*/x"}, To: to("a")}, def}, []string{"last part"}},
		{"a path that is not plain", []Route{{Name: "r", Paths: []string{"/view/../note"}, To: to("a")}, def}, []string{"plain form", "/note"}},
		{"a path with a query", []Route{{Name: "r", Paths: []string{"/view/x?y"}, To: to("a")}, def}, []string{"query"}},
		{"a header's name", []Route{{Name: "r", Headers: []Header{{Name: "a b"}}, To: to("a")}, def}, []string{"no header's name"}},
		{"a header's value", []Route{{Name: "r", Headers: []Header{{Name: "a", Equals: text("a\r\nb")}}, To: to("a")}, def}, []string{"line ends"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, problems := Compile(c.routes, testNames)
			all := fmt.Sprint(problems)
			if table != nil || len(problems) == 0 {
				t.Fatal("compiled")
			}
			for _, s := range c.say {
				if !strings.Contains(all, s) {
					t.Errorf("%s\nsays nothing of %q", all, s)
				}
			}
		})
	}
}

// All problems come at once.
func TestAllProblemsAreReportedTogether(t *testing.T) {
	_, problems := Compile([]Route{{Name: "r", Classes: []string{"x"}, Hosts: []string{"A"}, To: to("y")}, {Name: "s", To: to("z")}}, testNames)
	if len(problems) != 4 {
		t.Errorf("%d problems, want 4: %v", len(problems), problems)
	}
}

// Weights split requests by their draws, the same way each time, and a weight that grows takes requests from the other pools
// only.
func TestWeightsSplitRequestsAmongPools(t *testing.T) {
	count := func(a, b int) (toA int, draws map[string]bool) {
		table := compile(t, Route{Name: "r", To: []Target{{Pool: "b", Weight: b}, {Pool: "a", Weight: a}, {Pool: "c"}}})
		draws = map[string]bool{}
		for i := range 10000 {
			c := &Request{Listener: "main", Class: "view", Path: "/view/k", Draw: fmt.Sprint("id-", i)}
			got, _ := table.Choose(c)
			if again, _ := table.Choose(c); again != got || got.Pool == "c" {
				t.Fatalf("%v, then %v", got, again)
			}
			if got.Pool == "a" {
				toA++
				draws[c.Draw] = true
			}
		}
		return toA, draws
	}
	few, first := count(1, 9)
	more, then := count(2, 8)
	if few < 800 || few > 1200 || more < 1800 || more > 2200 {
		t.Errorf("%d and %d of 10000, want about 1000 and 2000", few, more)
	}
	for id := range first {
		if !then[id] {
			t.Fatalf("%s left a pool whose weight grew", id)
		}
	}
}

// linearSearch finds a request's route by looking at all of them: what Table must do faster.
func linearSearch(routes []Route, c *Request) (best int) {
	best = -1
	var top rank
	for i, r := range routes {
		for _, h := range patternsOrAny(r.Hosts) {
			for _, p := range patternsOrAny(r.Paths) {
				host := strings.ToLower(c.Host)
				matches := r.Default || (len(r.Listeners) == 0 || contains(r.Listeners, c.Listener)) &&
					(len(r.Classes) == 0 || contains(r.Classes, c.Class)) &&
					(h == "" || h == host || strings.HasPrefix(h, "*") && strings.HasSuffix(host, h[1:])) &&
					(p == "" || p == c.Path || strings.HasSuffix(p, "/*") && (c.Path == p[:len(p)-2] || strings.HasPrefix(c.Path, p[:len(p)-1])))
				for _, w := range r.Headers {
					v := c.Headers.Values(w.Name)
					matches = matches && len(v) == 1 && (w.Equals == nil || v[0] == *w.Equals)
				}
				if !matches {
					continue
				}
				k := rank{host: hostRank(h), path: pathRank(p), headers: len(r.Headers), values: countWithValue(r.Headers),
					class: min(1, len(r.Classes)), listener: min(1, len(r.Listeners))}
				if r.Default {
					k = rank{host: -1}
				}
				if best < 0 || k.compare(top) > 0 {
					best, top = i, k
				}
			}
		}
	}
	return best
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// drawRoutes makes routes that often overlap, so that many sets are rejected and many are not.
func drawRoutes(t *rapid.T) []Route {
	some := func(label string, from ...string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(from), 0, 2, rapid.ID[string]).Draw(t, label)
	}
	var out []Route
	for i := range rapid.IntRange(1, 6).Draw(t, "routes") {
		r := Route{Name: fmt.Sprint("r", i), Listeners: some("listeners", "main", "side"), Classes: some("classes", "view", "note"),
			Hosts: some("hosts", "a.x", "b.x", "*.x", "*.a.x", "x"), Paths: some("paths", "/view/*", "/view/k", "/view/k/*", "/note/*", "/note/k/l"),
			To: to("a")}
		for _, h := range some("headers", "X-A", "X-B") {
			eq := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "value")
			w := Header{Name: h}
			if eq != "" {
				w.Equals = &eq
			}
			r.Headers = append(r.Headers, w)
		}
		out = append(out, r)
	}
	return append(out, Route{Name: "rest", Default: true, To: to("b")})
}

func drawRequest(t *rapid.T) *Request {
	c := &Request{Listener: rapid.SampledFrom(testNames.Listeners).Draw(t, "listener"), Class: rapid.SampledFrom(testNames.Classes).Draw(t, "class"),
		Host: rapid.SampledFrom([]string{"a.x", "b.x", "c.a.x", "x", "y", "A.X"}).Draw(t, "host")}
	c.Path = "/" + c.Class + rapid.SampledFrom([]string{"", "/", "/k", "/k/", "/k/l", "/k/l/m", "/kk"}).Draw(t, "path")
	h := http.Header{}
	for _, n := range []string{"X-A", "X-B"} {
		if v := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, n); v != "" {
			h.Set(n, v)
		}
	}
	c.Headers = h
	return c
}

// For any routes that compile, the table chooses as a linear search does, and every route but the
// default takes some request.
func TestTableChoosesRuleOfHighestRank(t *testing.T) {
	compiled, requests := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		routes := drawRoutes(t)
		table, problems := Compile(routes, testNames)
		if len(problems) > 0 {
			return
		}
		compiled++
		for range 20 {
			c := drawRequest(t)
			got, ok := table.Choose(c)
			if want := linearSearch(routes, c); !ok || got.Route != want {
				t.Fatalf("%+v: route %d, want %d", c, got.Route, want)
			}
			requests++
		}
	})
	t.Logf("%d sets of routes compiled, %d requests", compiled, requests)
}

// What compiles has no two routes of the same rank for one request, and each route takes some request; what does
// not compile for that reason has such a request or a route that takes none.
func TestRejectedRoutesAreAmbiguousOrUnreachable(t *testing.T) {
	var all []*Request
	for _, l := range testNames.Listeners {
		for _, class := range testNames.Classes {
			for _, host := range []string{"a.x", "b.x", "c.x", "c.a.x", "x", "y"} {
				for _, tail := range []string{"/k", "/k/l", "/k/z", "/z"} {
					for _, a := range []string{"", "1", "2", "3"} {
						for _, b := range []string{"", "1", "2", "3"} {
							h := http.Header{}
							if a != "" {
								h.Set("X-A", a)
							}
							if b != "" {
								h.Set("X-B", b)
							}
							all = append(all, &Request{Listener: l, Class: class, Host: host, Path: "/" + class + tail, Headers: h})
						}
					}
				}
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		routes := drawRoutes(t)
		_, problems := Compile(routes, testNames)
		taken := map[int]bool{len(routes) - 1: true}
		ambiguous := false
		for _, c := range all {
			first := linearSearch(routes, c)
			taken[first] = true
			reversed := make([]Route, 0, len(routes))
			for i := range routes {
				reversed = append(reversed, routes[len(routes)-1-i])
			}
			ambiguous = ambiguous || first != len(routes)-1-linearSearch(reversed, c)
		}
		if bad := ambiguous || len(taken) < len(routes); bad != (len(problems) > 0) {
			t.Fatalf("an overlap: %v; %d of %d routes take requests; problems: %v", ambiguous, len(taken), len(routes), problems)
		}
	})
}

func manyRoutes(n int) ([]Route, Names) {
	names := Names{Listeners: []string{"main", "side"}, Classes: []string{"view", "note", "log"}}
	var routes []Route
	for i := range n {
		pool := fmt.Sprint("pool-", i%1000)
		if i < 1000 {
			names.Pools = append(names.Pools, pool)
		}
		r := Route{Name: fmt.Sprint("r", i), Hosts: []string{fmt.Sprintf("h%d.example", i/4)}, To: to(pool)}
		switch i % 4 {
		case 0:
			r.Paths = []string{fmt.Sprintf("/view/core-%d/*", i)}
		case 1:
			r.Paths = []string{fmt.Sprintf("/note/core-%d", i)}
		case 2:
			r.Headers = []Header{{Name: "X-Team", Equals: text("a")}}
		}
		routes = append(routes, r)
	}
	return append(routes, Route{Name: "rest", Default: true, To: to("pool-0")}), names
}

func BenchmarkChooseAmong10000(b *testing.B) {
	routes, names := manyRoutes(10000)
	table, problems := Compile(routes, names)
	if len(problems) > 0 {
		b.Fatal(problems[0])
	}
	h := http.Header{"X-Team": {"a"}, "Accept": {"*/*"}}
	requests := []*Request{
		{Listener: "main", Class: "view", Host: "h1000.example", Path: "/view/core-4000/interval/7", Headers: h, Draw: "id"},
		{Listener: "side", Class: "note", Host: "h2000.example:80", Path: "/note/core-8001", Headers: h, Draw: "id"},
		{Listener: "main", Class: "log", Host: "h10.example", Path: "/log/core-1/2/3", Headers: h, Draw: "id"},
		{Listener: "main", Class: "log", Host: "nowhere.example", Path: "/log/core-1/2/3", Headers: h, Draw: "id"},
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := table.Choose(requests[i%len(requests)]); !ok {
			b.Fatal("no route")
		}
	}
}

func BenchmarkCompile10000(b *testing.B) {
	routes, names := manyRoutes(10000)
	b.ReportAllocs()
	for b.Loop() {
		if _, problems := Compile(routes, names); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}
