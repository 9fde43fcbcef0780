package route

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"
)

// linearSearch finds a request's route by looking at all of them: what Table must do faster.
func chooseLinearly(routes []Route, c *Request) (best int) {
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
			To: singleTarget("a")}
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
	return append(out, Route{Name: "rest", Default: true, To: singleTarget("b")})
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
			if want := chooseLinearly(routes, c); !ok || got.Route != want {
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
			first := chooseLinearly(routes, c)
			taken[first] = true
			reversed := make([]Route, 0, len(routes))
			for i := range routes {
				reversed = append(reversed, routes[len(routes)-1-i])
			}
			ambiguous = ambiguous || first != len(routes)-1-chooseLinearly(reversed, c)
		}
		if bad := ambiguous || len(taken) < len(routes); bad != (len(problems) > 0) {
			t.Fatalf("an overlap: %v; %d of %d routes take requests; problems: %v", ambiguous, len(taken), len(routes), problems)
		}
	})
}
