package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// Times and numbers of the flood tests.
const (
	floodServiceTime  = 10 * time.Millisecond // of the server
	floodTime         = 1200 * time.Millisecond
	floodBurst        = 300 * time.Millisecond // in which the connections use what they may cause at once
	floodNeighbours   = 4                      // usual clients beside the flood
	floodMedianFactor = 2.5                    // by which a flood may lengthen the median answer of the usual clients
	floodLongestDelay = 500 * time.Millisecond
)

// flood is input that clients send at full speed, each connection one part after the other.
type flood struct {
	name        string
	connections int
	head        string // sent once
	part        string // sent again and again
}

var floods = []flood{
	{"health checks", 1, "", strings.Repeat("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n", 100)},
	{"chunks of one byte", 1, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 2\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000)},
	{"chunks of one byte", 20, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 2\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000)},
	{"input behind a request", 4, "GET /view/held HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 2\r\n\r\n", strings.Repeat("\r\n", 10000)},
}

// Guards against answers that are late while other clients send small requests or tiny chunks at full speed.
func TestFloodDelaysNoOtherClient(t *testing.T) {
	for _, flood := range floods {
		t.Run(fmt.Sprint(flood.name, " on ", flood.connections), func(t *testing.T) { playFlood(t, flood) })
	}
}

// Guards against the same with health checks on many connections.
func TestFloodOfHealthChecksDelaysNoOtherClient(t *testing.T) {
	playFlood(t, flood{"health checks", 20, "", strings.Repeat("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n", 100)})
}

// playFlood plays a flood beside usual clients, and compares how long their answers take with and without it.
func playFlood(t *testing.T, flood flood) {
	server := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasSuffix(r.URL.Path, "/held") {
			time.Sleep(floodTime)
		}
		time.Sleep(floodServiceTime)
		return testpeer.Reply200(c, "ok")
	})
	agent := testpeer.NewAgent(t)
	list := testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))
	agent.Tell(false, list)
	config := agentConfig(agent, list, memorySettings, usualMemoryMB, usualSockets)
	cmd, address, _ := startNode(t, filepath.Join(t.TempDir(), "config.json"), config)
	defer cmd.Process.Signal(syscall.SIGKILL)
	quiet := playNeighbours(t, address, "quiet", time.Now().Add(floodTime/2))
	until := time.Now().Add(floodTime)
	var flooding sync.WaitGroup
	for i := range flood.connections {
		flooding.Go(func() { sendFlood(address, flood.head, flood.part, i, until) })
	}
	time.Sleep(floodBurst)
	flooded := playNeighbours(t, address, "flooded", until)
	flooding.Wait()
	t.Logf("median and longest: quiet %v %v of %d, flooded %v %v of %d", median(quiet), slices.Max(quiet), len(quiet),
		median(flooded), slices.Max(flooded), len(flooded))
	if float64(median(flooded)) > floodMedianFactor*float64(median(quiet)) {
		t.Errorf("the median rose from %v to %v", median(quiet), median(flooded))
	}
	if longest := slices.Max(flooded); longest > slices.Max(quiet)+floodLongestDelay {
		t.Errorf("a client waited %v", longest)
	}
}

// median returns the median of times.
func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// playNeighbours sends views from a few clients until a time, and returns how long their answers took.
func playNeighbours(t *testing.T, address, name string, until time.Time) (times []time.Duration) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range floodNeighbours {
		clients.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(until.Add(testTimeout))
			client := testpeer.NewClientConn(c)
			for n := 0; time.Now().Before(until); n++ {
				begin := time.Now()
				client.Send("GET", "/view/k", fmt.Sprint(name, i, "-", n), "", "40")
				r, err := http.ReadResponse(client.Reader, nil)
				if err != nil || r.StatusCode != 200 {
					t.Errorf("%v, %v", r, err)
					return
				}
				io.Copy(io.Discard, r.Body)
				mu.Lock()
				times = append(times, time.Since(begin))
				mu.Unlock()
				time.Sleep(time.Millisecond)
			}
		})
	}
	clients.Wait()
	return times
}

// sendFlood sends a flood on one connection after the other until a time.
func sendFlood(address, head, part string, number int, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		c, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		c.SetDeadline(until)
		go io.Copy(io.Discard, bufio.NewReader(c))
		if head != "" {
			fmt.Fprintf(c, head, fmt.Sprint("flood-", number, "-", n))
		}
		for err == nil {
			_, err = io.WriteString(c, part)
		}
		c.Close()
	}
}
