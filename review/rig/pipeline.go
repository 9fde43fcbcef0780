package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	// A view takes 0.3 s, so twelve, one after another, take 3.6 s; their clients wait for 2.4 s.
	cases["pipeline-late"] = func() { pipeline(12, "GET", "view-interval", 0, 2400*time.Millisecond) }
	// Eight notes of 30 KB are 240 KB behind one another.
	cases["pipeline-bodies"] = func() { pipeline(8, "POST", "add-note", 30000, 4*time.Second) }
}

// work is the time that a server takes for a request: within the brief's mean work and waits of each class.
func work(*http.Request) time.Duration { return 300 * time.Millisecond }

// pipeline has clients send many requests at once on a connection; without the trouble, the same requests one at a time.
func pipeline(depth int, method, class string, body int, deadline time.Duration) {
	const clients, rounds = 6, 3
	deploy(2, 6, siteClasses(), work)
	var mu sync.Mutex
	var all []*request
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			addr := nodes[i%len(nodes)].addr
			for range rounds {
				var rs []*request
				for range depth {
					rs = append(rs, newRequest(method, class, body, deadline))
				}
				mu.Lock()
				all = append(all, rs...)
				mu.Unlock()
				if trouble {
					sendAtOnce(addr, rs)
				} else {
					sendOneByOne(addr, rs)
				}
			}
		})
	}
	wg.Wait()
	var broken []string
	for _, r := range all {
		record("%s", r.outcome())
		if text := r.broken(); text != "" {
			broken = append(broken, text)
		}
	}
	recordArrivals()
	verdict(broken)
}

// sendAtOnce sends requests at once on one connection. What is not answered when that ends is sent once more, on a new one: the
// page grants that for a request that the node has not read, and a client can't tell.
func sendAtOnce(addr string, rs []*request) {
	exchange(addr, patience, rs...)
	var again []*request
	for _, r := range rs {
		if r.answered.IsZero() && r.ended.Before(r.taken.Add(r.deadline)) {
			r.firstTaken = r.taken
			again = append(again, r)
		}
	}
	if len(again) > 0 {
		record("connection ended with %d of %d unanswered: %v; they are sent once more", len(again), len(rs), again[0].err)
		exchange(addr, patience, again...)
	}
}

// sendOneByOne sends requests one at a time on one connection, as long as that stays open.
func sendOneByOne(addr string, rs []*request) {
	var c net.Conn
	for _, r := range rs {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", addr); err != nil {
				r.err = err
				continue
			}
		}
		if exchangeOn(c, patience, r); r.err != nil || r.last {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}
