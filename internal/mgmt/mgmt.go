// Package mgmt implements the management endpoint, on an address of its own. Each connection carries one command line and gets one
// response, and is then closed: "+OK" or "-ERR" with a text, or the metrics as JSON followed by a line with a full stop. The
// endpoint must respond even if the node is overloaded: it bounds the number of connections and closes the oldest one when
// another arrives. A Control executes the commands.
package mgmt

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"damsontrestle/internal/listener"
	"damsontrestle/internal/metrics"
)

// Bounds on the resources of the endpoint.
const (
	MaxConnections = 12 // concurrent; one more closes the oldest, which has not sent a complete line
	maxLineBytes   = 256
	lineTimeout    = 10 * time.Second // to receive a complete line
	writeTimeout   = 2 * time.Second
)

// Control executes the endpoint's commands. Its methods must return quickly.
type Control interface {
	// Health returns nil if this process is ready to serve.
	Health() error
	// Metrics returns the metrics since the start of the process.
	Metrics() metrics.Report
	// Quiesce makes the node not ready, so that clients are sent elsewhere. The text of an error is the response.
	Quiesce() error
	// Resume reverts Quiesce.
	Resume() error
}

// Server is the management endpoint.
type Server struct {
	listener net.Listener
	control  Control
	wg       sync.WaitGroup

	mu     sync.Mutex
	conns  []net.Conn // in the order of their arrival
	closed bool
}

// Serve starts the management endpoint on a listener. It runs until Close.
func Serve(ln net.Listener, c Control, log *slog.Logger) *Server {
	s := &Server{listener: listener.New(ln, log), control: c}
	s.wg.Add(1)
	go s.accept()
	return s
}

// Addr returns the address of the management endpoint.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close closes the management endpoint with all its connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.listener.Close()
	for _, c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.add(conn) {
			s.wg.Add(1)
			go func() {
				defer s.wg.Done()
				defer s.remove(conn)
				s.serve(conn)
			}()
		}
	}
}

// add registers a connection, and closes the oldest if there are too many. This does not abort a command: a connection that has
// sent its line gets its response immediately, so the oldest one has not sent it. It returns false if the server is closed.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return false
	}
	if len(s.conns) >= MaxConnections {
		s.conns[0].Close()
		s.conns = s.conns[1:]
	}
	s.conns = append(s.conns, conn)
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.Close()
	if i := slices.Index(s.conns, conn); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
}

func (s *Server) serve(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(lineTimeout))
	line, err := bufio.NewReaderSize(conn, maxLineBytes).ReadSlice('\n')
	response := ""
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		response = fmt.Sprintf("-ERR a line holds %d bytes at most\n", maxLineBytes)
	case err != nil:
		return // disconnected or timed out
	default:
		response = s.execute(strings.TrimSpace(string(line)))
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	conn.Write([]byte(response))
}

// formatReply returns the response to a command that succeeded or failed.
func formatReply(ok string, err error) string {
	if err != nil {
		return "-ERR " + err.Error() + "\n"
	}
	return "+OK " + ok + "\n"
}

// execute runs a command and returns the response.
func (s *Server) execute(command string) string {
	switch command {
	case "health":
		return formatReply("ready", s.control.Health())
	case "counters":
		text, err := json.Marshal(s.control.Metrics())
		if err != nil {
			return formatReply("", err)
		}
		return string(text) + "\n.\n"
	case "quiesce":
		return formatReply("clients are sent away", s.control.Quiesce())
	case "resume":
		return formatReply("clients are taken", s.control.Resume())
	}
	return fmt.Sprintf("-ERR %.40q is no call; there are health, counters, quiesce and resume\n", command)
}
