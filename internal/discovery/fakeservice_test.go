package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"damsontrestle/internal/testpeer"
)

// slowService is a discovery service on virtual time, with pipes as connections. Its list is updated at updateAt.
type slowService struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	polls    int // polls since updateAt
	updateAt time.Time
	answer   answerer
	dial     func(ctx context.Context, n int) error // called before the n-th connection is established; nil: no delay
	dials    int
}

// answerer answers poll n since updateAt, or an earlier poll if n is -1.
type answerer func(s *slowService, n int, w http.ResponseWriter, r *http.Request)

// reset returns the service to its initial state, with an update of the list after a delay.
func (s *slowService) reset(updateAfter time.Duration) {
	s.conns, s.closed, s.once = make(chan net.Conn), make(chan struct{}), sync.Once{}
	s.polls, s.dials, s.updateAt = 0, 0, time.Now().Add(updateAfter)
}

func (s *slowService) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

func (s *slowService) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

func (s *slowService) Addr() net.Addr { return &net.TCPAddr{} }

func (s *slowService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := -1
	if !time.Now().Before(s.updateAt) {
		n = s.polls
		s.polls++
	}
	s.mu.Unlock()
	s.answer(s, n, w, r)
}

// connect is the dial function of a watch of the service.
func (s *slowService) connect(ctx context.Context, _, _ string) (net.Conn, error) {
	s.mu.Lock()
	n := s.dials
	s.dials++
	s.mu.Unlock()
	if s.dial != nil {
		if err := s.dial(ctx, n); err != nil {
			return nil, err
		}
	}
	near, far := net.Pipe()
	select {
	case s.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// writeAnswer writes the updated list, or an answer without changes before updateAt.
func (s *slowService) writeAnswer(w io.Writer) {
	if time.Now().Before(s.updateAt) {
		fmt.Fprint(w, `{"rev":1,"all":false,"targets":[]}`)
		return
	}
	fmt.Fprint(w, updatedList)
}

var updatedList = `{"rev":2,"all":true,"targets":[` + testpeer.Entry("s1", "127.0.0.1:1", "terminating") + `]}`

// blockUntilClosed leaves a poll unanswered until its connection closes.
func blockUntilClosed(r *http.Request) { <-r.Context().Done() }

// answerAfterDelay answers after d, like a service that handles other polls first.
func answerAfterDelay(d time.Duration, s *slowService, w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(d):
		s.writeAnswer(w)
	case <-r.Context().Done():
	}
}

// writeRefusal answers like a service that is down or overloaded.
func writeRefusal(status int, w http.ResponseWriter) {
	w.Header().Set("Retry-After", "30")
	w.WriteHeader(status)
}

// writeHalf writes and flushes the first half of the updated list.
func writeHalf(w http.ResponseWriter) {
	io.WriteString(w, updatedList[:len(updatedList)/2])
	w.(http.Flusher).Flush()
}

// losesPollsBeforeUpdate never answers polls that are open or arrive in the last millisecond before the update, and answers
// later ones by next. Earlier polls are held for as long as the long poll allows.
func losesPollsBeforeUpdate(next answerer) answerer {
	return func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
		switch left := time.Until(s.updateAt); {
		case left > serviceLongPoll:
			answerAfterDelay(min(serviceLongPoll, left-serviceLongPoll+time.Millisecond), s, w, r)
		case left > time.Millisecond:
			answerAfterDelay(left-time.Millisecond, s, w, r)
		case left > 0:
			blockUntilClosed(r)
		default:
			next(s, n, w, r)
		}
	}
}
