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

// slowService is a service on virtual time, whose connections are pipes.
type slowService struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu     sync.Mutex
	polls  int       // since it has the new list
	newsAt time.Time // when it gets that
	// answer answers the n-th poll from then on, and earlier ones as -1.
	answer answerer
	dial   func(ctx context.Context, n int) error // before the n-th connection comes up; nil: at once
	dials  int
}

type answerer func(s *slowService, n int, w http.ResponseWriter, r *http.Request)

// start makes the service as new, with a list that it gets after a while.
func (s *slowService) start(has time.Duration) {
	s.conns, s.closed, s.once = make(chan net.Conn), make(chan struct{}), sync.Once{}
	s.polls, s.dials, s.newsAt = 0, 0, time.Now().Add(has)
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
	if !time.Now().Before(s.newsAt) {
		n = s.polls
		s.polls++
	}
	s.mu.Unlock()
	s.answer(s, n, w, r)
}

// connect gives a watch its connection to the service.
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

// writeAnswer answers by what the service has: the new list, or no change.
func (s *slowService) writeAnswer(w io.Writer) {
	if time.Now().Before(s.newsAt) {
		fmt.Fprint(w, `{"rev":1,"all":false,"targets":[]}`)
		return
	}
	fmt.Fprint(w, newList)
}

var newList = `{"rev":2,"all":true,"targets":[` + testpeer.Entry("s1", "127.0.0.1:1", "terminating") + `]}`

// never leaves a poll without an answer.
func never(r *http.Request) { <-r.Context().Done() }

// after answers after a while, as if other polls came first.
func after(d time.Duration, s *slowService, w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(d):
		s.writeAnswer(w)
	case <-r.Context().Done():
	}
}

// refuse answers as a service does that is down or overloaded.
func refuse(status int, w http.ResponseWriter) {
	w.Header().Set("Retry-After", "30")
	w.WriteHeader(status)
}

// half writes the first half of the list, so that the node reads it.
func half(w http.ResponseWriter) {
	io.WriteString(w, newList[:len(newList)/2])
	w.(http.Flusher).Flush()
}

// lostFrom has polls be lost that are open, or come, in the last moment before the service has the list, and answers the
// later ones by next. Earlier ones hold for as long as they may.
func lostFrom(next answerer) answerer {
	return func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
		switch left := time.Until(s.newsAt); {
		case left > serviceLongPoll:
			after(min(serviceLongPoll, left-serviceLongPoll+time.Millisecond), s, w, r)
		case left > time.Millisecond:
			after(left-time.Millisecond, s, w, r)
		case left > 0:
			never(r)
		default:
			next(s, n, w, r)
		}
	}
}
