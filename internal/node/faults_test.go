package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// badAnswerWithin is how long a client that stops in the middle of a request waits for its error or close at most, and how
// long a good one's answer may be late. Both terms have room beyond for a test's machine.
const (
	badAnswerWithin = 3 * time.Second
	lateAnswer      = 500 * time.Millisecond
)

// badClients are what clients may do to a node beside others. Each returns once its connection has ended, or at stop.
var badClients = map[string]func(nc net.Conn, stop chan struct{}){
	"half a head": func(nc net.Conn, _ chan struct{}) { io.WriteString(nc, "GET /view/k HTTP/1.1\r\nX-Req"); toEnd(nc) },
	"half a body": func(nc net.Conn, _ chan struct{}) { io.WriteString(nc, badHead+"hal"); toEnd(nc) },
	"a slow head": func(nc net.Conn, _ chan struct{}) { // slower than a head may be
		for _, b := range []byte(badHead) {
			if _, err := nc.Write([]byte{b}); err != nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		toEnd(nc)
	},
	"answers that it doesn't read": func(nc net.Conn, stop chan struct{}) {
		io.WriteString(nc, "GET /view/long HTTP/1.1\r\nHost: h\r\nX-Request-Id: long"+nc.LocalAddr().String()+"\r\nX-Deadline: 1\r\n\r\n")
		<-stop
	},
	"a flood, and gone": func(nc net.Conn, stop chan struct{}) {
		for i := 0; !isClosed(stop); i++ {
			c, err := net.Dial("tcp", nc.RemoteAddr().String())
			if err != nil {
				return
			}
			for j := range 50 {
				fmt.Fprintf(c, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: f-%v-%d-%d\r\nX-Deadline: 1\r\n\r\n", nc.LocalAddr(), i, j)
			}
			c.Close()
			time.Sleep(20 * time.Millisecond)
		}
	},
}

const badHead = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: bad\r\nX-Deadline: 1\r\nContent-Length: 9\r\n\r\n"

// toEnd reads until the other side has closed.
func toEnd(nc net.Conn) { io.Copy(io.Discard, nc) }

// stalls says that a client of badClients is owed its error or close: it has stopped in the middle of a request.
func stalls(name string) bool { return strings.HasPrefix(name, "half") || name == "a slow head" }

// Whatever other clients do, and though one server hangs and another does on some requests, each good request gets its one
// final answer in time; who stops in the middle of a request gets its error or close within 3 s. Nor do they hold the end up.
func TestFaultsCostNoHealthyRequestItsResponse(t *testing.T) {
	long := strings.Repeat("x", 4<<20)
	var seen atomic.Int64
	some := func(c net.Conn, r *http.Request, body string) bool {
		switch {
		case r.URL.Path == "/view/long":
			return testpeer.Reply200(c, long)
		case seen.Add(1)%50 == 0: // unanswered
			io.Copy(io.Discard, c)
			return false
		}
		return testpeer.Echo(c, r, body)
	}
	hung := testpeer.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool { io.Copy(io.Discard, c); return false })
	one, two := testpeer.NewServer(t, some), testpeer.NewServer(t, some)
	n, stop := startNode(t, shortConfig(time.Second, testpeer.Whole(testpeer.Entry("s1", one.Address(), "in_service"),
		testpeer.Entry("s2", two.Address(), "in_service"), testpeer.Entry("s3", hung.Address(), "in_service"))), nil)
	over := make(chan struct{})
	var bad, good sync.WaitGroup
	for name, play := range badClients {
		for range 2 {
			bad.Go(func() {
				nc, err := net.Dial("tcp", n.Addr("main"))
				if err != nil {
					t.Error(err)
					return
				}
				defer nc.Close()
				begin := time.Now()
				nc.SetDeadline(begin.Add(testpeer.Limit))
				play(nc, over)
				if took := time.Since(begin); stalls(name) && took > badAnswerWithin+lateAnswer {
					t.Errorf("%s: its connection ended after %v", name, took)
				}
			})
		}
	}
	for i := range 4 {
		good.Go(func() { goodRequests(t, n.Addr("main"), fmt.Sprint("good", i), 100) })
	}
	good.Wait()
	begin := time.Now()
	err := stop()
	if took := time.Since(begin); err != nil || took >= time.Second+killAfter {
		t.Errorf("ended after %v: %v", took, err)
	}
	close(over)
	bad.Wait()
	testpeer.Until(t, "no request to be open", func() bool { return n.metrics.Report().OpenRequests == 0 })
}

// goodRequests sends requests one after the other, on one connection for as long as it stays, and waits for each answer.
func goodRequests(t *testing.T, address, name string, count int) {
	var (
		nc  net.Conn
		in  *bufio.Reader
		err error
	)
	for i := range count {
		if nc == nil {
			if nc, err = net.Dial("tcp", address); err != nil {
				t.Error(err)
				return
			}
			in = bufio.NewReader(nc)
		}
		begin := time.Now()
		nc.SetDeadline(begin.Add(testpeer.Limit))
		fmt.Fprintf(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s-%d\r\nX-Deadline: 1\r\n\r\n", name, i)
		r, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if took := time.Since(begin); err != nil || took > time.Second+lateAnswer {
			t.Errorf("%s-%d: %v after %v", name, i, err, took)
			nc.Close()
			return
		}
		if r.Close {
			nc.Close()
			nc = nil
		}
	}
	if nc != nil {
		nc.Close()
	}
}
