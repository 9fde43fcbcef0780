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
	for i, route := range routes {
		for _, hostPattern := range patternsOrAny(route.Hosts) {
			for _, pathPattern := range patternsOrAny(route.Paths) {
				host := strings.ToLower(request.Host)
				matches := route.Default || (len(route.Listeners) == 0 || contains(route.Listeners, request.Listener)) &&
					(len(route.Classes) == 0 || contains(route.Classes, request.Class)) &&
					(hostPattern == "" || hostPattern == host || strings.HasPrefix(hostPattern, "*") && strings.HasSuffix(host, hostPattern[1:])) &&
					(pathPattern == "" || pathPattern == request.Path || strings.HasSuffix(pathPattern, "/*") && (request.Path == pathPattern[:len(pathPattern)-2] || strings.HasPrefix(request.Path, pathPattern[:len(pathPattern)-1])))
				for _, condition := range route.Headers {
					values := request.Headers.Values(condition.Name)
					matches = matches && len(values) == 1 && (condition.Equals == nil || values[0] == *condition.Equals)
				}
				if !matches {
					continue
				}
				ruleRank := rank{host: hostRank(hostPattern), path: pathRank(pathPattern), headers: len(route.Headers), values: countWithValue(route.Headers),
					class: min(1, len(route.Classes)), listener: min(1, len(route.Listeners))}
				if route.Default {
					ruleRank = rank{host: -1}
				}
				if best < 0 || ruleRank.compare(bestRank) > 0 {
					best, bestRank = i, ruleRank
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
