package testpeer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Faults holds the share of requests, from 0 to 1, that suffers each kind of fault.
type Faults struct {
	Fail   float64 // run, and answered with status 500
	Refuse float64 // not run, and answered with status 503 and X-Not-Run
	Reset  float64 // run, and the connection is reset without a response
	Cut    float64 // run, and the connection is closed halfway through the response
	Hang   float64 // run, and never answered
}

// FaultyServerOptions configures a FaultyServer.
type FaultyServerOptions struct {
	Name            string
	MeanServiceTime time.Duration // mean service time; uniform between 0.5 and 1.5 times this value
	MaxRequests     int           // concurrent requests, beyond which more are refused; 0 means no limit
	Faults          Faults
	Seed            uint64
}

// FaultyServer is an HTTP/1.1 server that injects faults as configured and counts the requests it ran. The body of a
// successful response is the server's name, a space and the request ID.
type FaultyServer struct {
	options FaultyServerOptions

	mu     sync.Mutex
	rng    *rand.Rand
	ran    map[string]int
	busy   int
	counts ServerCounts
}

// ServerCounts counts the requests of a FaultyServer by what became of them.
type ServerCounts struct{ Requests, Ran, Failed, Refused, Reset, Cut, Hung int }

// NewFaultyServer returns a FaultyServer. Its Serve method is a Handler.
func NewFaultyServer(o FaultyServerOptions) *FaultyServer {
	return &FaultyServer{options: o, rng: rand.New(rand.NewPCG(o.Seed, 17)), ran: map[string]int{}}
}

// Ran returns how many times the server ran each request, by request ID.
func (b *FaultyServer) Ran() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.ran))
	for id, n := range b.ran {
		out[id] = n
	}
	return out
}

// Counts returns the counts so far.
func (b *FaultyServer) Counts() ServerCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// serverOutcome is how a FaultyServer handles a request.
type serverOutcome int

const (
	serve serverOutcome = iota
	fail
	refuse
	reset
	cut
	hang
)

// drawOutcome draws how a request is handled and how long it takes, and counts it.
func (b *FaultyServer) drawOutcome(id string) (serverOutcome, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Requests++
	took := time.Duration((0.5 + b.rng.Float64()) * float64(b.options.MeanServiceTime))
	outcome, drawn, faults := serve, b.rng.Float64(), b.options.Faults
	for i, share := range []float64{faults.Fail, faults.Refuse, faults.Reset, faults.Cut, faults.Hang} {
		if drawn < share {
			outcome = serverOutcome(i + 1)
			break
		}
		drawn -= share
	}
	if b.options.MaxRequests > 0 && b.busy >= b.options.MaxRequests {
		outcome = refuse
	}
	if outcome == refuse {
		b.counts.Refused++
		return outcome, 0
	}
	b.busy++
	b.ran[id]++
	b.counts.Ran++
	switch outcome {
	case fail:
		b.counts.Failed++
	case reset:
		b.counts.Reset++
	case cut:
		b.counts.Cut++
	case hang:
		b.counts.Hung++
	}
	return outcome, took
}

// Serve answers a request that was read completely. It is a Handler.
func (b *FaultyServer) Serve(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("X-Request-Id")
	outcome, took := b.drawOutcome(id)
	if outcome == refuse {
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	defer func() {
		b.mu.Lock()
		b.busy--
		b.mu.Unlock()
	}()
	time.Sleep(took)
	text := b.options.Name + " " + id
	var err error
	switch outcome {
	case fail:
		_, err = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case reset:
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		return false
	case cut:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2])
		return false
	case hang:
		io.Copy(io.Discard, c) // until the client closes the connection
		return false
	default:
		return Reply200(c, text)
	}
	return err == nil
}

// Name returns the server's name.
func (b *FaultyServer) Name() string { return b.options.Name }
