package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/testpeer"
)

// replyCases are replies of a server and the outcome of their attempt.
var replyCases = []struct {
	name, reply string // "-": the server resets the connection
	want        balancer.Result
	reusable    bool
}{
	{"served", "200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
	{"served in chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.Success, true},
	{"served and closed", "200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", balancer.Success, false},
	{"served after 100", "100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
	{"error", "500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
	{"rejected", "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
	{"rejected as timed out", "504 Gateway Timeout\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
	{"503 that may have run", "503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
	{"504 that may have run", "504 Gateway Timeout\r\nX-Not-Run: 0\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
	{"500 with the mark", "500 Internal Server Error\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
	{"reset", "-", balancer.ConnectionLost, false},
	{"cut head", "200 OK\r\nContent-Le", balancer.ConnectionLost, false},
	{"cut body", "200 OK\r\nContent-Length: 9\r\n\r\nok", balancer.ConnectionLost, false},
	{"cut chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", balancer.ConnectionLost, false},
	{"no length, but a close", "200 OK\r\n\r\nok", balancer.Success, false},
	{"no length, and a reset", "200 OK\r\n\r\nok", balancer.ConnectionLost, false},
	{"half a status line", "200", balancer.ConnectionLost, false},
	{"a 1xx, and a close", "102 Processing\r\n\r\n", balancer.ConnectionLost, false},
	{"Content-Length too long", "200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on", balancer.ConnectionLost, false},
	{"error with Content-Length too long", "500 Internal Server Error\r\nContent-Length: 3000000000\r\n\r\nand so on", balancer.Failure, false},
	{"a head too long", "200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", maxReplyOverhead/10), balancer.ConnectionLost, false},
	{"a line too long", "200 OK\r\nX-Pad: " + strings.Repeat("p", 2*maxReplyOverhead), balancer.ConnectionLost, false},
	{"1xx without end", strings.Repeat("102 Processing\r\n\r\nHTTP/1.1 ", maxReplyOverhead/20), balancer.ConnectionLost, false},
	{"two lengths", "200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", balancer.ConnectionLost, false},
	{"a negative length", "200 OK\r\nContent-Length: -2\r\n\r\nok", balancer.ConnectionLost, false},
	{"no status", "OK 200\r\nContent-Length: 2\r\n\r\nok", balancer.ConnectionLost, false},
	{"a line with no colon", "200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok", balancer.ConnectionLost, false},
	{"malformed chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n", balancer.ConnectionLost, false},
	{"noise after the length of the reply", "200 OK\r\nContent-Length: 2\r\n\r\nok\xff\x00noise\r\n\r\n", balancer.ConnectionLost, false},
	{"served in chunks, with noise after the reply", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n\xff\x00noise\r\n\r\n", balancer.Success, false},
	{"served in chunks, beside a length", "200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.Success, true},
	{"a chunk longer than its size", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n", balancer.ConnectionLost, false},
	{"a chunk shorter than its size", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nok\r\n0\r\n\r\n", balancer.ConnectionLost, false},
	{"no line end behind the last chunk", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nrest of the body\r\n\r\n", balancer.ConnectionLost, false},
	{"a length too small after 1xx", "103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokay", balancer.ConnectionLost, false},
	{"a 1xx with a body", "103 Early Hints\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.ConnectionLost, false},
	{"error with a length too small", "500 Internal Server Error\r\nContent-Length: 2\r\n\r\nokay", balancer.Failure, false},
	{"rejected with a length too small", "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nokay", balancer.Overloaded, false},
	{"served twice", "200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", balancer.Success, false},
	{"served with a malformed load report", "200 OK\r\nX-Load: %%%\r\nX-Load: =,=\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
	{"served after hints", "103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
	{"no HTTP", "what?\r\n\r\n", balancer.ConnectionLost, false},
}

func TestOutcomeOfReplies(t *testing.T) {
	for _, c := range replyCases {
		t.Run(c.name, func(t *testing.T) {
			server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
				if c.reply == "-" {
					conn.(*net.TCPConn).SetLinger(0)
					return false
				}
				io.WriteString(conn, "HTTP/1.1 "+c.reply)
				if strings.Contains(c.name, "a reset") {
					conn.(*net.TCPConn).SetLinger(0)
					return false
				}
				if strings.Contains(c.name, "half a status") || strings.Contains(c.name, "and a close") {
					return false
				}
				if !c.reusable && !strings.Contains(c.name, "cut") && !strings.Contains(c.name, "but a close") {
					io.Copy(io.Discard, conn) // stays open until the pool closes it
				}
				return c.reusable
			})
			pool := newTestPool(10)
			host := listServer(pool, server.Address())
			r := runAttempt(t, pool, newTestAttempt(pool, server.Address()))
			if r.Result != c.want || c.want == balancer.Success && string(r.Reply.Body) != "ok" {
				t.Errorf("result %d, body %q; want %d", r.Result, r.Reply.Body, c.want)
			}
			pool.mu.Lock()
			defer pool.mu.Unlock()
			if idle := len(pool.idle[host]) == 1; idle != c.reusable || pool.open != len(pool.idle[host]) {
				t.Errorf("idle %v, %d connections open; want idle %v", idle, pool.open, c.reusable)
			}
		})
	}
}

// A gateway's final rejection of a request is told apart from one that does not settle the request.
func TestSettledRejectionIsReported(t *testing.T) {
	for header, settled := range map[string]bool{"": false, "X-Settled: 1\r\n": true, "X-Settled: 0\r\n": false} {
		server := testpeer.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"+header+"Content-Length: 0\r\n\r\n")
			return true
		})
		pool := newTestPool(10)
		if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Overloaded || r.Settled != settled {
			t.Errorf("%q: result %d, settled %v", header, r.Result, r.Settled)
		}
	}
}
