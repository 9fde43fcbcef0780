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

// shutdownDeadlines are the request deadlines that shutdowns are tested with.
var shutdownDeadlines = []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second}

// shortConfig returns a configuration in which all classes have one deadline.
func shortConfig(deadline time.Duration, list string) testNodeConfig {
	cfg := testConfig(list)
	for i := range cfg.Classes {
		cfg.Classes[i].Deadline, cfg.Classes[i].LatencyObjective = config.Duration(deadline), config.Duration(deadline/2)
	}
	return cfg
}

// For all deadlines, the steps of a shutdown are far enough apart, and a stall during the last step still leaves time
// before the kill.
func TestShutdownFinishesBeforeKill(t *testing.T) {
	const lastNewConnection = 400 * time.Millisecond // arrives this long after SIGTERM
	for _, deadline := range shutdownDeadlines {
		schedule := newShutdownSchedule(shortConfig(deadline, testpeer.FullSnapshot()).Config)
		kill := min(deadline, maxKillAfter) + killAfter
		if schedule.stopAccepting < lastNewConnection || schedule.closeConnections < schedule.stopAccepting || schedule.answerAll < schedule.closeConnections+drainPollInterval || schedule.finish < schedule.answerAll+drainPollInterval ||
			schedule.answerAll+stallAllowance+2*drainPollInterval >= kill || schedule.finish+stallAllowance >= kill || schedule.deadline < schedule.finish || schedule.deadline >= kill {
			t.Errorf("deadline %v: accepts until %v, keeps connections until %v, answers all at %v, finishes at %v, deadline at %v, killed at %v",
				deadline, schedule.stopAccepting, schedule.closeConnections, schedule.answerAll, schedule.finish, schedule.deadline, kill)
		}
	}
}

// shutdownClient sends requests one after the other during a shutdown, on open connections and, while they are accepted, on
// new ones.
type shutdownClient struct {
	name, deadline string
	address        string
	pause          time.Duration // between the two parts of a request; 0: no pause

	sent      int
	answered  sync.Map // IDs of answered requests
	responses *atomic.Int64
}

// run sends requests until no new connection is accepted.
func (c *shutdownClient) run() {
	for {
		nc, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		nc.SetDeadline(time.Now().Add(testpeer.Limit))
		for in := bufio.NewReader(nc); c.sendRequest(nc, in); {
		}
		nc.Close()
	}
}

// sendRequest sends a request and reads the response. It reports whether the connection can be reused.
func (c *shutdownClient) sendRequest(nc net.Conn, in *bufio.Reader) bool {
	c.sent++
	id := fmt.Sprint(c.name, "-", c.sent)
	head := "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Deadline: " + c.deadline + "\r\n\r\n"
	io.WriteString(nc, head[:20])
	time.Sleep(c.pause) // simulates a slow client
	io.WriteString(nc, head[20:])
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	c.answered.Store(id, true)
	c.responses.Add(1)
	return err == nil && !r.Close
}

// A node that shuts down answers all accepted requests and finishes before it would be killed, however short its deadlines
// are. Clients keep sending, some of them slowly, and in some cases no server answers any more.
func TestShutdownUnderShortDeadlines(t *testing.T) {
	for _, deadline := range shutdownDeadlines[:5] {
		for _, hangs := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v,hangs=%v", deadline, hangs), func(t *testing.T) {
				t.Parallel()
				testShutdownUnderLoad(t, deadline, hangs)
			})
		}
	}
}

func testShutdownUnderLoad(t *testing.T, deadline time.Duration, hangs bool) {
	var ending atomic.Bool
	s := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		if hangs && ending.Load() {
			io.Copy(io.Discard, conn)
			return false
		}
		time.Sleep(5 * time.Millisecond) // simulates work
		return testpeer.Echo(conn, r, body)
	})
	n, stop := startNode(t, shortConfig(deadline, testpeer.FullSnapshot(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	var (
		clients []*shutdownClient
		done    sync.WaitGroup
		begun   atomic.Int64
	)
	for i := range 8 {
		client := &shutdownClient{name: fmt.Sprint("c", i), deadline: fmt.Sprint(deadline.Seconds()), address: n.Addr("main"), responses: &begun}
		if i%4 == 3 {
			client.pause = 30 * time.Millisecond
		}
		clients = append(clients, client)
		done.Go(client.run)
	}
	half := testpeer.Dial(t, n.Addr("main"))
	io.WriteString(half, "GET /vi")
	testpeer.Until(t, "traffic", func() bool { return begun.Load() > 20 })
	ending.Store(true)
	begin := time.Now()
	err := stop()
	took, kill := time.Since(begin), min(deadline, maxKillAfter)+killAfter
	if err != nil || took >= kill {
		t.Errorf("shutdown took %v, want less than %v: %v", took, kill, err)
	}
	done.Wait()
	for _, id := range s.Requests() {
		name, _, _ := strings.Cut(id, "-")
		for _, client := range clients {
			if _, answered := client.answered.Load(id); client.name == name && !answered {
				t.Errorf("request %s reached a server but got no response", id)
			}
		}
	}
	if report := n.metrics.Report(); report.OpenRequests != 0 {
		t.Errorf("got %d open requests, want 0", report.OpenRequests)
	}
}

// A shutdown that stalls between two clock readings still answers open requests. Each reading of the test clock advances it
// by almost the time until the last responses.
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
		answerOpenRequests: func() {
			answered++
			clients.EndRequest(open)
			clients.Remove(open)
		},
	}
	if err := s.closeConnections(); err != nil || answered != 1 {
		t.Errorf("got %d answers and error %v, want 1 and nil", answered, err)
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
