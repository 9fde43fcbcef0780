package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["short-length"] = shortLength }

// spoil is set where one answer in twenty has a length that doesn't fit: it is less than the body has.
var spoil bool

var answersSpoilt atomic.Int64

// writeSpoilt writes an answer whose length is too small; the connection stays open and is of no further use.
func writeSpoilt(w http.ResponseWriter, id string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	text := answerOf(id)
	answersSpoilt.Add(1)
	record("answer to %s spoilt", id)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text)/2, text)
	go func() {
		defer c.Close()
		c.SetReadDeadline(time.Now().Add(time.Minute))
		io.Copy(io.Discard, c)
	}()
}

// shortLength has clients send views while one answer in twenty has a length that doesn't fit.
func shortLength() {
	const clients, length = 24, 5 * time.Second
	spoil = trouble
	deploy(2, 6, siteClasses(), work)
	until := time.Now().Add(length)
	var mu sync.Mutex
	var all []*request
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			for time.Now().Before(until) {
				r := newRequest("GET", "view-interval", 0, 2400*time.Millisecond)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				exchange(nodes[i%len(nodes)].addr, patience, r)
			}
		})
	}
	wg.Wait()
	var broken []string
	for _, r := range all {
		record("%s", r.outcome())
		if text := r.broken(); text != "" {
			broken = append(broken, text+fmt.Sprintf("; it got %q", r.text))
		}
	}
	recordArrivals()
	record("%d answers spoilt", answersSpoilt.Load())
	verdict(broken)
}
