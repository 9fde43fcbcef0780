package faultbench

import (
	"net"
	"net/http"
	"testing"
	"time"

	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/world"
	"damsontrestle/internal/testpeer"
)

// Guards against a client that retries after its own deadline because the fault bench is late: nodes answer that with 400.
func TestClientDoesNotRetryAfterItsDeadline(t *testing.T) {
	e, err := experiment.Parse([]byte(busyLongLink), "late", nil)
	if err != nil {
		t.Fatal(err)
	}
	e.Classes[0].Deadline = 200 * time.Millisecond
	e.Clients.Retries, e.Clients.RetryDelay = 3, 200*time.Millisecond-500*time.Microsecond
	server := testpeer.NewServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	})
	f := &fleet{experiment: e, audit: audit.New(), options: Options{Policy: experiment.Program}}
	f.setStart(time.Now())
	n := &node{fleet: f, listen: server.Address(), idle: map[string][]net.Conn{}}
	n.sendWithRetries(t.Context(), world.Request{ID: "c0.1"})
	if got := server.RequestCount(); got != 1 {
		t.Errorf("%d requests were sent, want 1", got)
	}
}
