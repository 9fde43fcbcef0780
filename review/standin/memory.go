package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryLimit: hundreds of bad clients send much at once. The node stays within its memory. The platform is a stand-in: it kills a node
// whose memory is over the limit. Only anonymous memory counts, neither the program's text nor the kernel's buffers.
func memoryLimit(w *world) error {
	const (
		limitMB  = 32
		sockets  = 1024
		bad      = 900 // clients
		usual    = 10  // clients
		length   = 20 * time.Second
		deadline = 4 * time.Second
		service  = 300 * time.Millisecond
	)
	f, err := w.startFleet(serveAfter(service), nodeOptions{memoryMB: limitMB, sockets: sockets})
	if err != nil {
		return err
	}
	pid := f.node.cmd.Process.Pid
	if anonymousKB(pid) <= 0 {
		return fmt.Errorf("%w: the memory of a process can't be read", errCannotRun)
	}
	end := time.Now().Add(length)
	var clients sync.WaitGroup
	if w.trouble {
		w.logf("%d bad clients: a third sends a view and a note at once, a third a note of 65,000 bytes, a third half a note and a close", bad)
		for i := range bad {
			clients.Go(func() {
				for time.Now().Before(end) && !f.node.hasExited() {
					playBadClient(f.node.address, i, deadline)
				}
			})
		}
	}
	var mu sync.Mutex
	counts := map[string]int{}
	for i := range usual {
		clients.Go(func() {
			for n := 0; time.Now().Before(end) && !f.node.hasExited(); n++ {
				id := requestID(1000*(i+1) + n)
				c, err := dial(f.node.address)
				if err != nil {
					continue
				}
				c.write(requestText("add-note", id, deadline, strings.Repeat("n", 4<<10)))
				status, _, err := c.readResponse(time.Now().Add(deadline))
				kind := kindOf(status)
				if err != nil {
					kind = "none"
				}
				mu.Lock()
				counts[kind]++
				mu.Unlock()
				c.Close()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	peak := int64(0)
	for time.Now().Before(end) && !f.node.hasExited() {
		used := anonymousKB(pid)
		peak = max(peak, used)
		if used > limitMB<<10 {
			w.violate("the node holds %d KiB of anonymous memory, over its limit of %d KiB: the platform kills it", used, limitMB<<10)
			f.node.signal(syscall.SIGKILL)
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	clients.Wait()
	w.logf("peak of the anonymous memory: %d KiB of %d KiB", peak, limitMB<<10)
	w.logf("answers to usual clients: %v", counts)
	if len(w.broken) == 0 && f.node.hasExited() {
		w.violate("the node has ended: %v", f.node.exitErr)
	}
	return nil
}

// playBadClient plays one connection of a bad client.
func playBadClient(address string, number int, deadline time.Duration) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(deadline))
	id := fmt.Sprintf("%016x", rand.Uint64())
	note := strings.Repeat("n", 65_000)
	switch number % 3 {
	case 0: // much at once
		fmt.Fprint(c, requestText("view-interval", id, deadline, "")+requestText("add-note", id[1:]+"b", deadline, note))
		readAll(c)
	case 1: // hundreds of requests at once
		fmt.Fprint(c, requestText("add-note", id, deadline, note))
		readAll(c)
	case 2: // half a request and a close
		fmt.Fprint(c, requestText("add-note", id, deadline, strings.Repeat(note, 90))[:200_000])
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
	}
}

// readAll reads until the end of a connection or its deadline.
func readAll(c net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// anonymousKB returns the resident anonymous memory of a process in KiB, or 0 if it can't be read.
func anonymousKB(pid int) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			return n
		}
	}
	return 0
}
