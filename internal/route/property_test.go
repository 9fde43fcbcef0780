package route

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"
)

// chooseLinearly returns the index of a request's route by comparing all routes. Table must give the same result.
func chooseLinearly(routes []Route, request *Request) (best int) {
	best = -1
	var bestRank rank
	for i, r := range routes {
		for _, h := range patternsOrAny(r.Hosts) {
			for _, p := range patternsOrAny(r.Paths) {
				host := strings.ToLower(request.Host)
				matches := r.Default || (len(r.Listeners) == 0 || contains(r.Listeners, request.Listener)) &&
					(len(r.Classes) == 0 || contains(r.Classes, request.Class)) &&
					(h == "" || h == host || strings.HasPrefix(h, "*") && strings.HasSuffix(host, h[1:])) &&
					(p == "" || p == request.Path || strings.HasSuffix(p, "/*") && (request.Path == p[:len(p)-2] || strings.HasPrefix(request.Path, p[:len(p)-1])))
				for _, w := range r.Headers {
					v := request.Headers.Values(w.Name)
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
				if best < 0 || k.compare(bestRank) > 0 {
					best, bestRank = i, k
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

// drawRoutes draws routes that often overlap, so that many sets of them are rejected and many are accepted.
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
	request := &Request{Listener: rapid.SampledFrom(testNames.Listeners).Draw(t, "listener"), Class: rapid.SampledFrom(testNames.Classes).Draw(t, "class"),
		Host: rapid.SampledFrom([]string{"a.x", "b.x", "c.a.x", "x", "y", "A.X"}).Draw(t, "host")}
	request.Path = "/" + request.Class + rapid.SampledFrom([]string{"", "/", "/k", "/k/", "/k/l", "/k/l/m", "/kk"}).Draw(t, "path")
	h := http.Header{}
	for _, n := range []string{"X-A", "X-B"} {
		if v := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, n); v != "" {
			h.Set(n, v)
		}
	}
	request.Headers = h
	return request
}

// For any routes that compile, the table selects the same route as a linear search.
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
			request := drawRequest(t)
			got, ok := table.Choose(request)
			if want := chooseLinearly(routes, request); !ok || got.Route != want {
				t.Fatalf("%+v: got route %d, want %d", request, got.Route, want)
			}
			requests++
		}
	})
	t.Logf("%d sets of routes compiled, %d requests", compiled, requests)
}

// Routes compile if and only if no request matches two routes of the same rank and each route takes some request.
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
		for _, request := range all {
			first := chooseLinearly(routes, request)
			taken[first] = true
			reversed := make([]Route, 0, len(routes))
			for i := range routes {
				reversed = append(reversed, routes[len(routes)-1-i])
			}
			ambiguous = ambiguous || first != len(routes)-1-chooseLinearly(reversed, request)
		}
		if invalid := ambiguous || len(taken) < len(routes); invalid != (len(problems) > 0) {
			t.Fatalf("ambiguous: %v; %d of %d routes take requests; problems: %v", ambiguous, len(taken), len(routes), problems)
		}
	})
}
