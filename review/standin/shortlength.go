package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// shortLength: some answers of servers come with a length that is too small. No client is served anything but the answer made for its
// request.
func shortLength(w *world) error {
	const (
		clients  = 8
		requests = 25 // of each client, one after the other
		spoilt   = 20 // one answer in so many
		deadline = 4 * time.Second
		service  = 100 * time.Millisecond
	)
	var mu sync.Mutex
	answers, spoiltIDs := 0, map[string]bool{}
	reply := func(s *server, c net.Conn, r *http.Request) bool {
		time.Sleep(service)
		id := r.Header.Get("X-Request-Id")
		text := longAnswer(id)
		length := len(text)
		mu.Lock()
		if answers++; w.trouble && answers%spoilt == 0 {
			length /= 2
			spoiltIDs[id] = true
			w.logf("%s answers %s with Content-Length %d and %d bytes", s.uid, id, length, len(text))
		}
		mu.Unlock()
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, text)
		return err == nil
	}
	f, err := w.startFleet(reply, nodeOptions{})
	if err != nil {
		return err
	}
	var done sync.WaitGroup
	for i := range clients {
		done.Go(func() {
			for n := range requests {
				id := requestID(1000*i + n)
				class := "view-interval"
				if n%2 == 1 {
					class = "add-note"
				}
				got := w.sendAlone(f.node.address, id, requestText(class, id, deadline, "a note"), deadline+2*time.Second)
				if got.err == nil && got.kind == "served" && got.body != longAnswer(id) {
					w.violate("%s (%s) was served %d bytes of an answer of %d, as a whole answer", id, class, len(got.body), len(longAnswer(id)))
				}
			}
		})
	}
	done.Wait()
	w.logf("%d answers, %d of them spoilt", answers, len(spoiltIDs))
	return nil
}

// longAnswer is the answer of a server to a request.
func longAnswer(id string) string { return strings.Repeat("annotation of "+id+"; ", 40) }
