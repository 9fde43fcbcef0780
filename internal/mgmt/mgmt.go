// Package mgmt is the management endpoint: a second address where each connection carries one line and gets one answer,
// "+OK" or "-ERR" and a reason, or the metrics as JSON and a line with a full stop, and is closed. It has to answer
// whatever else the node is busy with: it holds a bounded number of connections, and when another comes it closes the
// one that has been silent for longest. What the lines do is the Control's.
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

// Bounds of what operators may make the node hold.
const (
	MaxConnections = 12 // at once; beyond, the one that came first without a complete line goes
	maxLineBytes   = 256
	lineTimeout    = 10 * time.Second // for a complete line
	writeTimeout   = 2 * time.Second
)

// Control carries the endpoint's lines out. Its methods return soon.
type Control interface {
	// Health is nil if this process is ready to serve.
	Health() error
	// Metrics reports what was counted since the process began.
	Metrics() metrics.Report
	// Quiesce makes the node not ready, so that clients are sent elsewhere; an error is answered as it is.
	Quiesce() error
	// Resume takes Quiesce back.
	Resume() error
}

// Server is the management endpoint.
type Server struct {
	listener net.Listener
	control  Control
	done     sync.WaitGroup

	mu     sync.Mutex
	open   []net.Conn // in the order in which they came
	closed bool
}

// Serve opens the management endpoint on a listener until Close.
func Serve(ln net.Listener, c Control, log *slog.Logger) *Server {
	s := &Server{listener: listener.New(ln, log), control: c}
	s.done.Add(1)
	go s.accept()
	return s
}

// Addr is where the management endpoint is.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close closes the management endpoint and every connection.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.listener.Close()
	for _, c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Server) accept() {
	defer s.done.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.add(c) {
			s.done.Add(1)
			go func() {
				defer s.done.Done()
				defer s.remove(c)
				s.serve(c)
			}()
		}
	}
}

// add makes room for a connection. That its predecessor is closed costs nobody: one that has sent its line is
// answered at once, so who has been there for longest has not.
func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return false
	}
	if len(s.open) >= MaxConnections {
		s.open[0].Close()
		s.open = s.open[1:]
	}
	s.open = append(s.open, c)
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Close()
	if i := slices.Index(s.open, c); i >= 0 {
		s.open = slices.Delete(s.open, i, i+1)
	}
}

func (s *Server) serve(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(lineTimeout))
	line, err := bufio.NewReaderSize(c, maxLineBytes).ReadSlice('\n')
	answer := ""
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		answer = fmt.Sprintf("-ERR a line holds %d bytes at most\n", maxLineBytes)
	case err != nil:
		return // disconnected, or silent for too long
	default:
		answer = s.answer(strings.TrimSpace(string(line)))
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.Write([]byte(answer))
}

// formatReply is the answer to a line that was carried out, or failed.
func formatReply(ok string, err error) string {
	if err != nil {
		return "-ERR " + err.Error() + "\n"
	}
	return "+OK " + ok + "\n"
}

// answer does what a line asks for.
func (s *Server) answer(request string) string {
	switch request {
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
	return fmt.Sprintf("-ERR %.40q is no call; there are health, counters, quiesce and resume\n", request)
}
