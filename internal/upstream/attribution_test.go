package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/testpeer"
)

// unattributedInput returns how often input of a kind was counted for the server of a pool.
func unattributedInput(pool *Pool, server string, kind inputKind) int64 {
	return pool.counters.Report().UnattributedInput[server][string(kind)]
}

// closedConnections returns how many connections of a pool were closed for a reason.
func closedConnections(pool *Pool, reason closeReason) int64 {
	return pool.counters.Report().ServerConnectionsClosed[string(reason)]
}

// Guards against input that belongs to no request, and closes of connections, without a trace for operators.
func TestUnattributedInputAndClosesAreCounted(t *testing.T) {
	for _, c := range []struct {
		name   string
		behind string // sent with the reply
		late   string // sent once the connection is idle
		kind   inputKind
		reason closeReason
	}{
		{name: "second reply behind the first", behind: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", kind: inputBehindReply, reason: closeUnattributed},
		{name: "late second reply", late: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", kind: inputWhileIdle, reason: closeUnattributed},
		{name: "close", reason: closedByServer},
	} {
		t.Run(c.name, func(t *testing.T) {
			idle := make(chan struct{})
			server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+c.behind)
				<-idle
				io.WriteString(conn, c.late)
				return c.reason != closedByServer
			})
			pool := newTestPool(10)
			if r := runAttempt(t, pool, newTestAttempt(pool, server.Address())); r.Result != balancer.Success {
				t.Fatalf("result %d", r.Result)
			}
			close(idle)
			testpeer.Until(t, "the connection to be closed", func() bool { return closedConnections(pool, c.reason) == 1 })
			if got := unattributedInput(pool, server.Address(), c.kind); c.kind != "" && got != 1 {
				t.Errorf("input of kind %s was counted %d times, want 1", c.kind, got)
			}
		})
	}
}
