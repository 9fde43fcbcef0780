package discovery

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

func TestMalformedListIsRejected(t *testing.T) {
	for _, bad := range []string{"", "{", "[]", `{"rev":2,"targets":[]}`, `{"all":true,"targets":[]}`,
		`{"rev":2,"all":true,"targets":[` + testpeer.Entry("s1", "127.0.0.1:1", "in_service") + `,` + testpeer.Entry("s2", "name:80", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[` + testpeer.Entry("s1", "127.0.0.1:1", "asleep") + `]}`,
		`{"rev":2,"all":true,"targets":[` + testpeer.Entry("", "127.0.0.1:1", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[` + testpeer.Entry("s1", "127.0.0.1:1", "in_service") + `,` + testpeer.Entry("s1", "127.0.0.1:2", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[{"uid":"s1","endpoint":"127.0.0.1:1","state":"in_service","boot_ms":-1}]}`,
	} {
		if l, err := Parse([]byte(bad)); err == nil || l.Targets != nil {
			t.Errorf("%q: %v, %v", bad, l, err)
		}
	}
}

// A long poll that ends without a change notifies nobody: the balancer would take it for a change.
func TestUnchangedWatchNotifiesNobody(t *testing.T) {
	ag := testpeer.NewAgent(t)
	events := make(sink, 10)
	d := NewWatch(ag.Address(), 1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i, c := range []struct {
		text string
		want int
	}{{`{"rev":%d,"all":false,"targets":[]}`, 0}, {testpeer.Whole(), 1},
		{`{"rev":%d,"all":false,"targets":[` + testpeer.Entry("s1", "127.0.0.1:1", "in_service") + `]}`, 2}} {
		ag.Tell(false, c.text)
		if err := d.watchOnce(t.Context(), d.agent()); err != nil {
			t.Fatal(err)
		}
		if len(events) != c.want || d.agent().revision != int64(ag.Rev()) {
			t.Errorf("poll %d: %d events at rev %d, want %d at %d", i, len(events), d.agent().revision, c.want, ag.Rev())
		}
	}
}

// Where discovery is polled, a watch follows only a Subscribe, and its failure is reported.
func TestPolledDiscoveryFollowsSubscribe(t *testing.T) {
	ag := testpeer.NewAgent(t)
	events := make(sink, 10)
	d := NewWatch(ag.Address(), 7, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ag.Tell(false, testpeer.Whole(testpeer.Entry("s1", "127.0.0.1:1", "in_service")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Poll(ctx)
	d.Subscribe()
	if q := testpeer.Receive(t, ag.Asked, "a watch"); !strings.HasPrefix(q, "from=7&") {
		t.Errorf("asked %q", q)
	}
	if e := testpeer.Receive(t, events, "the list"); e.failed || len(e.list.Targets) != 1 {
		t.Errorf("got %v", e)
	}
	testpeer.Receive(t, ag.Asked, "the watch to go on")
	ag.Tell(false, "{bad %d")
	if e := testpeer.Receive(t, events, "the failure"); !e.failed {
		t.Errorf("got %v", e)
	}
	select {
	case q := <-ag.Asked:
		t.Errorf("asked %q without a Subscribe", q)
	default:
	}
}

// An agent that is silent is polled again beside the poll that is open, by a bounded number of polls, and the first one
// that is made once it is back is answered: nothing waits for a poll that it will never answer, and no backoff grows
// meanwhile. Lists may come indented.
func TestSilentAgentIsPolledInParallelAndHeardAtOnce(t *testing.T) {
	a := newSilentAgent(t)
	events := make(sink, 10)
	w := NewWatch(a.Addr().String(), 7, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.LongPollTimeout, w.Grace = 5*time.Millisecond, 5*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { w.Push(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	for range 20 {
		testpeer.Receive(t, a.polls, "another poll")
	}
	a.mu.Lock()
	a.silent = false
	a.text = "{\n  \"rev\": 9,\n  \"all\": true,\n  \"targets\": [\n    " + testpeer.Entry("s1", "127.0.0.1:1", "terminating") + "\n  ]\n}\n"
	before := a.n
	a.mu.Unlock()
	if e := testpeer.Receive(t, events, "the list"); len(e.list.Targets) != 1 || e.list.Rev != 9 {
		t.Errorf("got %+v", e)
	}
	first := 0
	for first <= before {
		first = testpeer.Receive(t, a.polls, "a poll after it is back")
	}
	if first != before+1 {
		t.Errorf("poll %d, want %d", first, before+1)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.maxOpen > maxPolls+1 { // one whose end the agent has not seen yet
		t.Errorf("%d polls were open at once, want up to %d", a.maxOpen, maxPolls)
	}
}

// Connections to an agent that never come up are abandoned with their polls: however many there were, the agent is heard
// once one does.
func TestPendingConnectionsDoNotBlockAgent(t *testing.T) {
	ag := testpeer.NewAgent(t)
	ag.Tell(false, testpeer.Whole(testpeer.Entry("s1", "127.0.0.1:1", "in_service")))
	events := make(sink, 10)
	w := NewWatch(ag.Address(), -1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.LongPollTimeout, w.Grace = 5*time.Millisecond, 5*time.Millisecond
	var dials atomic.Int64
	current := w.agent()
	current.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dials.Add(1) <= 2*maxPolls {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	startPush(t, w)
	if e := testpeer.Receive(t, events, "the list"); len(e.list.Targets) != 1 {
		t.Errorf("got %+v", e)
	}
}

// A list that comes in chunks for longer than others are waited for is read to its end: of the polls open beside one
// another those end that are silent.
func TestChunkedListIsReadToItsEnd(t *testing.T) {
	a := newChunkedAgent(t)
	events := make(sink, 10)
	w := NewWatch(a.Addr().String(), -1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.LongPollTimeout, w.Grace = 5*time.Millisecond, 5*time.Millisecond
	r := newPollRound(w, w.agent(), 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.startPoll(ctx)
	testpeer.Receive(t, a.polls, "the first poll")
	a.chunks <- `{"rev":9,"all":true,`
	testpeer.Until(t, "it to begin to answer", func() bool { return r.polls[0].progressAt.Load() > 0 })
	if heard := time.Duration(r.polls[0].progressAt.Load()); heard > time.Hour {
		t.Errorf("it was heard %v after the watch was made: a step of the wall clock would put it before or behind other polls", heard)
	}
	silences := 0
	go func() {
		for range 4 * maxPolls { // polls that are silent
			select {
			case <-a.polls:
			case <-ctx.Done():
				return
			}
		}
		a.chunks <- `"targets":[]}`
		close(a.chunks)
	}()
	limited, stop := context.WithTimeout(ctx, testpeer.Limit)
	defer stop()
	if e := r.await(limited, w.LongPollTimeout+w.Grace, func() { silences++ }); e.err != nil || e.list.Rev != 9 {
		t.Errorf("after %d silences: %+v", silences, e)
	}
}

// The list of a service that comes in chunks, for longer than another poll would wait, is read to its end.
func TestChunkedServiceListIsReadToItsEnd(t *testing.T) {
	a := newChunkedAgent(t)
	events := make(sink, 10)
	w := NewWatch(a.Addr().String(), -1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.LongPollTimeout, w.Grace = 50*time.Millisecond, 450*time.Millisecond
	go func() {
		a.chunks <- `{"rev":9,"all":true,`
		for begin := time.Now(); time.Since(begin) < w.LongPollTimeout+w.Grace; time.Sleep(20 * time.Millisecond) {
			a.chunks <- "\n "
		}
		a.chunks <- `"targets":[]}`
		close(a.chunks)
	}()
	if err := w.watchOnce(t.Context(), w.agent()); err != nil || len(events) != 1 {
		t.Errorf("%v, %d events", err, len(events))
	}
}

// After failures an answer without changes is passed on all the same: the balancer waits longer after each failure, and has
// to know that they are over.
func TestRecoveryFromFailuresIsLogged(t *testing.T) {
	requests := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch requests++; requests { // each poll comes after the answer to the one before
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			io.WriteString(w, `{"rev":7,"all":false,"targets":[]}`)
		default:
			<-r.Context().Done()
		}
	}))
	defer srv.Close()
	events := make(sink, 10)
	w := NewWatch(srv.Listener.Addr().String(), 7, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Poll(ctx)
	w.Subscribe()
	if e := testpeer.Receive(t, events, "the failure"); !e.failed {
		t.Fatalf("got %+v", e)
	}
	w.Subscribe()
	if e := testpeer.Receive(t, events, "the end of the failures"); e.failed || e.list.hasChanges() {
		t.Errorf("got %+v", e)
	}
}

// Changes are of no use without the list that they change: the full one is asked for again.
func TestDeltaWithoutSnapshotIsIgnored(t *testing.T) {
	ag := testpeer.NewAgent(t)
	events := make(sink, 10)
	w := NewWatch(ag.Address(), -1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ag.Tell(false, `{"rev":%d,"all":false,"targets":[`+testpeer.Entry("s1", "127.0.0.1:1", "in_service")+`]}`)
	if err := w.watchOnce(t.Context(), w.agent()); !errors.Is(err, errMalformed) || len(events) > 0 || w.agent().revision != -1 {
		t.Errorf("%v, %d events, rev %d", err, len(events), w.agent().revision)
	}
}
