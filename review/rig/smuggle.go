package main

import (
	"fmt"
	"io"
	"net"
	"regexp"
	"sync"
	"time"
)

func init() { cases["smuggle"] = smuggle }

// both returns a request with a Content-Length and a Transfer-Encoding, whose body hides another request: by its
// Transfer-Encoding the body is one chunk that holds the hidden request, by its Content-Length only the line with the chunk's
// size.
func both(version, outer, hidden string) string {
	inner := "POST /add-note/77 HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + hidden + "\r\nX-Deadline: 2.000\r\nContent-Length: 0\r\n\r\n"
	size := fmt.Sprintf("%x\r\n", len(inner))
	return "POST /add-note/66 HTTP/" + version + "\r\nHost: backend.local\r\nConnection: keep-alive\r\nX-Request-Id: " + outer + "\r\nX-Deadline: 2.000\r\n" +
		fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(size)) + size + inner + "\r\n0\r\n\r\n"
}

// statusLine finds the answers in what a client got.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// badClient sends one such request and reads what it gets for 3 s.
func badClient(addr, version, outer, hidden string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		record("bad client: %v", err)
		return
	}
	defer c.Close()
	io.WriteString(c, both(version, outer, hidden))
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	got, err := io.ReadAll(c)
	lines := statusLine.FindAllString(string(got), -1)
	record("bad client: HTTP/%s, outer %s, hidden %s: got %q, then %v", version, outer, hidden, lines, err)
}

// smuggle plays bad clients beside usual ones.
func smuggle() {
	deploy(2, 6, siteClasses(), work)
	badIDs := map[string]string{} // id: what it is
	var wg sync.WaitGroup
	var good []*request
	var mu sync.Mutex
	for i := range 8 {
		wg.Go(func() {
			for n := range 20 {
				r := newRequest("GET", "view-interval", 0, 4*time.Second)
				if n%6 > 0 {
					r = newRequest("POST", "add-note", 200, 4*time.Second)
				}
				exchange(nodes[i%2].addr, time.Second, r)
				mu.Lock()
				good = append(good, r)
				mu.Unlock()
			}
		})
	}
	if trouble {
		for i := range 8 {
			version := []string{"1.1", "1.0"}[i/2%2]
			outer, hidden := newID(), newID()
			badIDs[outer] = "a request with Content-Length and Transfer-Encoding (HTTP/" + version + ")"
			badIDs[hidden] = "the request hidden in the body of one with both (HTTP/" + version + ")"
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 300 * time.Millisecond)
				badClient(nodes[i%2].addr, version, outer, hidden)
			})
		}
	}
	wg.Wait()
	var broken []string
	for _, r := range good {
		record("%s", r.outcome())
		if text := r.broken(); text != "" {
			record("usual client, not counted here: %s", text)
		}
	}
	recordArrivals()
	for _, a := range arrivals.all {
		if what := badIDs[a.id]; what != "" {
			broken = append(broken, fmt.Sprintf("server %s got %s, %s", a.server, a.id, what))
		}
	}
	verdict(broken)
}
