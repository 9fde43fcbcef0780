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

// Server is an HTTP/1.1 server whose connections a test scripts by hand, and that counts all it gets.
type Server struct {
	net.Listener
	then Then

	mu       sync.Mutex
	requests []string // ids
	conns    int
	open     int
}

// Then answers a request that was read complete; it returns false to close the connection.
type Then func(c net.Conn, r *http.Request, body string) bool

// NewServer listens on loopback until the test ends.
func NewServer(t TB, then Then) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", then)
	if err != nil {
		t.Fatalf("%v", err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// Listen serves at an address until Close.
func Listen(address string, then Then) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	s := &Server{Listener: ln, then: then}
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
		s.conns++
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
		if !s.then(c, r, string(body)) {
			return
		}
	}
}

// Address is where it listens.
func (s *Server) Address() string { return s.Addr().String() }

// Seen is how many requests it got whole.
func (s *Server) Seen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// Requests are the ids of the requests that it got whole, in order.
func (s *Server) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// Opened is how many connections were made to it.
func (s *Server) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// Open is how many connections to it are open, as far as it has seen.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Reply200 answers 200 with a body.
func Reply200(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// Echo serves everything with a body that names the request.
func Echo(c net.Conn, r *http.Request, body string) bool {
	return Reply200(c, "for "+r.Header.Get("X-Request-Id"))
}

// Held serves like Echo, but for the request "held": it tells when it has that one, and answers it once hold is closed.
func Held(hold <-chan struct{}, got chan<- struct{}) Then {
	return func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "held" {
			got <- struct{}{}
			<-hold
		}
		return Echo(c, r, body)
	}
}

// ClosedPort is an address where nobody listens, and where nobody will by chance: another test that lets the system choose a
// port, or connects, is given one of 127.0.0.1's, above 32767.
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
