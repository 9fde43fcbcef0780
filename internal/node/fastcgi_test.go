package node

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/fastcgi"
	"damsontrestle/internal/testpeer"
)

// requestFastCGI sends a request on a new connection and returns the complete output of the response.
func requestFastCGI(t *testing.T, address, method, target, id string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testpeer.Limit))
	writer := fastcgi.NewWriter(conn)
	webServer, reader := fastcgi.NewWebServer(writer), fastcgi.NewReader(bufio.NewReader(conn))
	n, err := webServer.Begin([]fastcgi.Param{{Name: "REQUEST_METHOD", Value: method}, {Name: "REQUEST_URI", Value: target},
		{Name: "HTTP_X_REQUEST_ID", Value: id}, {Name: "HTTP_X_DEADLINE", Value: "4"}}, false)
	if err = errors.Join(err, webServer.CloseSend(n), writer.Flush()); err != nil {
		t.Fatal(err)
	}
	text := ""
	for {
		record, err := reader.Next()
		var reply fastcgi.Reply
		if err == nil {
			reply, err = webServer.HandleRecord(record)
		}
		if err != nil {
			t.Fatal(err)
		}
		switch reply.Kind {
		case fastcgi.Output:
			text += string(reply.Data)
		case fastcgi.Ended:
			return text
		}
	}
}

// The node of the example configuration, with its addresses replaced by local ones, serves the same servers in both
// protocols.
func TestFastCGIExample(t *testing.T) {
	cfg, problems := config.Load("../../deploy/fastcgi.hcl")
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	for i := range cfg.Listeners {
		cfg.Listeners[i].Address = "127.0.0.1:0"
	}
	for i := range cfg.Pools[0].Servers {
		cfg.Pools[0].Servers[i].Address = testpeer.NewServer(t, testpeer.Echo).Address()
	}
	n := startWithConfig(t, cfg, Options{})
	for i := range 20 {
		id := fmt.Sprint("bridge-", i)
		if got := requestFastCGI(t, n.Addr("bridge"), "POST", "/add-note/k", id); !strings.HasSuffix(got, "\r\n\r\nfor "+id) {
			t.Fatalf("got FastCGI response %q", got)
		}
		station := testpeer.Dial(t, n.Addr("stations"))
		station.Send("GET", "/view-interval/k", fmt.Sprint("station-", i), "", "4")
		station.Want(t, 200, fmt.Sprint("for station-", i))
	}
	testpeer.Until(t, "the requests of both protocols to be counted", func() bool {
		got := n.metrics.Report().Fulfilled
		return got["add-note"] == 20 && got["view-interval"] == 20
	})
}

// A listener changes its protocol and back on the same socket. Clients of the old protocol are served to the end, and new
// clients are served in the new protocol.
func TestListenerChangesProtocol(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	echoServer := testpeer.NewServer(t, testpeer.Echo)
	heldServer := testpeer.NewServer(t, testpeer.HoldRequest(hold, got))
	cfg := configWithPools(staticPool("boxes", heldServer))
	n := startWithConfig(t, cfg, Options{})
	address := n.Addr("main")
	old := testpeer.Dial(t, address)
	old.Get("held")
	testpeer.Receive(t, got, "the attempt")
	next := *cfg
	next.Listeners = append([]config.Listener(nil), cfg.Listeners...)
	next.Listeners[0].Protocol = config.FastCGI
	next.Pools = []config.Pool{staticPool("boxes", heldServer, echoServer)}
	applyConfig(t, n, &next)
	if got := requestFastCGI(t, address, "GET", "/view/k", "next"); !strings.HasSuffix(got, "for next") {
		t.Errorf("got FastCGI response %q", got)
	}
	close(hold)
	if r, body := old.ReadResponse(t); r.StatusCode != 200 || body != "for held" || !r.Close {
		t.Errorf("held request: got %d %q, close %v; want 200, close true", r.StatusCode, body, r.Close)
	}
	applyConfig(t, n, cfg)
	c := testpeer.Dial(t, address)
	c.Get("back")
	c.Want(t, 200, "for back")
}
