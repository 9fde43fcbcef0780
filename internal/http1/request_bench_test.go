package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/upstream"
)

// requestAnswer is what the benchmarks' servers answer: 1 KB.
var requestAnswer = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024))

// plainServer answers each GET after a time, with little work of its own, counts the connections that it accepts, and
// returns where it listens.
func plainServer(b *testing.B, service time.Duration, accepted *atomic.Int64) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var all sync.WaitGroup
	b.Cleanup(func() { ln.Close(); all.Wait() })
	all.Go(func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			accepted.Add(1)
			all.Go(func() { answerAll(c, service) })
		}
	})
	return ln.Addr().String()
}

// answerAll answers each GET of a connection.
func answerAll(c net.Conn, service time.Duration) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > len("\r\n") {
			continue
		}
		if service > 0 {
			time.Sleep(service)
		}
		if _, err := c.Write(requestAnswer); err != nil {
			return
		}
	}
}

// benchClient asks a node on one connection.
type benchClient struct {
	net.Conn
	in *bufio.Reader
}

func (c benchClient) ask(id int) error {
	fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: n\r\nX-Request-Id: r%d\r\nX-Deadline: 10\r\n\r\n", id)
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	if n, err := io.Copy(io.Discard, r.Body); r.StatusCode != http.StatusOK || n != 1024 || err != nil {
		return fmt.Errorf("status %d, %d bytes, %w", r.StatusCode, n, err)
	}
	return nil
}

// benchRequests has clients ask a node with these servers, and returns how many connections the servers accepted and how long
// each answer took.
func benchRequests(b *testing.B, clients, servers int, service, pause time.Duration) (connections int64, took []time.Duration) {
	var entries []string
	var accepted atomic.Int64
	for i := range servers {
		entries = append(entries, testpeer.Entry(fmt.Sprint("s", i), plainServer(b, service, &accepted), "in_service"))
	}
	n := start(b, testConfig(testpeer.Whole(entries...)), func(n *testNode) { n.setSettle(upstream.DefaultSettleDelay) })
	var (
		mu  sync.Mutex
		all sync.WaitGroup
	)
	ids := make(chan int)
	b.ReportAllocs()
	b.ResetTimer()
	for range clients {
		nc, err := net.Dial("tcp", n.Addr())
		if err != nil {
			b.Fatal(err)
		}
		defer nc.Close()
		c := benchClient{nc, bufio.NewReader(nc)}
		all.Go(func() {
			for id := range ids {
				begin := time.Now()
				if err := c.ask(id); err != nil {
					b.Error(err)
				}
				mu.Lock()
				took = append(took, time.Since(begin))
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	for id := range b.N {
		ids <- id
	}
	close(ids)
	all.Wait()
	b.StopTimer()
	slices.Sort(took)
	return accepted.Load(), took
}

// spent is the time on processors that this process has had.
func spent() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequest passes one request after another through front, engine and back: what is allocated, and the time on
// processors, are the client's and the server's too.
func BenchmarkRequest(b *testing.B) {
	before := spent()
	benchRequests(b, 1, 1, 0, 0)
	b.ReportMetric(float64((spent()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkRequests has 64 clients that pause 10 ms ask a node with 8 servers of 2 ms: what an answer takes, and how many
// connections are opened for that.
func BenchmarkRequests(b *testing.B) {
	before := spent()
	connections, took := benchRequests(b, 64, 8, 2*time.Millisecond, 10*time.Millisecond)
	b.ReportMetric(float64((spent()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "median-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(connections), "connections")
}
