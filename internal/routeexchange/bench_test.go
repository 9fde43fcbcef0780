package routeexchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
)

func newLargeTable(n int) (*Table, []Advertisement) {
	table := NewTable(policyOf("p0", nil, "p1", "p2", "p3"), time.Now)
	var all []Advertisement
	for i := range n {
		all = append(all, newAdvertisement("p1", fmt.Sprint("o", i), fmt.Sprintf("/view/a%d/b%d/", i%100, i), "p1"))
	}
	table.replace(Source{"p1", "g", 1}, all)
	return table, all
}

// BenchmarkChoose selects a route among 10,000 advertisements.
func BenchmarkChoose(b *testing.B) {
	table, _ := newLargeTable(10_000)
	requests := make([]*Request, 1000)
	for i := range requests {
		requests[i] = &Request{Class: "view", Path: fmt.Sprintf("/view/a%d/b%d/leaf/17", i%100, i), Effect: balancer.Safe}
	}
	b.ReportAllocs()
	for i := range b.N {
		if _, ok := table.Choose(requests[i%len(requests)]); !ok {
			b.Fatal("no route")
		}
	}
}

// BenchmarkChange updates 1,000 of 10,000 advertisements.
func BenchmarkChange(b *testing.B) {
	table, all := newLargeTable(10_000)
	s := Source{"p1", "g", 1}
	for i := range b.N {
		some := slices.Clone(all[:1000])
		for k := range some {
			some[k].Version, some[k].Cost = uint64(i+2), i%7
		}
		table.update(s, some, nil)
	}
}
