package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// endlessAnswer: some answers of servers never end. Each request has its final answer, or the end of its connection, in the time of
// its client.
func endlessAnswer(w *world) error {
	const (
		requests = 8
		spoilt   = 2 // of them
		deadline = 2 * time.Second
		service  = 200 * time.Millisecond
		watched  = 20 * time.Second // how long the client looks on
	)
	sound := serveAfter(service)
	reply := func(s *server, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		if !w.trouble || id != requestID(0) && id != requestID(1) {
			return sound(s, c, r)
		}
		time.Sleep(service)
		if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
			return false
		}
		part := strings.Repeat("a", 1<<10)
		for begin := time.Now(); time.Since(begin) < 2*watched; time.Sleep(100 * time.Millisecond) {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part); err != nil {
				w.logf("%s: the node has ended the answer to %s: %v", s.uid, id, err)
				return false
			}
		}
		return false
	}
	f, err := w.startFleet(reply, nodeOptions{})
	if err != nil {
		return err
	}
	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() {
			class := "view-interval"
			if i%spoilt == 1 {
				class = "add-note"
			}
			got := w.sendAlone(f.node.address, requestID(i), requestText(class, requestID(i), deadline, "a note"), watched)
			if got.after > deadline+answerSlack {
				w.violate("%s (%s): its client waits for %v, and had neither a whole answer nor its end for %.3f s (%d bytes)", got.id, class, deadline, got.after.Seconds(), len(got.body))
			}
		})
	}
	clients.Wait()
	return nil
}
