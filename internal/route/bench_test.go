package route

import (
	"fmt"
	"net/http"
	"testing"
)

// manyRoutes returns n routes to 1,000 pools and a default route.
func manyRoutes(n int) ([]Route, Names) {
	names := Names{Listeners: []string{"main", "side"}, Classes: []string{"view", "note", "log"}}
	var routes []Route
	for i := range n {
		pool := fmt.Sprint("pool-", i%1000)
		if i < 1000 {
			names.Pools = append(names.Pools, pool)
		}
		r := Route{Name: fmt.Sprint("r", i), Hosts: []string{fmt.Sprintf("h%d.example", i/4)}, To: singleTarget(pool)}
		switch i % 4 {
		case 0:
			r.Paths = []string{fmt.Sprintf("/view/core-%d/*", i)}
		case 1:
			r.Paths = []string{fmt.Sprintf("/note/core-%d", i)}
		case 2:
			r.Headers = []Header{{Name: "X-Team", Equals: stringPtr("a")}}
		}
		routes = append(routes, r)
	}
	return append(routes, Route{Name: "rest", Default: true, To: singleTarget("pool-0")}), names
}

func BenchmarkChooseAmong10000(b *testing.B) {
	routes, names := manyRoutes(10000)
	table, problems := Compile(routes, names)
	if len(problems) > 0 {
		b.Fatal(problems[0])
	}
	h := http.Header{"X-Team": {"a"}, "Accept": {"*/*"}}
	requests := []*Request{
		{Listener: "main", Class: "view", Host: "h1000.example", Path: "/view/core-4000/interval/7", Headers: h, HashKey: "id"},
		{Listener: "side", Class: "note", Host: "h2000.example:80", Path: "/note/core-8001", Headers: h, HashKey: "id"},
		{Listener: "main", Class: "log", Host: "h10.example", Path: "/log/core-1/2/3", Headers: h, HashKey: "id"},
		{Listener: "main", Class: "log", Host: "nowhere.example", Path: "/log/core-1/2/3", Headers: h, HashKey: "id"},
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := table.Choose(requests[i%len(requests)]); !ok {
			b.Fatal("no route matched")
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
