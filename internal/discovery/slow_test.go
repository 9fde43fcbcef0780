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

// answerAfter is how long a poll waits for its turn at a slow service.
const answerAfter = time.Second

// slow answers each poll after a while.
func slow(s *slowService, _ int, w http.ResponseWriter, r *http.Request) { after(answerAfter, s, w, r) }

// overloaded answers each poll after several times that while.
func overloaded(times time.Duration) answerer {
	return func(s *slowService, _ int, w http.ResponseWriter, r *http.Request) { after(times*answerAfter, s, w, r) }
}

// silent never answers.
func silent(_ *slowService, _ int, _ http.ResponseWriter, r *http.Request) { never(r) }

// refusing refuses all polls.
func refusing(_ *slowService, _ int, w http.ResponseWriter, _ *http.Request) {
	refuse(http.StatusServiceUnavailable, w)
}

// down refuses all polls until the service has the list, and answers later ones by next.
func down(status int, next answerer) answerer {
	return func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
		if n < 0 {
			refuse(status, w)
			return
		}
		next(s, n, w, r)
	}
}

// firstThenSlow answers the first poll by first, and later ones slowly.
func firstThenSlow(first answerer) answerer {
	return func(s *slowService, n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			first(s, n, w, r)
			return
		}
		slow(s, n, w, r)
	}
}

// refusedOnce refuses the first poll, after a while, and answers later ones slowly.
func refusedOnce(status int) answerer {
	return firstThenSlow(func(_ *slowService, _ int, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(answerAfter)
		refuse(status, w)
	})
}

// breaksMidway closes the connection after half of the list.
func breaksMidway(_ *slowService, _ int, w http.ResponseWriter, _ *http.Request) {
	half(w)
	panic(http.ErrAbortHandler)
}

// stopsMidway falls silent after half of the list.
func stopsMidway(_ *slowService, _ int, w http.ResponseWriter, r *http.Request) {
	half(w)
	never(r)
}

// chunkedOnce answers the first poll with the list in chunks, and refuses later ones.
func chunkedOnce(_ *slowService, n int, w http.ResponseWriter, _ *http.Request) {
	if n > 0 {
		refuse(http.StatusServiceUnavailable, w)
		return
	}
	half(w)
	for range 7 {
		time.Sleep(serviceGrace - time.Millisecond)
		io.WriteString(w, " ")
		w.(http.Flusher).Flush()
	}
	io.WriteString(w, newList[len(newList)/2:])
}

// everySecondDialHangs has every second connection never come up.
func everySecondDialHangs(ctx context.Context, n int) error {
	if n%2 == 0 {
		<-ctx.Done()
	}
	return ctx.Err()
}

// moveOnce has the watch move to another service once that has the list.
func moveOnce(w *Watch) {
	time.Sleep(newsAfter)
	w.SetAddress("next:1")
}

// moveOften has the watch move between two services several times as they get the list.
func moveOften(w *Watch) {
	time.Sleep(newsAfter - 50*time.Millisecond)
	for i := range 7 {
		w.SetAddress([]string{"next:1", "first:1"}[i%2])
		time.Sleep(10 * time.Millisecond)
	}
}

// slowCase is a service that is watched, and perhaps a second one that the watch moves to.
type slowCase struct {
	name      string
	first     answerer
	dial      func(ctx context.Context, n int) error // of first; nil: at once
	next      answerer                               // nil: there is no second service
	meanwhile func(*Watch)
}

func (c slowCase) services() map[string]*slowService {
	services := map[string]*slowService{"first:1": {answer: c.first, dial: c.dial}}
	if c.next != nil {
		services["next:1"] = &slowService{answer: c.next}
	}
	return services
}

var slowCases = []slowCase{
	{name: "silent", first: lostFrom(slow)},
	{name: "silent, then overloaded", first: lostFrom(overloaded(2))},
	{name: "overloaded", first: overloaded(4)},
	{name: "down, then slow, 503", first: down(503, slow)},
	{name: "down, then slow, 429", first: down(429, slow)},
	{name: "down, then overloaded, 503", first: down(503, refusedOnce(503))},
	{name: "down, then overloaded, 429", first: down(429, refusedOnce(429))},
	{name: "down, then silent to one poll", first: down(503, firstThenSlow(silent))},
	{name: "refused while an earlier poll is lost", first: lostFrom(refusedOnce(503))},
	{name: "breaks midway", first: lostFrom(firstThenSlow(breaksMidway))},
	{name: "stops midway", first: down(503, firstThenSlow(stopsMidway))},
	{name: "list in chunks, and refused beside", first: down(503, chunkedOnce)},
	{name: "connections that never come up", first: down(503, slow), dial: everySecondDialHangs},
	{name: "a new configuration while it is silent", first: lostFrom(silent), next: slow, meanwhile: moveOnce},
	{name: "a new configuration while it is down", first: refusing, next: slow, meanwhile: moveOnce},
	{name: "new configurations in quick succession", first: refusing, next: slow, meanwhile: moveOften},
}

// A service that is polled may be slow to answer, and silent, refuse polls or break them besides: its changes are heard
// 0.8 s or more before the limit, 6 s after the service had them and could be reached. Time is virtual.
func TestSlowDiscoveryServiceIsHeardInTime(t *testing.T) {
	const limit = 5200 * time.Millisecond
	for _, c := range slowCases {
		t.Run(c.name, func(t *testing.T) {
			services := c.services()
			longest := time.Duration(0)
			for seed := range uint64(5) {
				for _, askWithin := range []time.Duration{10 * time.Second, time.Hour} {
					longest = max(longest, timeToHear(t, seed, askWithin, services, c.meanwhile))
				}
			}
			t.Logf("heard after %v at most", longest)
			if longest > limit {
				t.Errorf("heard after %v, want %v at most", longest, limit)
			}
		})
	}
}
