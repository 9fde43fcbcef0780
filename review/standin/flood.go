package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// flood: bad clients send bodies of 60 MB at full speed. The usual clients have their final answers in their time.
func flood(w *world) error {
	const (
		bad      = 300 // clients, each with one body at a time
		usual    = 40  // clients
		length   = 20 * time.Second
		lead     = time.Second // before the usual clients begin
		deadline = 2 * time.Second
		service  = 200 * time.Millisecond
		pause    = 80 * time.Millisecond // between two requests of a usual client
	)
	f, err := w.startFleet(serveAfter(service), nodeOptions{memoryMB: 192, sockets: 1024})
	if err != nil {
		return err
	}
	end := time.Now().Add(length)
	if w.trouble {
		flooders, err := w.startBadClients(f.node.address, bad, length)
		if err != nil {
			return err
		}
		defer flooders()
	}
	time.Sleep(lead)
	var mu sync.Mutex
	var finals []final
	var clients sync.WaitGroup
	lag := w.watchLag(end)
	for u := range usual {
		clients.Go(func() {
			var c *clientConn
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(pause)
				id := requestID(100000*u + n)
				class := "view-interval"
				if n%2 == 1 {
					class = "add-note"
				}
				got, keep := w.sendKept(c, f.node.address, id, requestText(class, id, deadline, "a note"), 3*deadline)
				c = keep
				mu.Lock()
				finals = append(finals, got)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	ownLag := <-lag
	w.logf("this program was late itself by %v at most; that much is allowed to answers, too", ownLag)
	counts := map[string]int{}
	for _, got := range finals {
		switch {
		case got.err != nil:
			counts["connection closed or not made"]++ // not judged: a node may shut it unread
		case got.after > deadline+answerSlack+ownLag:
			counts["late"]++
			w.violate("%s: its client waits for %v, and it was %s after %.3f s", got.id, deadline, got.kind, got.after.Seconds())
		default:
			counts[got.kind]++
		}
	}
	w.logf("usual clients: %v", counts)
	return nil
}

// sendKept sends a request on a kept connection, or on a new one, and once more on a new one if the kept one ends without an answer. It
// returns the connection if it stays open.
func (w *world) sendKept(c *clientConn, address, id, text string, patience time.Duration) (got final, kept *clientConn) {
	for {
		fresh := c == nil
		if fresh {
			var err error
			if c, err = dial(address); err != nil {
				return final{id: id, err: err}, nil
			}
		}
		c.write(text)
		got = w.awaitFinal(c, id, time.Now(), patience)
		if got.err == nil && !c.closing {
			return got, c
		}
		c.Close()
		c = nil
		if got.err == nil || fresh {
			return got, nil
		}
	}
}

// watchLag measures until a time by how much this program runs late itself.
func (w *world) watchLag(end time.Time) <-chan time.Duration {
	result := make(chan time.Duration, 1)
	go func() {
		const step = 5 * time.Millisecond
		var worst time.Duration
		for time.Now().Before(end) {
			begin := time.Now()
			time.Sleep(step)
			worst = max(worst, time.Since(begin)-step)
		}
		result <- worst
	}()
	return result
}

// startBadClients starts the bad clients as a process of their own, on two processors at most. The returned function ends it.
func (w *world) startBadClients(address string, clients int, length time.Duration) (stop func(), err error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, "bad-clients", address, strconv.Itoa(clients), length.String())
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	w.logf("%d bad clients, process %d", clients, cmd.Process.Pid)
	return func() {
		cmd.Process.Kill()
		cmd.Wait()
	}, nil
}

// badClients is the process of the bad clients: each sends a note of 60 MB in chunks, reads what it is sent, and comes again.
func badClients(address string, clients int, length time.Duration) {
	const parts, patience = 60, 6 * time.Second // of 1 MB; how long an answer or a close is owed to a client with 60 MB
	part := fmt.Sprintf("%x\r\n%s\r\n", 1_000_000, strings.Repeat("n", 1_000_000))
	end := time.Now().Add(length)
	var done sync.WaitGroup
	for range clients {
		done.Go(func() {
			for time.Now().Before(end) {
				c, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				c.SetDeadline(time.Now().Add(patience))
				id := fmt.Sprintf("%016x", rand.Uint64())
				_, err = fmt.Fprintf(c, "POST /add-note/%s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: 2.000\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
				for n := 0; n < parts && err == nil; n++ {
					_, err = c.Write([]byte(part))
				}
				readAll(c)
				c.Close()
			}
		})
	}
	done.Wait()
}
