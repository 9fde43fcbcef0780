package testpeer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// ClientConn is a client's HTTP/1.1 connection to a node.
type ClientConn struct {
	net.Conn
	Reader *bufio.Reader
}

// Dial connects to a node. The connection is closed when the test ends.
func Dial(t TB, address string) *ClientConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("%v", err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * Limit))
	return NewClientConn(c)
}

// NewClientConn returns a ClientConn on an established connection.
func NewClientConn(c net.Conn) *ClientConn { return &ClientConn{c, bufio.NewReader(c)} }

// Get writes a GET request of the class view with a deadline of 60 s.
func (c *ClientConn) Get(id string) { c.Send("GET", "/view/k", id, "", "60") }

// Send writes a request. The deadline is in seconds.
func (c *ClientConn) Send(method, target, id, body, deadline string) {
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %s\r\n%s\r\n%s",
		method, target, id, deadline, length, body)
}

// ReadResponse reads one response and returns it with its body.
func (c *ClientConn) ReadResponse(t TB) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		t.Fatalf("reading response: %v", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatalf("reading response body: %v", err)
	}
	return r, string(body)
}

// Want reads one response and fails the test unless it has the given status and, if body is not empty, that body.
func (c *ClientConn) Want(t TB, status int, body string) {
	t.Helper()
	r, got := c.ReadResponse(t)
	if r.StatusCode != status || body != "" && got != body {
		t.Fatalf("got %d %q, want %d %q", r.StatusCode, got, status, body)
	}
}

// WantClosed waits for the peer to close the connection, and fails the test if it sends anything first.
func (c *ClientConn) WantClosed(t TB, what string) {
	t.Helper()
	if n, err := c.Reader.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatalf("%s: received data, want a closed connection", what)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Fatalf("%s: %v", what, err)
	}
}
