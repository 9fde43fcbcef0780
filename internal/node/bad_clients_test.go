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

// stalledClientLimit is the time within which a client that stops in the middle of a request gets an error response or a
// closed connection. maxResponseDelay is the delay allowed for a healthy response. Both leave room for a slow test machine.
const (
	stalledClientLimit = 3 * time.Second
	maxResponseDelay   = 500 * time.Millisecond
)

// badClients are misbehaving clients. Each returns once its connection is closed or stop is closed.
var badClients = map[string]func(nc net.Conn, stop chan struct{}){
	"half a head": func(nc net.Conn, _ chan struct{}) {
		io.WriteString(nc, "GET /view/k HTTP/1.1\r\nX-Req")
		readUntilClosed(nc)
	},
	"half a body": func(nc net.Conn, _ chan struct{}) { io.WriteString(nc, badHead+"hal"); readUntilClosed(nc) },
	"a slow head": func(nc net.Conn, _ chan struct{}) { // slower than the limit for a request head
		for _, b := range []byte(badHead) {
			if _, err := nc.Write([]byte{b}); err != nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		readUntilClosed(nc)
	},
	"unread responses": func(nc net.Conn, stop chan struct{}) {
		io.WriteString(nc, "GET /view/long HTTP/1.1\r\nHost: h\r\nX-Request-Id: long"+nc.LocalAddr().String()+"\r\nX-Deadline: 1\r\n\r\n")
		<-stop
	},
	"a flood of abandoned requests": func(nc net.Conn, stop chan struct{}) {
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

// readUntilClosed reads until the peer closes the connection.
func readUntilClosed(nc net.Conn) { io.Copy(io.Discard, nc) }

// stopsMidRequest reports whether a client of badClients stops in the middle of a request, so that the node must send an
// error response or close the connection.
func stopsMidRequest(name string) bool {
	return strings.HasPrefix(name, "half") || name == "a slow head"
}

// Clients misbehave, one server hangs and another hangs on some requests. Each healthy request still gets its one final
// response in time, a client that stops in the middle of a request gets an error response or a closed connection within 3s,
// and none of them delays the shutdown.
func TestHealthyRequestsUnderBadClientsAndServers(t *testing.T) {
	longBody := strings.Repeat("x", 4<<20)
	var seen atomic.Int64
	hangsSometimes := func(c net.Conn, r *http.Request, body string) bool {
		switch {
		case r.URL.Path == "/view/long":
			return testpeer.Reply200(c, longBody)
		case seen.Add(1)%50 == 0: // left without a response
			io.Copy(io.Discard, c)
			return false
		}
		return testpeer.Echo(c, r, body)
	}
	hung := testpeer.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool { io.Copy(io.Discard, c); return false })
	one, two := testpeer.NewServer(t, hangsSometimes), testpeer.NewServer(t, hangsSometimes)
	n, stop := startNode(t, shortConfig(time.Second, testpeer.FullSnapshot(testpeer.Entry("s1", one.Address(), "in_service"),
		testpeer.Entry("s2", two.Address(), "in_service"), testpeer.Entry("s3", hung.Address(), "in_service"))), nil)
	stopClients := make(chan struct{})
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
				play(nc, stopClients)
				if took := time.Since(begin); stopsMidRequest(name) && took > stalledClientLimit+maxResponseDelay {
					t.Errorf("%s: connection closed after %v", name, took)
				}
			})
		}
	}
	for i := range 4 {
		good.Go(func() { sendHealthyRequests(t, n.Addr("main"), fmt.Sprint("good", i), 100) })
	}
	good.Wait()
	begin := time.Now()
	err := stop()
	if took := time.Since(begin); err != nil || took >= time.Second+killAfter {
		t.Errorf("shutdown took %v: %v", took, err)
	}
	close(stopClients)
	bad.Wait()
	testpeer.Until(t, "all requests to be closed", func() bool { return n.metrics.Report().OpenRequests == 0 })
}

// sendHealthyRequests sends requests one after the other and waits for each response. It reuses the connection while it
// stays open.
func sendHealthyRequests(t *testing.T, address, name string, count int) {
	var (
		conn   net.Conn
		reader *bufio.Reader
		err    error
	)
	for i := range count {
		if conn == nil {
			if conn, err = net.Dial("tcp", address); err != nil {
				t.Error(err)
				return
			}
			reader = bufio.NewReader(conn)
		}
		begin := time.Now()
		conn.SetDeadline(begin.Add(testpeer.Limit))
		fmt.Fprintf(conn, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s-%d\r\nX-Deadline: 1\r\n\r\n", name, i)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if took := time.Since(begin); err != nil || took > time.Second+maxResponseDelay {
			t.Errorf("%s-%d: %v after %v", name, i, err, took)
			conn.Close()
			return
		}
		if response.Close {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}
