package testpeer

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
)

// Server is an HTTP/1.1 server whose responses are scripted by a Handler. It counts connections and requests.
type Server struct {
	net.Listener
	handler Handler

	mu       sync.Mutex
	requests []string // IDs
	accepted int
	open     int
}

// Handler answers a request that was read completely. It returns false to close the connection.
type Handler func(c net.Conn, r *http.Request, body string) bool

// NewServer starts a server on loopback that stops listening when the test ends.
func NewServer(t TB, then Handler) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", then)
	if err != nil {
		t.Fatalf("%v", err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// Listen starts a server on an address that listens until Close.
func Listen(address string, then Handler) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("starting test server: %w", err)
	}
	s := &Server{Listener: ln, handler: then}
	go s.accept()
	return s, nil
}

func (s *Server) accept() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted++
		s.open++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open--
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r.Header.Get("X-Request-Id"))
		s.mu.Unlock()
		if !s.handler(c, r, string(body)) {
			return
		}
	}
}

// Address returns the listen address.
func (s *Server) Address() string { return s.Addr().String() }

// RequestCount returns the number of requests received completely.
func (s *Server) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// Requests returns the IDs of the requests received completely, in the order of arrival.
func (s *Server) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// AcceptedConnections returns the number of connections accepted so far.
func (s *Server) AcceptedConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// OpenConnections returns the number of accepted connections whose end the server has not yet noticed.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Reply200 writes a 200 response with a body and reports whether that succeeded.
func Reply200(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// Echo is a Handler that answers every request with a body that contains the request ID.
func Echo(c net.Conn, r *http.Request, body string) bool {
	return Reply200(c, "for "+r.Header.Get("X-Request-Id"))
}

// HoldRequest returns a Handler that works like Echo, except that for the request with ID "held" it sends on got and
// answers once hold is closed.
func HoldRequest(hold <-chan struct{}, got chan<- struct{}) Handler {
	return func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "held" {
			got <- struct{}{}
			<-hold
		}
		return Echo(c, r, body)
	}
}

// ClosedPort returns a loopback address without a listener. No other test can get it by chance: ports that the system
// chooses for listeners and connections are above 32767, on 127.0.0.1.
func ClosedPort(t TB) string {
	t.Helper()
	address := fmt.Sprintf("127.%d.%d.%d:%d", 220+rand.IntN(30), rand.IntN(256), 1+rand.IntN(254), 10_000+rand.IntN(20_000))
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("%v", err)
	}
	ln.Close()
	return address
}
