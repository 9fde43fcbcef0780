package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["flood"] = flood }

// memory returns the anonymous memory of the node's process in KB; 0 if it has ended.
func (n *node) memory() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if field := strings.Fields(line); len(field) > 1 && field[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(field[1])
			return kb
		}
	}
	return 0
}

// watchMemory is the platform's limit: over memory_mb the node is killed. It returns the most memory that a node held until stop
// is closed, and the nodes that were killed.
func watchMemory(stop <-chan struct{}) (most int, killed []string) {
	over := map[*node]bool{}
	for {
		for _, n := range nodes {
			kb := n.memory()
			most = max(most, kb)
			if kb > memoryMB<<10 && !over[n] {
				over[n] = true
				text := fmt.Sprintf("node %s held %d KB of memory, over its limit of %d MB", n.name, kb, memoryMB)
				killed = append(killed, "crash: "+text+", and was killed")
				n.signal(syscall.SIGKILL)
			}
		}
		select {
		case <-stop:
			return most, killed
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// noise is what a bad client sends that can't be read: empty lines.
var noise = bytes.Repeat([]byte{'\n'}, 20<<20)

// floodingClient sends a view and then, at full speed, noise; it reads what it is sent and comes again when its connection ends. Without the
// trouble it sends the view alone.
func floodingClient(addr string, until time.Time) {
	for time.Now().Before(until) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r := newRequest("GET", "view-interval", 0, 4*time.Second)
		c.SetDeadline(time.Now().Add(4 * time.Second))
		var writing sync.WaitGroup
		writing.Go(func() {
			io.WriteString(c, r.String())
			if trouble {
				n, _ := c.Write(noise)
				record("bad client wrote %s and %d empty lines", r.id, n)
			}
		})
		if trouble {
			io.Copy(io.Discard, c)
		} else {
			c.Read(make([]byte, 1000))
		}
		c.Close()
		writing.Wait()
	}
}

// flood has two bad clients at one of two nodes, beside usual ones at both.
func flood() {
	badDay(2, floodingClient)
}

// badDay has bad clients at one of two nodes, beside usual ones at both, and watches the nodes' memory.
func badDay(bad int, badClient func(addr string, until time.Time)) {
	const usual, length = 16, 5 * time.Second
	memoryMB = 96
	deploy(2, 6, siteClasses(), work)
	stop := make(chan struct{})
	var most int
	var killed []string
	var watch sync.WaitGroup
	watch.Go(func() { most, killed = watchMemory(stop) })
	until := time.Now().Add(length)
	var mu sync.Mutex
	var all []*request
	var wg sync.WaitGroup
	for i := range usual {
		wg.Go(func() {
			for time.Now().Before(until) {
				r := newRequest("GET", "view-interval", 0, 2400*time.Millisecond)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				if exchange(nodes[i%2].addr, time.Second, r); r.answered.IsZero() {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	for range bad {
		wg.Go(func() { badClient(nodes[0].addr, until) })
	}
	wg.Wait()
	close(stop)
	watch.Wait()
	unanswered := 0
	for _, r := range all {
		record("%s", r.outcome())
		if r.broken() != "" {
			unanswered++
		}
	}
	recordArrivals()
	record("most memory of a node: %d KB; %d of %d requests of usual clients not answered", most, unanswered, len(all))
	verdict(killed)
}
