package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/metrics"
	"damsontrestle/internal/testpeer"
)

// Times and numbers of the tests of upload floods.
const (
	uploadFloodTime     = 3 * time.Second
	uploadFloodLead     = time.Second // before the usual clients begin
	uploadFloodPatience = 6 * time.Second
	uploadFloodDeadline = 2 * time.Second
	uploadFloodSlack    = 550 * time.Millisecond // by which a response may be late
	uploadFloodPause    = 80 * time.Millisecond  // between two requests of a usual client
	uploadFloodUsual    = 40                     // clients
	uploadFloodServed   = 4                      // one in so many of the requests served alone is served beside the flood, at least
	uploadFloodMemoryMB = 192
	uploadFloodPart     = 1_000_000 // bytes
)

// uploadFlood is a long body that each of some clients sends at full speed, on one connection after the other.
type uploadFlood struct {
	name     string
	clients  int
	length   int // bytes
	chunked  bool
	mustEnd  bool // each is owed a response or a close within uploadFloodPatience
	requests atomic.Int64
}

// uploadEndings counts how the uploads of a flood ended for their clients.
type uploadEndings struct{ served, refused, closed, unanswered atomic.Int64 }

// Guards against responses that are late, or never come, because hundreds of other clients send long bodies at full speed (review/6).
func TestUploadFloodDelaysNoOtherClient(t *testing.T) {
	for _, flood := range []*uploadFlood{
		{name: "in chunks, too long", clients: 100, length: 60 * uploadFloodPart, chunked: true, mustEnd: true},
		{name: "with a length that is taken", clients: 100, length: 30 * uploadFloodPart},
	} {
		t.Run(flood.name, func(t *testing.T) { playUploadFlood(t, flood) })
	}
}

// playUploadFlood plays usual clients alone and then beside a flood.
func playUploadFlood(t *testing.T, flood *uploadFlood) {
	address, management := startUploadNode(t)
	alone := playUsualClients(address, "alone", time.Now().Add(uploadFloodTime-uploadFloodLead))
	before := schedulingOf(t, management)
	until := time.Now().Add(uploadFloodTime)
	var endings uploadEndings
	var flooding sync.WaitGroup
	for range flood.clients {
		flooding.Go(func() {
			for time.Now().Before(until) {
				flood.sendOne(address, &endings)
			}
		})
	}
	time.Sleep(uploadFloodLead)
	flooded := playUsualClients(address, "flooded", until)
	after := schedulingOf(t, management)
	flooding.Wait()
	t.Logf("alone %v, flooded %v; uploads: %d served, %d refused, %d closed, %d without an answer", alone, flooded,
		endings.served.Load(), endings.refused.Load(), endings.closed.Load(), endings.unanswered.Load())
	t.Logf("waits for a processor: %+v, before the flood %+v", after, before)
	if flooded.late > 0 || flooded.served < alone.served/uploadFloodServed {
		t.Errorf("usual clients: %v; alone %v", flooded, alone)
	}
	if flood.mustEnd && endings.unanswered.Load() > 0 {
		t.Errorf("%d clients with bodies that are too long have neither an answer nor a close after %v", endings.unanswered.Load(), uploadFloodPatience)
	}
	if after.Over1s > before.Over1s {
		t.Errorf("goroutines waited for over a second %d times", after.Over1s-before.Over1s)
	}
}

// startUploadNode starts a node as a process before servers that read whatever they are sent.
func startUploadNode(t *testing.T) (address, management string) {
	server := listenWith(t, func(c net.Conn) {
		requests := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			time.Sleep(floodServiceTime)
			if !testpeer.Reply200(c, "ok") {
				return
			}
		}
	})
	agent := testpeer.NewAgent(t)
	list := testpeer.FullSnapshot(testpeer.Entry("s1", server, "in_service"))
	agent.Tell(false, list)
	management = freeAddress(t)
	config := agentConfig(agent, list, memorySettings, uploadFloodMemoryMB, usualSockets)
	cmd, address, log := startNode(t, filepath.Join(t.TempDir(), "config.json"), config, "BALANCER_MGMT="+management)
	t.Cleanup(func() { cmd.Process.Signal(syscall.SIGKILL) })
	go func() {
		for range log { // otherwise the node could not go on
		}
	}()
	return address, management
}

// schedulingOf returns how late a node is itself.
func schedulingOf(t *testing.T, management string) metrics.Scheduling {
	t.Helper()
	var report metrics.Report
	testpeer.Until(t, "a report of the management endpoint", func() bool {
		var err error
		report, err = readCounters(management)
		return err == nil && report.Scheduling != nil
	})
	return *report.Scheduling
}

// sendOne sends one body and waits for its end.
func (f *uploadFlood) sendOne(address string, endings *uploadEndings) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(memoryRetryInterval)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(uploadFloodPatience))
	part := repeated("n", uploadFloodPart)
	framing := fmt.Sprintf("Content-Length: %d", f.length)
	if f.chunked {
		part = chunk(part)
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: flood-%d\r\nX-Deadline: %v\r\n%s\r\n\r\n",
		f.requests.Add(1), uploadFloodDeadline.Seconds(), framing)
	for sent := 0; sent < f.length && err == nil; sent += uploadFloodPart {
		_, err = io.WriteString(c, part)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	switch {
	case err == nil && response.StatusCode == http.StatusOK:
		endings.served.Add(1)
	case err == nil:
		endings.refused.Add(1)
	case errors.Is(err, os.ErrDeadlineExceeded):
		endings.unanswered.Add(1)
	default:
		endings.closed.Add(1)
	}
}

// usualResult counts how requests of usual clients ended.
type usualResult struct {
	served, unserved, late, closed int
	longest                        time.Duration
}

// playUsualClients sends views from usual clients, one at a time each, until a time.
func playUsualClients(address, name string, until time.Time) (result usualResult) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range uploadFloodUsual {
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				time.Sleep(uploadFloodPause)
				status, took, err := sendView(address, fmt.Sprint(name, i, "-", n))
				mu.Lock()
				result.add(status, took, err)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return result
}

// sendView sends a view on a connection of its own, and returns how long its response took.
func sendView(address, id string) (status int, took time.Duration, err error) {
	c, err := net.DialTimeout("tcp", address, uploadFloodDeadline)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(uploadFloodPatience))
	begin := time.Now()
	client := testpeer.NewClientConn(c)
	client.Send("GET", "/view/k", id, "", fmt.Sprint(uploadFloodDeadline.Seconds()))
	response, err := http.ReadResponse(client.Reader, nil)
	if err != nil {
		return 0, 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, time.Since(begin), err
}

// add counts the end of one request.
func (r *usualResult) add(status int, took time.Duration, err error) {
	r.longest = max(r.longest, took)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || took > uploadFloodDeadline+uploadFloodSlack:
		r.late++
	case err != nil:
		r.closed++
	case status == http.StatusOK:
		r.served++
	default:
		r.unserved++
	}
}
