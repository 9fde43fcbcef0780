package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["long-hang"] = longHang }

// newHungServer is a server that hangs: its system accepts connections, and it never reads.
func newHungServer(uid string) target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		var open []net.Conn
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open = append(open, c)
		}
	}()
	return target{UID: uid, Endpoint: l.Addr().String(), Zone: "chavara", Model: "front-std", Pod: 2, State: "in_service", Capacity: 1}
}

// longHang has clients send long notes while a quarter of the servers hang.
func longHang() {
	a, _ := deploy(2, 6, siteClasses(), work)
	if trouble {
		for i := range 2 {
			a.set(newHungServer(fmt.Sprintf("s-7000000%d", i)))
		}
		time.Sleep(time.Second)
	}
	var all []*request
	var wg sync.WaitGroup
	for i := range 24 {
		r := newRequest("POST", "add-note", 6000000, 4*time.Second)
		all = append(all, r)
		wg.Go(func() { exchange(nodes[i%2].addr, patience, r) })
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
