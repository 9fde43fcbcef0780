package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientConn is a client's connection to a node.
type clientConn struct {
	net.Conn
	reader  *bufio.Reader
	closing bool // the last response said that the node closes the connection
}

func dial(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReaderSize(c, 64<<10)}, nil
}

func (c *clientConn) write(text string) error {
	c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, err := io.WriteString(c.Conn, text)
	return err
}

// readResponse reads one whole response until a time.
func (c *clientConn) readResponse(until time.Time) (status int, body string, err error) {
	c.SetReadDeadline(until)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	c.closing = response.Close
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// requestText returns a request as PROTOCOL describes it.
func requestText(class, id string, deadline time.Duration, body string) string {
	if class == "view-interval" {
		return fmt.Sprintf("GET /%s/%s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %s\r\n\r\n", class, id, id, seconds(deadline))
	}
	return fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %s\r\nContent-Length: %d\r\n\r\n%s",
		class, id, id, seconds(deadline), len(body), body)
}

// kindOf names what a response means to its client.
func kindOf(status int) string {
	switch status {
	case 200:
		return "served"
	case 429, 503:
		return "refused"
	}
	return "failed"
}
