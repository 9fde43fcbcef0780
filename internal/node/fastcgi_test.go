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

// askFastCGI sends a request on a connection of its own and returns all of its answer.
func askFastCGI(t *testing.T, address, method, target, id string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testpeer.Limit))
	out := fastcgi.NewWriter(c)
	s, in := fastcgi.NewWebServer(out), fastcgi.NewReader(bufio.NewReader(c))
	n, err := s.Begin([]fastcgi.Param{{Name: "REQUEST_METHOD", Value: method}, {Name: "REQUEST_URI", Value: target},
		{Name: "HTTP_X_REQUEST_ID", Value: id}, {Name: "HTTP_X_DEADLINE", Value: "4"}}, false)
	if err = errors.Join(err, s.CloseSend(n), out.Flush()); err != nil {
		t.Fatal(err)
	}
	text := ""
	for {
		rec, err := in.Next()
		var e fastcgi.Reply
		if err == nil {
			e, err = s.HandleRecord(rec)
		}
		if err != nil {
			t.Fatal(err)
		}
		switch e.Kind {
		case fastcgi.Output:
			text += string(e.Data)
		case fastcgi.Ended:
			return text
		}
	}
}

// The example's node serves the same servers in both protocols, once its addresses are this machine's.
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
	n := startOwn(t, cfg, Options{})
	for i := range 20 {
		id := fmt.Sprint("bridge-", i)
		if got := askFastCGI(t, n.Addr("bridge"), "POST", "/add-note/k", id); !strings.HasSuffix(got, "\r\n\r\nfor "+id) {
			t.Fatalf("%q", got)
		}
		station := testpeer.Dial(t, n.Addr("stations"))
		station.Send("GET", "/view-interval/k", fmt.Sprint("station-", i), "", "4")
		station.Want(t, 200, fmt.Sprint("for station-", i))
	}
	testpeer.Until(t, "both to be counted alike", func() bool {
		got := n.metrics.Report().Fulfilled
		return got["add-note"] == 20 && got["view-interval"] == 20
	})
}

// A listener that changes its protocol and back: clients of the old one are served to the end, new ones are heard
// in the new one, on the same socket.
func TestListenerChangesProtocol(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	a := testpeer.NewServer(t, testpeer.Echo)
	a2 := testpeer.NewServer(t, testpeer.Held(hold, got))
	cfg := ownConfig(pooled("boxes", a2))
	n := startOwn(t, cfg, Options{})
	address := n.Addr("main")
	old := testpeer.Dial(t, address)
	old.Get("held")
	testpeer.Receive(t, got, "the attempt")
	next := *cfg
	next.Listeners = append([]config.Listener(nil), cfg.Listeners...)
	next.Listeners[0].Protocol = config.FastCGI
	next.Pools = []config.Pool{pooled("boxes", a2, a)}
	change(t, n, &next)
	if got := askFastCGI(t, address, "GET", "/view/k", "next"); !strings.HasSuffix(got, "for next") {
		t.Errorf("%q", got)
	}
	close(hold)
	if r, body := old.Answer(t); r.StatusCode != 200 || body != "for held" || !r.Close {
		t.Errorf("held: %d %q, close %v", r.StatusCode, body, r.Close)
	}
	change(t, n, cfg)
	c := testpeer.Dial(t, address)
	c.Get("back")
	c.Want(t, 200, "for back")
}
