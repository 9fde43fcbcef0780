package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
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

// A long poll that ends without a change does not call the Sink, because the balancer would treat it as a change.
func TestUnchangedPollDoesNotNotifySink(t *testing.T) {
	registry := testpeer.NewAgent(t)
	events := make(sink, 10)
	watch := NewWatch(registry.Address(), 1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i, c := range []struct {
		text string
		want int
	}{{`{"rev":%d,"all":false,"targets":[]}`, 0}, {testpeer.FullSnapshot(), 1},
		{`{"rev":%d,"all":false,"targets":[` + testpeer.Entry("s1", "127.0.0.1:1", "in_service") + `]}`, 2}} {
		registry.Tell(false, c.text)
		if err := watch.pollOnce(t.Context(), watch.agent()); err != nil {
			t.Fatal(err)
		}
		if len(events) != c.want || watch.agent().revision != int64(registry.Rev()) {
			t.Errorf("poll %d: %d updates at rev %d, want %d at rev %d", i, len(events), watch.agent().revision, c.want, registry.Rev())
		}
	}
}

// Poll polls only after a Subscribe and reports a failed subscription to the Sink.
func TestPolledDiscoveryFollowsSubscribe(t *testing.T) {
	registry := testpeer.NewAgent(t)
	events := make(sink, 10)
	watch := NewWatch(registry.Address(), 7, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	registry.Tell(false, testpeer.FullSnapshot(testpeer.Entry("s1", "127.0.0.1:1", "in_service")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watch.Poll(ctx)
	watch.Subscribe()
	if query := testpeer.Receive(t, registry.Queries, "a watch"); !strings.HasPrefix(query, "from=7&") {
		t.Errorf("polled %q, want from=7", query)
	}
	if e := testpeer.Receive(t, events, "the list"); e.failed || len(e.list.Targets) != 1 {
		t.Errorf("got %v", e)
	}
	testpeer.Receive(t, registry.Queries, "the next poll of the subscription")
	registry.Tell(false, "{bad %d")
	if e := testpeer.Receive(t, events, "the failure"); !e.failed {
		t.Errorf("got %v", e)
	}
	select {
	case query := <-registry.Queries:
		t.Errorf("polled %q without a Subscribe", query)
	default:
	}
}

// While an agent is silent, a bounded number of concurrent polls is open, and the first poll after it recovers is answered:
// Push does not wait for a poll that will never be answered, and silence does not increase the backoff. Lists may be
// indented.
func TestSilentAgentIsPolledInParallelUntilItAnswers(t *testing.T) {
	registry := newSilentAgent(t)
	events := make(sink, 10)
	watch := NewWatch(registry.Addr().String(), 7, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	watch.LongPollTimeout, watch.Grace = 5*time.Millisecond, 5*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { watch.Push(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	for range 20 {
		testpeer.Receive(t, registry.polls, "another poll")
	}
	registry.mu.Lock()
	registry.silent = false
	registry.text = "{\n  \"rev\": 9,\n  \"all\": true,\n  \"targets\": [\n    " + testpeer.Entry("s1", "127.0.0.1:1", "terminating") + "\n  ]\n}\n"
	before := registry.n
	registry.mu.Unlock()
	if e := testpeer.Receive(t, events, "the list"); len(e.list.Targets) != 1 || e.list.Rev != 9 {
		t.Errorf("got %+v", e)
	}
	first := 0
	for first <= before {
		first = testpeer.Receive(t, registry.polls, "a poll after the agent recovered")
	}
	if first != before+1 {
		t.Errorf("first poll after the recovery is %d, want %d", first, before+1)
	}
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.maxOpen > maxPolls+1 { // the agent may not have noticed yet that one was cancelled
		t.Errorf("%d polls were open at once, want at most %d", registry.maxOpen, maxPolls)
	}
}

// Connections that are never established are abandoned when their polls end, so that they do not use up the connection
// limit: however many there were, the list arrives once a connection succeeds.
func TestHangingConnectionsDoNotBlockPolling(t *testing.T) {
	registry := testpeer.NewAgent(t)
	registry.Tell(false, testpeer.FullSnapshot(testpeer.Entry("s1", "127.0.0.1:1", "in_service")))
	events := make(sink, 10)
	watch := NewWatch(registry.Address(), -1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	watch.LongPollTimeout, watch.Grace = 5*time.Millisecond, 5*time.Millisecond
	var dials atomic.Int64
	current := watch.agent()
	current.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dials.Add(1) <= 2*maxPolls {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	startPush(t, watch)
	if e := testpeer.Receive(t, events, "the list"); len(e.list.Targets) != 1 {
		t.Errorf("got %+v", e)
	}
}

// A list whose chunks arrive for longer than the silence timeout is read completely: when there are too many concurrent
// polls, those without progress are cancelled.
func TestChunkedListIsReadCompletely(t *testing.T) {
	registry := newChunkedAgent(t)
	events := make(sink, 10)
	watch := NewWatch(registry.Addr().String(), -1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	watch.LongPollTimeout, watch.Grace = 5*time.Millisecond, 5*time.Millisecond
	round := newPollRound(watch, watch.agent(), 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	round.startPoll(ctx)
	testpeer.Receive(t, registry.polls, "the first poll")
	registry.chunks <- `{"rev":9,"all":true,`
	testpeer.Until(t, "the answer to begin", func() bool { return round.polls[0].progressAt.Load() > 0 })
	if progress := time.Duration(round.polls[0].progressAt.Load()); progress > time.Hour {
		t.Errorf("progress at %v after the watch was made, want a time by the monotonic clock: a step of the wall clock would change the order of polls", progress)
	}
	silences := 0
	go func() {
		for range 4 * maxPolls { // polls without an answer
			select {
			case <-registry.polls:
			case <-ctx.Done():
				return
			}
		}
		registry.chunks <- `"targets":[]}`
		close(registry.chunks)
	}()
	limited, stop := context.WithTimeout(ctx, testpeer.Limit)
	defer stop()
	if e := round.await(limited, watch.LongPollTimeout+watch.Grace, func() { silences++ }); e.err != nil || e.list.Rev != 9 {
		t.Errorf("after %d silences: %+v", silences, e)
	}
}

// A service's list whose chunks arrive for longer than the silence timeout is read completely.
func TestChunkedServiceListIsReadCompletely(t *testing.T) {
	registry := newChunkedAgent(t)
	events := make(sink, 10)
	watch := NewWatch(registry.Addr().String(), -1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	watch.LongPollTimeout, watch.Grace = 50*time.Millisecond, 450*time.Millisecond
	go func() {
		registry.chunks <- `{"rev":9,"all":true,`
		for startedAt := time.Now(); time.Since(startedAt) < watch.LongPollTimeout+watch.Grace; time.Sleep(20 * time.Millisecond) {
			registry.chunks <- "\n "
		}
		registry.chunks <- `"targets":[]}`
		close(registry.chunks)
	}()
	if err := watch.pollOnce(t.Context(), watch.agent()); err != nil || len(events) != 1 {
		t.Errorf("%v, %d updates", err, len(events))
	}
}

// The first answer after a failure is passed to the Sink even if it has no changes: the balancer backs off further after
// each failure and needs to know that polls succeed again.
func TestRecoveryFromFailuresNotifiesSink(t *testing.T) {
	requests := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch requests++; requests { // not synchronized: each poll follows the answer to the previous one
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
	if e := testpeer.Receive(t, events, "the update after the failure"); e.failed || e.list.hasChanges() {
		t.Errorf("got %+v", e)
	}
}

// Changes to a list that the node does not hold are rejected, and the full list is requested again.
func TestDeltaWithoutSnapshotIsIgnored(t *testing.T) {
	registry := testpeer.NewAgent(t)
	events := make(sink, 10)
	watch := NewWatch(registry.Address(), -1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	registry.Tell(false, `{"rev":%d,"all":false,"targets":[`+testpeer.Entry("s1", "127.0.0.1:1", "in_service")+`]}`)
	if err := watch.pollOnce(t.Context(), watch.agent()); !errors.Is(err, errMalformedAnswer) || len(events) > 0 || watch.agent().revision != -1 {
		t.Errorf("%v, %d updates, rev %d", err, len(events), watch.agent().revision)
	}
}

// Guards against taking an agent's second answer, sent behind the first, for the answer to the next poll: the list would go back to
// an earlier one.
func TestSecondAnswerOfAgentIsIgnored(t *testing.T) {
	answer := func(rev int, state string) string {
		body := strings.Replace(testpeer.FullSnapshot(testpeer.Entry("s1", "127.0.0.1:1", state)), "%d", strconv.Itoa(rev), 1)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	requests := 0
	agent := testpeer.NewServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		requests++
		if requests == 1 {
			io.WriteString(c, answer(1, "in_service"))
			time.AfterFunc(20*time.Millisecond, func() { io.WriteString(c, answer(1, "in_service")) })
			return true
		}
		time.Sleep(100 * time.Millisecond)
		_, err := io.WriteString(c, answer(2, "terminating"))
		return err == nil
	})
	events := make(sink, 10)
	watch := NewWatch(agent.Address(), noRevision, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for rev := range int64(2) {
		if err := watch.pollOnce(t.Context(), watch.agent()); err != nil {
			t.Fatal(err)
		}
		if got := watch.agent().revision; got != rev+1 {
			t.Errorf("poll %d: rev %d, want %d", rev+1, got, rev+1)
		}
	}
}
