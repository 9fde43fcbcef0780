package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
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
	Name    string
	Clients int
	Length  int // bytes
	Chunked bool
	Address string // of the node
}

// longFlood is of bodies that no node takes.
var longFlood = uploadFlood{Name: "in chunks, too long", Clients: 100, Length: 60 * uploadFloodPart, Chunked: true}

// uploadEndings counts how the uploads of a flood ended for their clients.
type uploadEndings struct{ Served, Refused, Closed, Unanswered int }

// uploadFloodVariable is the environment variable that holds the flood, as JSON, in the process of its clients.
const uploadFloodVariable = "DAMSONTRESTLE_UPLOAD_FLOOD"

// TestUploadFloodClients is the process of a flood's clients: beside the usual clients they would make these late themselves. It does
// nothing in a usual run.
func TestUploadFloodClients(t *testing.T) {
	text := os.Getenv(uploadFloodVariable)
	if text == "" {
		return
	}
	var flood uploadFlood
	if err := json.Unmarshal([]byte(text), &flood); err != nil {
		t.Fatal(err)
	}
	endings := flood.play(time.Now().Add(uploadFloodTime))
	json.NewEncoder(os.Stdout).Encode(endings)
}

// start starts the process of a flood's clients. The returned function waits for its end and returns how the uploads ended.
func (f uploadFlood) start(t *testing.T) (wait func() uploadEndings) {
	text, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestUploadFloodClients$")
	cmd.Env = append(os.Environ(), uploadFloodVariable+"="+string(text), "GOMAXPROCS=2")
	var out bytes.Buffer
	cmd.Stdout = &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return func() (endings uploadEndings) {
		cmd.Wait()
		if err := json.NewDecoder(&out).Decode(&endings); err != nil {
			t.Fatalf("the clients of the flood: %v", err)
		}
		return endings
	}
}

// play sends the uploads of all clients until a time.
func (f uploadFlood) play(until time.Time) (endings uploadEndings) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range f.Clients {
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				status, err := f.sendOne(fmt.Sprint("flood-", i, "-", n))
				mu.Lock()
				endings.add(status, err)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return endings
}

// add counts the end of one upload.
func (e *uploadEndings) add(status int, err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Unanswered++
	case err != nil:
		e.Closed++
	case status == http.StatusOK:
		e.Served++
	default:
		e.Refused++
	}
}

// Guards against responses that are late, or never come, because hundreds of other clients send long bodies at full speed (review/6).
func TestUploadFloodDelaysNoOtherClient(t *testing.T) {
	for _, flood := range []uploadFlood{
		longFlood,
		{Name: "with a length that is taken", Clients: 100, Length: 30 * uploadFloodPart},
	} {
		t.Run(flood.Name, func(t *testing.T) { playUploadFlood(t, flood) })
	}
}

// Guards against clients with bodies that are too long who have neither an answer nor a close after 6 s, since a busy node never comes to
// the end of what it takes.
func TestUploadFloodIsEndedInTime(t *testing.T) {
	if endings := playUploadFlood(t, longFlood); endings.Unanswered > 0 {
		t.Errorf("%d clients have neither an answer nor a close after %v", endings.Unanswered, uploadFloodPatience)
	}
}

// playUploadFlood plays usual clients alone and then beside a flood.
func playUploadFlood(t *testing.T, flood uploadFlood) uploadEndings {
	address, management := startUploadNode(t)
	flood.Address = address
	alone := playUsualClients(address, "alone", time.Now().Add(uploadFloodTime-uploadFloodLead))
	before := schedulingOf(t, management)
	until := time.Now().Add(uploadFloodTime)
	wait := flood.start(t)
	time.Sleep(uploadFloodLead)
	flooded := playUsualClients(address, "flooded", until)
	after := schedulingOf(t, management)
	endings := wait()
	t.Logf("alone %+v, flooded %+v; uploads %+v", alone, flooded, endings)
	t.Logf("waits for a processor: %+v, before the flood %+v", after, before)
	if flooded.late > 0 || flooded.served < alone.served/uploadFloodServed {
		t.Errorf("usual clients: %+v; alone %+v", flooded, alone)
	}
	if after.Over1s > before.Over1s {
		t.Errorf("goroutines waited for over a second %d times", after.Over1s-before.Over1s)
	}
	return endings
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
func (f uploadFlood) sendOne(id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", f.Address, time.Second)
	if err != nil {
		time.Sleep(memoryRetryInterval)
		return 0, errNotConnected
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(uploadFloodPatience))
	part := repeated("n", uploadFloodPart)
	framing := fmt.Sprintf("Content-Length: %d", f.Length)
	if f.Chunked {
		part = chunk(part)
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: %v\r\n%s\r\n\r\n", id, uploadFloodDeadline.Seconds(), framing)
	for sent := 0; sent < f.Length && err == nil; sent += uploadFloodPart {
		_, err = io.WriteString(c, part)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

var errNotConnected = errors.New("no connection to the node")

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
