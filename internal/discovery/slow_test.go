package discovery

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontrestle/internal/balancer"
)

// balancerSink is a Sink round the balancer that decides when the service is polled again.
type balancerSink struct {
	t     *testing.T
	mu    sync.Mutex
	begun time.Time
	b     *balancer.Balancer
	watch *Watch
	heard chan time.Time // when the new list came
}

// handle passes an event to the balancer late, as in a process that is held up.
func (m *balancerSink) handle(e balancer.Event) {
	time.Sleep(heldUp)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.b.Handle(time.Hour+time.Since(m.begun), e) {
		switch a := a.(type) {
		case balancer.SetTimer:
			at := m.begun.Add(a.At - time.Hour)
			time.AfterFunc(time.Until(at), func() { m.handle(balancer.Timer{Token: a.Token}) })
		case balancer.Subscribe:
			m.watch.Subscribe()
		}
	}
}

func (m *balancerSink) UpdateList(l List) {
	m.handle(balancer.ServerList{Full: l.Full})
	if l.Rev == 2 {
		select {
		case m.heard <- time.Now():
		default:
		}
	}
}

func (m *balancerSink) ListFailed() { m.handle(balancer.ListFailed{}) }

// heldUp is for how long a process may be held up.
const heldUp = 150 * time.Millisecond

// newsAfter is when the services have the new list, from the start on: far enough for any backoff to be at its longest.
const newsAfter = 12 * time.Second

// timeToHear plays a watch of services and returns how long after they had it the new list came. meanwhile is run beside it.
func timeToHear(t *testing.T, seed uint64, askWithin time.Duration, services map[string]*slowService, meanwhile func(*Watch)) (took time.Duration) {
	has := newsAfter + time.Duration(seed)*serviceLongPoll/5 // at several moments of a poll
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for _, s := range services {
			s.start(has)
			server := &http.Server{Handler: s}
			running.Go(func() { server.Serve(s) })
			defer server.Close()
		}
		b, err := balancer.New(balancer.Settings{Classes: []balancer.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1}},
			Balancers: 300, MaxAttempts: 1, PollDiscovery: true, PollInterval: askWithin, Tick: time.Millisecond, MaxRetryAfter: time.Second,
			SlowStartMinimum: 1}, seed)
		if err != nil {
			t.Fatal(err)
		}
		m := &balancerSink{t: t, begun: time.Now(), b: b, heard: make(chan time.Time, 1)}
		m.watch = NewWatch("first:1", 1, m, slog.New(slog.DiscardHandler))
		m.watch.current.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			return services[addr].connect(ctx, network, addr)
		}
		running.Go(func() { m.watch.Poll(ctx) })
		m.watch.Subscribe()
		if meanwhile != nil {
			running.Go(func() { meanwhile(m.watch) })
		}
		select {
		case at := <-m.heard:
			took = at.Sub(m.begun) - has
		case <-time.After(2 * newsAfter):
			took = newsAfter // or never
		}
		cancel()
		for _, s := range services {
			s.Close()
		}
		m.watch.closeIdle()
		running.Wait()
		time.Sleep(time.Minute) // what is left of timers
	})
	return took
}

// A service that is polled may be slow to answer, and silent, refuse polls or break them besides: its changes are heard
// 0.8 s or more before the limit, 6 s after the service had them and could be reached. Time is virtual.
func TestSlowDiscoveryServiceIsHeardInTime(t *testing.T) {
	const (
		limit  = 5200 * time.Millisecond
		answer = time.Second // that a poll waits for its turn
	)
	slow := func(s *slowService, n int, w http.ResponseWriter, r *http.Request) { after(answer, s, w, r) }
	// down refuses all polls until it has the list.
	down := func(status int, next answerer) answerer {
		return func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
			if n < 0 {
				refuse(status, w)
				return
			}
			next(s, n, w, r)
		}
	}
	refusedOnce := func(status int) answerer {
		return func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
			if n == 0 {
				time.Sleep(answer)
				refuse(status, w)
				return
			}
			slow(s, n, w, r)
		}
	}
	for _, c := range []struct {
		name      string
		services  map[string]*slowService
		meanwhile func(*Watch)
	}{
		{"silent", map[string]*slowService{"first:1": {answer: lostFrom(slow)}}, nil},
		{"silent, then overloaded", map[string]*slowService{"first:1": {answer: lostFrom(func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
			after(2*answer, s, w, r)
		})}}, nil},
		{"overloaded", map[string]*slowService{"first:1": {answer: func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
			after(4*answer, s, w, r)
		}}}, nil},
		{"down, then slow, 503", map[string]*slowService{"first:1": {answer: down(503, slow)}}, nil},
		{"down, then slow, 429", map[string]*slowService{"first:1": {answer: down(429, slow)}}, nil},
		{"down, then overloaded, 503", map[string]*slowService{"first:1": {answer: down(503, refusedOnce(503))}}, nil},
		{"down, then overloaded, 429", map[string]*slowService{"first:1": {answer: down(429, refusedOnce(429))}}, nil},
		{"down, then silent to one poll", map[string]*slowService{"first:1": {answer: down(503, func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
			if n == 0 {
				never(r)
				return
			}
			slow(s, n, w, r)
		})}}, nil},
		{"refused while an earlier poll is lost", map[string]*slowService{"first:1": {answer: lostFrom(refusedOnce(503))}}, nil},
		{"breaks midway", map[string]*slowService{"first:1": {answer: lostFrom(func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
			if n == 0 {
				half(w)
				panic(http.ErrAbortHandler)
			}
			slow(s, n, w, r)
		})}}, nil},
		{"stops midway", map[string]*slowService{"first:1": {answer: down(503, func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
			if n == 0 {
				half(w)
				never(r)
				return
			}
			slow(s, n, w, r)
		})}}, nil},
		{"list in chunks, and refused beside", map[string]*slowService{"first:1": {answer: down(503, func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
			if n > 0 {
				refuse(503, w)
				return
			}
			half(w)
			for range 7 {
				time.Sleep(serviceGrace - time.Millisecond)
				io.WriteString(w, " ")
				w.(http.Flusher).Flush()
			}
			io.WriteString(w, newList[len(newList)/2:])
		})}}, nil},
		{"connections that never come up", map[string]*slowService{"first:1": {answer: down(503, slow),
			dial: func(ctx context.Context, n int) error {
				if n%2 == 0 {
					<-ctx.Done()
				}
				return ctx.Err()
			}}}, nil},
		{"a new configuration while it is silent", map[string]*slowService{"first:1": {answer: lostFrom(func(_ *slowService, _ int, _ http.ResponseWriter, r *http.Request) { never(r) })},
			"next:1": {answer: slow}}, func(w *Watch) {
			time.Sleep(newsAfter)
			w.SetAddress("next:1")
		}},
		{"a new configuration while it is down", map[string]*slowService{"first:1": {answer: func(_ *slowService, _ int, w http.ResponseWriter, _ *http.Request) { refuse(503, w) }},
			"next:1": {answer: slow}}, func(w *Watch) {
			time.Sleep(newsAfter)
			w.SetAddress("next:1")
		}},
		{"new configurations in quick succession", map[string]*slowService{"first:1": {answer: func(_ *slowService, _ int, w http.ResponseWriter, _ *http.Request) { refuse(503, w) }},
			"next:1": {answer: slow}}, func(w *Watch) {
			time.Sleep(newsAfter - 50*time.Millisecond)
			for i := range 7 {
				w.SetAddress([]string{"next:1", "first:1"}[i%2])
				time.Sleep(10 * time.Millisecond)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			longest := time.Duration(0)
			for seed := range uint64(5) {
				for _, askWithin := range []time.Duration{10 * time.Second, time.Hour} {
					longest = max(longest, timeToHear(t, seed, askWithin, c.services, c.meanwhile))
				}
			}
			t.Logf("heard after %v at most", longest)
			if longest > limit {
				t.Errorf("heard after %v, want %v at most", longest, limit)
			}
		})
	}
}
