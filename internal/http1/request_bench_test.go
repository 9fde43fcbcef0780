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

// benchReply is the reply of the benchmarks' servers, with a body of 1 KiB.
var benchReply = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024))

// startMinimalServer starts a server that replies to each GET after a service time, with little work of its own, and counts
// accepted connections. It returns the server's address.
func startMinimalServer(b *testing.B, serviceTime time.Duration, accepted *atomic.Int64) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var wg sync.WaitGroup
	b.Cleanup(func() { ln.Close(); wg.Wait() })
	wg.Go(func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			accepted.Add(1)
			wg.Go(func() { replyToAll(c, serviceTime) })
		}
	})
	return ln.Addr().String()
}

// replyToAll replies to each GET of a connection.
func replyToAll(conn net.Conn, serviceTime time.Duration) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > len("\r\n") {
			continue
		}
		if serviceTime > 0 {
			time.Sleep(serviceTime)
		}
		if _, err := conn.Write(benchReply); err != nil {
			return
		}
	}
}

// benchClient sends requests to a node on one connection.
type benchClient struct {
	net.Conn
	in *bufio.Reader
}

func (c benchClient) get(id int) error {
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

// runBenchClients sends b.N requests from concurrent clients through a node to these servers. It returns the number of
// connections that the servers accepted, and the sorted latencies.
func runBenchClients(b *testing.B, clients, servers int, serviceTime, pause time.Duration) (connections int64, latencies []time.Duration) {
	var entries []string
	var accepted atomic.Int64
	for i := range servers {
		entries = append(entries, testpeer.Entry(fmt.Sprint("s", i), startMinimalServer(b, serviceTime, &accepted), "in_service"))
	}
	node := startNode(b, testConfig(testpeer.FullSnapshot(entries...)), func(node *testNode) { node.setSettle(upstream.DefaultSettleDelay) })
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	ids := make(chan int)
	b.ReportAllocs()
	b.ResetTimer()
	for range clients {
		conn, err := net.Dial("tcp", node.Addr())
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		c := benchClient{conn, bufio.NewReader(conn)}
		wg.Go(func() {
			for id := range ids {
				begin := time.Now()
				if err := c.get(id); err != nil {
					b.Error(err)
				}
				mu.Lock()
				latencies = append(latencies, time.Since(begin))
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	for id := range b.N {
		ids <- id
	}
	close(ids)
	wg.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	return accepted.Load(), latencies
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequest sends one request after another through front end, engine and upstream pool. Allocations and CPU time
// include those of the client and the server.
func BenchmarkRequest(b *testing.B) {
	before := processCPUTime()
	runBenchClients(b, 1, 1, 0, 0)
	b.ReportMetric(float64((processCPUTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkRequests runs 64 clients with pauses of 10 ms against a node with 8 servers with a service time of 2 ms. It measures
// the latency of responses and how many connections are opened.
func BenchmarkRequests(b *testing.B) {
	before := processCPUTime()
	connections, latencies := runBenchClients(b, 64, 8, 2*time.Millisecond, 10*time.Millisecond)
	b.ReportMetric(float64((processCPUTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "median-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(connections), "connections")
}
