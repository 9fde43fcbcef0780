package route

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

var testNames = Names{Listeners: []string{"main", "side"}, Classes: []string{"view", "note"}, Pools: []string{"a", "b", "c"}}

func singleTarget(pool string) []Target { return []Target{{Pool: pool, Weight: 1}} }

func stringPtr(s string) *string { return &s }

func mustCompile(t *testing.T, routes ...Route) *Table {
	t.Helper()
	table, problems := Compile(routes, testNames)
	if len(problems) > 0 {
		t.Fatalf("%v", problems)
	}
	return table
}

// checkRouting checks the pools of requests; "-" stands for none. A request is written as listener, class, host, path and headers.
func checkRouting(t *testing.T, table *Table, requests map[string]string) {
	t.Helper()
	for text, pool := range requests {
		fields := strings.Fields(text)
		request := &Request{Listener: fields[0], Class: fields[1], Host: fields[2], Path: fields[3], Headers: http.Header{}}
		for _, h := range fields[4:] {
			name, value, _ := strings.Cut(h, "=")
			request.Headers.(http.Header).Add(name, value)
		}
		got, ok := table.Choose(request)
		if !ok {
			got.Pool = "-"
		}
		if got.Pool != pool {
			t.Errorf("%s: got pool %s, want %s", text, got.Pool, pool)
		}
	}
}

func TestMostSpecificRouteWins(t *testing.T) {
	table := mustCompile(t,
		Route{Name: "host", Hosts: []string{"a.example"}, To: singleTarget("a")},
		Route{Name: "below", Hosts: []string{"*.example"}, Paths: []string{"/view/x/y/*"}, To: singleTarget("b")},
		Route{Name: "deep", Hosts: []string{"*.deep.example"}, To: singleTarget("c")},
		Route{Name: "path", Paths: []string{"/view/x/*"}, To: singleTarget("c")},
		Route{Name: "exact", Paths: []string{"/view/x/y"}, To: singleTarget("b")},
		Route{Name: "rest", Default: true, To: singleTarget("a")})
	checkRouting(t, table, map[string]string{
		"main view h /view/k":               "a", // the default route
		"main view h /view/x":               "c", // "/*" also matches the path itself
		"main view h /view/x/":              "c",
		"main view h /view/xy":              "a", // "/*" does not match within a segment
		"main view h /view/x/y":             "b", // an exact path before a prefix
		"main view h /view/x/y/z":           "c",
		"main view a.example /view/x/y":     "a", // host rank before path rank
		"main view A.Example:80 /view/x/y":  "a",
		"main view a.example. /view/x":      "a",
		"main view b.example /view/x/y/z":   "b",
		"main view b.example /view/x/k":     "c", // the path does not match the route for the host: the next one is used
		"main view x.b.example /view/x/y/z": "b",
		"main view x.deep.example /view/k":  "c",
		"main view deep.example /view/k":    "a", // "*." matches subdomains, not the name itself
		"main view example /view/x/y/z":     "c",
		"main view [::1]:80 /view/k":        "a",
		"main note a.example /note/k":       "a",
		"side note h /note/k":               "a",
	})
}

func TestHeadersClassAndListenerBreakTies(t *testing.T) {
	table := mustCompile(t,
		Route{Name: "class", Classes: []string{"note"}, To: singleTarget("b")},
		Route{Name: "listener", Listeners: []string{"side"}, To: singleTarget("c")},
		Route{Name: "value", Headers: []Header{{Name: "x-canary", Equals: stringPtr("1")}}, To: singleTarget("b")},
		Route{Name: "any value", Headers: []Header{{Name: "X-Canary"}}, To: singleTarget("c")},
		Route{Name: "two", Headers: []Header{{Name: "X-Canary"}, {Name: "X-Team"}}, To: singleTarget("a")},
		Route{Name: "rest", Default: true, To: singleTarget("a")})
	checkRouting(t, table, map[string]string{
		"main view h /view/k":                       "a",
		"main note h /note/k":                       "b",
		"side view h /view/k":                       "c",
		"side note h /note/k":                       "b", // class before listener
		"main view h /view/k X-Canary=1":            "b",
		"main note h /note/k X-Canary=2":            "c", // headers before class
		"main view h /view/k X-Canary=1 X-Canary=1": "c", // a repeated header matches no value
		"main view h /view/k X-Canary=1 X-Team=q":   "a",
		"main view h /view/k X-Team=q":              "a",
	})
}

func TestUnmatchedRequestHasNoPool(t *testing.T) {
	table := mustCompile(t, Route{Name: "v", Classes: []string{"view"}, Listeners: []string{"main"}, To: singleTarget("a")},
		Route{Name: "n", Classes: []string{"note"}, Hosts: []string{"h"}, To: singleTarget("a")})
	checkRouting(t, table, map[string]string{
		"main view h /view/k": "a", "side view h /view/k": "-", "main note h /note/k": "a",
		"main note g /note/k": "-", "gone view h /view/k": "-", "main none h /none/k": "-",
	})
	if _, ok := table.Choose(&Request{Listener: "main", Class: "view", Host: "h", Path: "/view"}); !ok {
		t.Error("a request without headers matched no route")
	}
}

// A problem names the invalid route, and the other route if two are involved.
func TestInvalidRoutesAreRejected(t *testing.T) {
	def := Route{Name: "rest", Default: true, To: singleTarget("a")}
	for _, c := range []struct {
		name   string
		routes []Route
		want   []string
	}{
		{"an unknown pool", []Route{{Name: "r", To: singleTarget("x")}}, []string{`"x"`, `allowed: "a", "b", "c"`}},
		{"an unknown class", []Route{{Name: "r", Classes: []string{"x"}, To: singleTarget("a")}, def}, []string{`"x"`, `"note", "view"`}},
		{"an unknown listener", []Route{{Name: "r", Listeners: []string{"x"}, To: singleTarget("a")}, def}, []string{`"x"`, `"main", "side"`}},
		{"no pool", []Route{{Name: "r"}}, []string{"no pool"}},
		{"all weights zero", []Route{{Name: "r", To: []Target{{Pool: "a"}, {Pool: "b"}}}}, []string{"all weights are 0"}},
		{"a negative weight", []Route{{Name: "r", To: []Target{{Pool: "a", Weight: -1}}}}, []string{"-1"}},
		{"a duplicate pool", []Route{{Name: "r", To: []Target{{Pool: "a", Weight: 1}, {Pool: "a", Weight: 1}}}}, []string{`"a" is listed twice`}},
		{"a duplicate name", []Route{{Name: "r", Classes: []string{"view"}, To: singleTarget("a")}, {Name: "r", Classes: []string{"note"}, To: singleTarget("a")}}, []string{"twice"}},
		{"two defaults", []Route{def, {Name: "other", Default: true, To: singleTarget("a")}}, []string{`"rest" is the default already`}},
		{"a default with conditions", []Route{{Name: "r", Default: true, Classes: []string{"view"}, To: singleTarget("a")}}, []string{"no conditions"}},
		{"a class that no route serves", []Route{{Name: "r", Classes: []string{"view"}, To: singleTarget("a")}}, []string{`no route serves class "note"`}},
		{"the same conditions", []Route{{Name: "q", Classes: []string{"view"}, To: singleTarget("a")}, {Name: "r", Classes: []string{"view"}, To: singleTarget("b")}, def},
			[]string{`overlaps route "q"`}},
		{"overlapping classes", []Route{{Name: "q", Classes: []string{"view"}, To: singleTarget("a")}, {Name: "r", Classes: []string{"note", "view"}, To: singleTarget("b")}, def},
			[]string{`overlaps route "q"`, `"view"`}},
		{"compatible headers", []Route{{Name: "q", Headers: []Header{{Name: "X-A"}}, To: singleTarget("a")},
			{Name: "r", Headers: []Header{{Name: "X-B"}}, To: singleTarget("b")}, def}, []string{`overlaps route "q"`}},
		{"a class shadowed by its path", []Route{{Name: "q", Paths: []string{"/view/*"}, To: singleTarget("a")}, {Name: "r", Classes: []string{"view"}, To: singleTarget("b")}, def},
			[]string{`never match`, `go to "q"`}},
		{"a path of another class", []Route{{Name: "r", Classes: []string{"view"}, Paths: []string{"/note/k"}, To: singleTarget("a")}, def}, []string{"never match"}},
		{"a path of no class", []Route{{Name: "r", Paths: []string{"/x/*"}, To: singleTarget("a")}, def}, []string{"never match"}},
		{"shadowed by two routes", []Route{{Name: "p", Paths: []string{"/view/*"}, To: singleTarget("a")}, {Name: "q", Paths: []string{"/note/*"}, To: singleTarget("b")},
			{Name: "r", Listeners: []string{"main"}, To: singleTarget("c")}}, []string{"never match", `"p", "q"`}},
		{"a host with a port", []Route{{Name: "r", Hosts: []string{"a:80"}, To: singleTarget("a")}, def}, []string{"without a port"}},
		{"a host in upper case", []Route{{Name: "r", Hosts: []string{"A"}, To: singleTarget("a")}, def}, []string{"lower case"}},
		{"a duplicate host", []Route{{Name: "r", Hosts: []string{"a", "a"}, To: singleTarget("a")}, def}, []string{"listed twice"}},
		{"a star inside a path", []Route{{Name: "r", Paths: []string{"/view/*/x"}, To: singleTarget("a")}, def}, []string{"last segment"}},
		{"a path that is not normalized", []Route{{Name: "r", Paths: []string{"/view/../note"}, To: singleTarget("a")}, def}, []string{"normalized form", "/note"}},
		{"a path with a query", []Route{{Name: "r", Paths: []string{"/view/x?y"}, To: singleTarget("a")}, def}, []string{"query"}},
		{"an invalid header name", []Route{{Name: "r", Headers: []Header{{Name: "a b"}}, To: singleTarget("a")}, def}, []string{"not a valid header name"}},
		{"an invalid header value", []Route{{Name: "r", Headers: []Header{{Name: "a", Equals: stringPtr("a\r\nb")}}, To: singleTarget("a")}, def}, []string{"line breaks"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, problems := Compile(c.routes, testNames)
			all := fmt.Sprint(problems)
			if table != nil || len(problems) == 0 {
				t.Fatal("invalid routes were compiled")
			}
			for _, want := range c.want {
				if !strings.Contains(all, want) {
					t.Errorf("%s\ndoes not contain %q", all, want)
				}
			}
		})
	}
}

// Compile reports all problems, not only the first.
func TestAllProblemsAreReportedTogether(t *testing.T) {
	_, problems := Compile([]Route{{Name: "r", Classes: []string{"x"}, Hosts: []string{"A"}, To: singleTarget("y")}, {Name: "s", To: singleTarget("z")}}, testNames)
	if len(problems) != 4 {
		t.Errorf("%d problems, want 4: %v", len(problems), problems)
	}
}

// Weights distribute requests by their hash keys, deterministically. A pool whose weight grows keeps its requests and gets more
// from the other pools.
func TestWeightsSplitRequestsAmongPools(t *testing.T) {
	count := func(a, b int) (toA int, hashKeys map[string]bool) {
		table := mustCompile(t, Route{Name: "r", To: []Target{{Pool: "b", Weight: b}, {Pool: "a", Weight: a}, {Pool: "c"}}})
		hashKeys = map[string]bool{}
		for i := range 10000 {
			request := &Request{Listener: "main", Class: "view", Path: "/view/k", HashKey: fmt.Sprint("id-", i)}
			got, _ := table.Choose(request)
			if again, _ := table.Choose(request); again != got || got.Pool == "c" {
				t.Fatalf("got %v, then %v for the same request; pool c has no weight", got, again)
			}
			if got.Pool == "a" {
				toA++
				hashKeys[request.HashKey] = true
			}
		}
		return toA, hashKeys
	}
	before, keysBefore := count(1, 9)
	after, keysAfter := count(2, 8)
	if before < 800 || before > 1200 || after < 1800 || after > 2200 {
		t.Errorf("%d and %d of 10000, want about 1000 and 2000", before, after)
	}
	for id := range keysBefore {
		if !keysAfter[id] {
			t.Fatalf("%s moved away from a pool whose weight grew", id)
		}
	}
}
