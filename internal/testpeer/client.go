package testpeer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Caller is one client's HTTP/1.1 connection to a node.
type Caller struct {
	net.Conn
	Reader *bufio.Reader
}

// Dial connects to a node until the test ends.
func Dial(t TB, address string) *Caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("%v", err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * Limit))
	return On(c)
}

// On is a client on a connection that is there already.
func On(c net.Conn) *Caller { return &Caller{c, bufio.NewReader(c)} }

// Get writes a GET for the class view.
func (c *Caller) Get(id string) { c.Send("GET", "/view/k", id, "", "60") }

// Send writes a request. The deadline is in seconds.
func (c *Caller) Send(method, target, id, body, deadline string) {
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %s\r\n%s\r\n%s",
		method, target, id, deadline, length, body)
}

// Answer reads one answer.
func (c *Caller) Answer(t TB) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatalf("no whole answer: %v", err)
	}
	return r, string(body)
}

// Want reads one answer that must have a status and, unless it is empty, a body.
func (c *Caller) Want(t TB, status int, body string) {
	t.Helper()
	r, got := c.Answer(t)
	if r.StatusCode != status || body != "" && got != body {
		t.Fatalf("got %d %q, want %d %q", r.StatusCode, got, status, body)
	}
}

// WantClosed waits for the other side to close the connection with nothing more said.
func (c *Caller) WantClosed(t TB, what string) {
	t.Helper()
	if n, err := c.Reader.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatalf("%s: still open", what)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Fatalf("%s: %v", what, err)
	}
}
