package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one attempt that reached a server with its last byte.
type attempt struct {
	id, class, server string
	at                time.Time // of the last byte
	deadline          string    // X-Deadline as told
	ended             time.Time
}

// server is a stand-in for a log box.
type server struct {
	w        *world
	uid      string
	listener net.Listener
	// reply answers a request: it returns the text to write and whether the connection stays open.
	reply func(s *server, c net.Conn, r *http.Request) (keep bool)

	mu       sync.Mutex
	attempts []*attempt
	conns    map[net.Conn]bool
}

// startServer starts a server that answers each request after a service time.
func (w *world) startServer(uid string, reply func(*server, net.Conn, *http.Request) bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	s := &server{w: w, uid: uid, listener: l, reply: reply, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		a := &attempt{id: r.Header.Get("X-Request-Id"), class: classOf(r), server: s.uid, at: time.Now(), deadline: r.Header.Get("X-Deadline")}
		s.mu.Lock()
		s.attempts = append(s.attempts, a)
		s.mu.Unlock()
		s.w.logf("%s runs %s %s, X-Deadline %s", s.uid, a.class, a.id, a.deadline)
		keep := s.reply(s, c, r)
		s.mu.Lock()
		a.ended = time.Now()
		s.mu.Unlock()
		if !keep {
			return
		}
	}
}

// classOf returns the first part of a request's path.
func classOf(r *http.Request) string {
	path := r.URL.Path
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[1:i]
		}
	}
	return path
}

// answerText is the answer of a server to a request.
func answerText(uid, id string) string { return "annotation of " + id + " by " + uid }

// serveAfter returns a reply that comes after a service time.
func serveAfter(service time.Duration) func(*server, net.Conn, *http.Request) bool {
	return func(s *server, c net.Conn, r *http.Request) bool {
		time.Sleep(service)
		text := answerText(s.uid, r.Header.Get("X-Request-Id"))
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Load: TEXT eps=0.0, util=0.30\r\n\r\n%s", len(text), text)
		return err == nil
	}
}

// all returns the attempts that all servers have got.
func all(servers []*server) (list []*attempt) {
	for _, s := range servers {
		s.mu.Lock()
		list = append(list, s.attempts...)
		s.mu.Unlock()
	}
	return list
}
