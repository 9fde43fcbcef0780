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

// want checks where requests go: "-" for nowhere. A request is written as listener, class, host, path and headers.
func checkRouting(t *testing.T, table *Table, requests map[string]string) {
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
	table := mustCompile(t,
		Route{Name: "host", Hosts: []string{"a.example"}, To: singleTarget("a")},
		Route{Name: "below", Hosts: []string{"*.example"}, Paths: []string{"/view/x/y/*"}, To: singleTarget("b")},
		Route{Name: "deep", Hosts: []string{"*.deep.example"}, To: singleTarget("c")},
		Route{Name: "path", Paths: []string{"/view/x/*"}, To: singleTarget("c")},
		Route{Name: "exact", Paths: []string{"/view/x/y"}, To: singleTarget("b")},
		Route{Name: "rest", Default: true, To: singleTarget("a")})
	checkRouting(t, table, map[string]string{
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
		"side note h /note/k":                       "b", // the class before the listener
		"main view h /view/k X-Canary=1":            "b",
		"main note h /note/k X-Canary=2":            "c", // headers before the class
		"main view h /view/k X-Canary=1 X-Canary=1": "c", // twice is no one value
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
		t.Error("a request without headers goes nowhere")
	}
}

// Problems name the route at fault, and the other one where there is one.
func TestInvalidRoutesAreRejected(t *testing.T) {
	def := Route{Name: "rest", Default: true, To: singleTarget("a")}
	for _, c := range []struct {
		name   string
		routes []Route
		say    []string
	}{
		{"an unknown pool", []Route{{Name: "r", To: singleTarget("x")}}, []string{`"x"`, `allowed: "a", "b", "c"`}},
		{"an unknown class", []Route{{Name: "r", Classes: []string{"x"}, To: singleTarget("a")}, def}, []string{`"x"`, `"note", "view"`}},
		{"an unknown listener", []Route{{Name: "r", Listeners: []string{"x"}, To: singleTarget("a")}, def}, []string{`"x"`, `"main", "side"`}},
		{"no pool", []Route{{Name: "r"}}, []string{"no pool"}},
		{"no weight", []Route{{Name: "r", To: []Target{{Pool: "a"}, {Pool: "b"}}}}, []string{"all weights are 0"}},
		{"a negative weight", []Route{{Name: "r", To: []Target{{Pool: "a", Weight: -1}}}}, []string{"-1"}},
		{"a pool twice", []Route{{Name: "r", To: []Target{{Pool: "a", Weight: 1}, {Pool: "a", Weight: 1}}}}, []string{`"a" is listed twice`}},
		{"a name twice", []Route{{Name: "r", Classes: []string{"view"}, To: singleTarget("a")}, {Name: "r", Classes: []string{"note"}, To: singleTarget("a")}}, []string{"twice"}},
		{"two defaults", []Route{def, {Name: "other", Default: true, To: singleTarget("a")}}, []string{`"rest" is the default already`}},
		{"a default with conditions", []Route{{Name: "r", Default: true, Classes: []string{"view"}, To: singleTarget("a")}}, []string{"no conditions"}},
		{"a class that no route serves", []Route{{Name: "r", Classes: []string{"view"}, To: singleTarget("a")}}, []string{`no route serves class "note"`}},
		{"the same conditions", []Route{{Name: "q", Classes: []string{"view"}, To: singleTarget("a")}, {Name: "r", Classes: []string{"view"}, To: singleTarget("b")}, def},
			[]string{`overlaps route "q"`}},
		{"overlapping classes", []Route{{Name: "q", Classes: []string{"view"}, To: singleTarget("a")}, {Name: "r", Classes: []string{"note", "view"}, To: singleTarget("b")}, def},
			[]string{`overlaps route "q"`, `"view"`}},
		{"headers that can meet", []Route{{Name: "q", Headers: []Header{{Name: "X-A"}}, To: singleTarget("a")},
			{Name: "r", Headers: []Header{{Name: "X-B"}}, To: singleTarget("b")}, def}, []string{`overlaps route "q"`}},
		{"a class another way", []Route{{Name: "q", Paths: []string{"/view/*"}, To: singleTarget("a")}, {Name: "r", Classes: []string{"view"}, To: singleTarget("b")}, def},
			[]string{`never match`, `goes to "q"`}},
		{"a path of another class", []Route{{Name: "r", Classes: []string{"view"}, Paths: []string{"/note/k"}, To: singleTarget("a")}, def}, []string{"never match"}},
		{"a path of no class", []Route{{Name: "r", Paths: []string{"/x/*"}, To: singleTarget("a")}, def}, []string{"never match"}},
		{"taken by several together", []Route{{Name: "p", Paths: []string{"/view/*"}, To: singleTarget("a")}, {Name: "q", Paths: []string{"/note/*"}, To: singleTarget("b")},
			{Name: "r", Listeners: []string{"main"}, To: singleTarget("c")}}, []string{"never match", `"p", "q"`}},
		{"a host with a port", []Route{{Name: "r", Hosts: []string{"a:80"}, To: singleTarget("a")}, def}, []string{"without a port"}},
		{"a host in upper case", []Route{{Name: "r", Hosts: []string{"A"}, To: singleTarget("a")}, def}, []string{"lower case"}},
		{"a host twice", []Route{{Name: "r", Hosts: []string{"a", "a"}, To: singleTarget("a")}, def}, []string{"listed twice"}},
		{"a star within", []Route{{Name: "r", Paths: []string{"/view/*/x"}, To: singleTarget("a")}, def}, []string{"last part"}},
		{"a path that is not plain", []Route{{Name: "r", Paths: []string{"/view/../note"}, To: singleTarget("a")}, def}, []string{"plain form", "/note"}},
		{"a path with a query", []Route{{Name: "r", Paths: []string{"/view/x?y"}, To: singleTarget("a")}, def}, []string{"query"}},
		{"a header's name", []Route{{Name: "r", Headers: []Header{{Name: "a b"}}, To: singleTarget("a")}, def}, []string{"no header's name"}},
		{"a header's value", []Route{{Name: "r", Headers: []Header{{Name: "a", Equals: stringPtr("a\r\nb")}}, To: singleTarget("a")}, def}, []string{"line ends"}},
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
	_, problems := Compile([]Route{{Name: "r", Classes: []string{"x"}, Hosts: []string{"A"}, To: singleTarget("y")}, {Name: "s", To: singleTarget("z")}}, testNames)
	if len(problems) != 4 {
		t.Errorf("%d problems, want 4: %v", len(problems), problems)
	}
}

// Weights split requests by their draws, the same way each time, and a weight that grows takes requests from the other pools
// only.
func TestWeightsSplitRequestsAmongPools(t *testing.T) {
	count := func(a, b int) (toA int, draws map[string]bool) {
		table := mustCompile(t, Route{Name: "r", To: []Target{{Pool: "b", Weight: b}, {Pool: "a", Weight: a}, {Pool: "c"}}})
		draws = map[string]bool{}
		for i := range 10000 {
			c := &Request{Listener: "main", Class: "view", Path: "/view/k", HashKey: fmt.Sprint("id-", i)}
			got, _ := table.Choose(c)
			if again, _ := table.Choose(c); again != got || got.Pool == "c" {
				t.Fatalf("%v, then %v", got, again)
			}
			if got.Pool == "a" {
				toA++
				draws[c.HashKey] = true
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
