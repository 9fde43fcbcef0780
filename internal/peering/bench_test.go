package peering

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// BenchmarkRequest measures the time of a request and its reply over loopback.
func BenchmarkRequest(b *testing.B) {
	o := options("b", "b1", 1)
	o.Topics = map[string]Handler{"x": func(_ *Link, body []byte, reply func(any, error)) { reply(len(body), nil) }}
	to, err := Open(o)
	if err != nil {
		b.Fatal(err)
	}
	defer to.Close()
	from, err := Open(options("a", "a1", 1))
	if err != nil {
		b.Fatal(err)
	}
	defer from.Close()
	from.Connect(to.Addr(), "b")
	var l *Link
	for ; l == nil; l = from.Link(to.Self().ID()) {
		time.Sleep(time.Millisecond)
	}
	body := make([]byte, 400)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		var n int
		if err := l.Do(context.Background(), "x", body, &n); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLinkMemory measures the memory of one end of a link after its first heartbeats: heap and stacks of 200 hubs with one link
// each to a central hub, minus those of the same hubs without links.
func BenchmarkLinkMemory(b *testing.B) {
	const links = 200
	memoryInUse := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	for b.Loop() {
		openHub := func(name string) *Hub {
			o := options("a", name, 1)
			o.HeartbeatInterval = 20 * time.Millisecond
			o.HeartbeatTimeout = testpeer.Limit
			h, err := Open(o)
			if err != nil {
				b.Fatal(err)
			}
			return h
		}
		center := openHub("center")
		var hubs []*Hub
		for i := range links {
			hubs = append(hubs, openHub(fmt.Sprint("h", i)))
		}
		before := memoryInUse()
		for _, h := range hubs {
			h.Connect(center.Addr(), "a")
		}
		for len(center.Links("")) < links || slices.ContainsFunc(center.Links(""), func(l *Link) bool { return l.RTT() == 0 }) {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric((memoryInUse()-before)/(2*links), "B/end")
		for _, h := range append(hubs, center) {
			h.Close()
		}
	}
}
