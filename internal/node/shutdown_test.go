package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/testpeer"
)

// Deadlines that nodes of these tests end under.
var endDeadlines = []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second}

// shortConfig is a configuration whose classes all have one deadline.
func shortConfig(deadline time.Duration, list string) testNode {
	cfg := testConfig(list)
	for i := range cfg.Classes {
		cfg.Classes[i].Deadline, cfg.Classes[i].LatencyObjective = config.Duration(deadline), config.Duration(deadline/2)
	}
	return cfg
}

// Each part of an end has its time before the next one, whatever the deadlines, and being held up in the last of them
// still leaves time before the kill.
func TestShutdownFinishesBeforeKill(t *testing.T) {
	const lastNewConnection = 400 * time.Millisecond // that comes after SIGTERM
	for _, deadline := range endDeadlines {
		e := newShutdownSchedule(shortConfig(deadline, testpeer.Whole()).Config)
		kill := min(deadline, maxKillAfter) + killAfter
		if e.stopAccepting < lastNewConnection || e.closeConnections < e.stopAccepting || e.answerAll < e.closeConnections+drainStep || e.finish < e.answerAll+drainStep ||
			e.answerAll+stallAllowance+2*drainStep >= kill || e.finish+stallAllowance >= kill || e.deadline < e.finish || e.deadline >= kill {
			t.Errorf("deadline %v: accepts until %v, serves until %v, answers all at %v, ends at %v, at %v at the latest, killed at %v",
				deadline, e.stopAccepting, e.closeConnections, e.answerAll, e.finish, e.deadline, kill)
		}
	}
}

// endClient sends one request after the other while its node ends, on connections that stay open and on new ones while
// those are accepted.
type endClient struct {
	name, deadline string
	address        string
	pause          time.Duration // between the two halves of a request; 0: it is written at once

	sent  int
	final sync.Map // ids of answered requests
	begun *atomic.Int64
}

// run returns once no connection is accepted any more.
func (c *endClient) run() {
	for {
		nc, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		nc.SetDeadline(time.Now().Add(testpeer.Limit))
		for in := bufio.NewReader(nc); c.ask(nc, in); {
		}
		nc.Close()
	}
}

// ask sends a request and reads its answer; false: the connection is of no more use.
func (c *endClient) ask(nc net.Conn, in *bufio.Reader) bool {
	c.sent++
	id := fmt.Sprint(c.name, "-", c.sent)
	head := "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Deadline: " + c.deadline + "\r\n\r\n"
	io.WriteString(nc, head[:20])
	time.Sleep(c.pause) // a slow client
	io.WriteString(nc, head[20:])
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	c.final.Store(id, true)
	c.begun.Add(1)
	return err == nil && !r.Close
}

// A node that is told to end answers all that it has taken and is over before it would be killed, however short its
// deadlines, while clients send on, some slowly, and also where no server answers any more.
func TestShutdownUnderShortDeadlines(t *testing.T) {
	for _, deadline := range endDeadlines[:5] {
		for _, hangs := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v,hangs=%v", deadline, hangs), func(t *testing.T) {
				t.Parallel()
				endUnder(t, deadline, hangs)
			})
		}
	}
}

func endUnder(t *testing.T, deadline time.Duration, hangs bool) {
	var ending atomic.Bool
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if hangs && ending.Load() {
			io.Copy(io.Discard, c)
			return false
		}
		time.Sleep(5 * time.Millisecond) // of work
		return testpeer.Echo(c, r, body)
	})
	n, stop := startNode(t, shortConfig(deadline, testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	var (
		clients []*endClient
		done    sync.WaitGroup
		begun   atomic.Int64
	)
	for i := range 8 {
		c := &endClient{name: fmt.Sprint("c", i), deadline: fmt.Sprint(deadline.Seconds()), address: n.Addr("main"), begun: &begun}
		if i%4 == 3 {
			c.pause = 30 * time.Millisecond
		}
		clients = append(clients, c)
		done.Go(c.run)
	}
	half := testpeer.Dial(t, n.Addr("main"))
	io.WriteString(half, "GET /vi")
	testpeer.Until(t, "traffic", func() bool { return begun.Load() > 20 })
	ending.Store(true)
	begin := time.Now()
	err := stop()
	took, kill := time.Since(begin), min(deadline, maxKillAfter)+killAfter
	if err != nil || took >= kill {
		t.Errorf("ended after %v of %v: %v", took, kill, err)
	}
	done.Wait()
	for _, id := range s.Requests() {
		name, _, _ := strings.Cut(id, "-")
		for _, c := range clients {
			if _, answered := c.final.Load(id); c.name == name && !answered {
				t.Errorf("%s reached a server and has no answer", id)
			}
		}
	}
	if report := n.metrics.Report(); report.OpenRequests != 0 {
		t.Errorf("%d requests are open", report.OpenRequests)
	}
}

// A step of a shutdown that is stalled between two looks at the clock still answers what is open: the clock moves on by more
// than the time to the last responses with each reading.
func TestStalledShutdownStepAnswersOpenRequests(t *testing.T) {
	clients := downstream.New(clock.New(), downstream.Limits{Capacity: 10, ServerMinimum: 1}, func() int { return 0 })
	open := &openConn{}
	clients.Add(open, nil)
	if !clients.BeginRequest(open) {
		t.Fatal("the request was not taken")
	}
	reading := time.Duration(0)
	answered := 0
	s := &shutdown{
		node:     &Node{clients: clients, incarnation: t.Context()},
		schedule: shutdownSchedule{answerAll: 10 * time.Millisecond, finish: 100 * time.Millisecond, deadline: 200 * time.Millisecond},
		now: func() time.Duration {
			reading += 9 * time.Millisecond
			return reading
		},
		answer: func() {
			answered++
			clients.EndRequest(open)
			clients.Remove(open)
		},
	}
	if err := s.closeConnections(); err != nil || answered != 1 {
		t.Errorf("answered %d times, %v", answered, err)
	}
}

// openConn is a client connection with an open request.
type openConn struct{ downstream.Conn }

func (c *openConn) CloseIdle() bool              { return false }
func (c *openConn) ReadAborted() bool            { return false }
func (c *openConn) AbortRead()                   {}
func (c *openConn) RequestStarted() bool         { return false }
func (c *openConn) ResponsePending() bool        { return true }
func (c *openConn) SinceLastRead() time.Duration { return 0 }
