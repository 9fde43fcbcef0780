package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["gap"] = gap }

// gap has clients that write slowly send a view with a long answer and long notes at once on a connection; without the trouble,
// the same requests one at a time.
func gap() {
	const clients, rounds, notes = 6, 3, 5
	longViews = true
	deploy(2, 6, siteClasses(), work)
	var mu sync.Mutex
	var all []*request
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			addr := nodes[i%len(nodes)].addr
			for range rounds {
				view := newRequest("GET", "view-interval", 0, 4*time.Second)
				view.want = longAnswer(view.id)
				rs := []*request{view}
				for range notes {
					note := newRequest("POST", "add-note", 120000, 4*time.Second)
					note.slow = true
					rs = append(rs, note)
				}
				mu.Lock()
				all = append(all, rs...)
				mu.Unlock()
				if trouble {
					exchange(addr, patience, rs...)
				} else {
					sendOneByOne(addr, rs)
				}
			}
		})
	}
	wg.Wait()
	outcomes := map[string]string{}
	for _, r := range all {
		record("%s", r.outcome())
		outcomes[r.id] = r.outcome()
	}
	recordArrivals()
	var broken []string
	arrivals.Lock()
	defer arrivals.Unlock()
	for _, a := range arrivals.all {
		if a.wrong != "" {
			broken = append(broken, fmt.Sprintf("server %s ran %s with a body that no client sent: %d bytes%s. Its client: %s", a.server, a.id, a.bytes, a.wrong, outcomes[a.id]))
		}
	}
	verdict(broken)
}
