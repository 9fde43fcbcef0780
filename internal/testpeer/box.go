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

// Faults are shares of a server's requests, from 0 to 1, that go wrong in each way.
type Faults struct {
	Fail   float64 // answered 500, after they ran
	Refuse float64 // answered 503 with X-Not-Run, and never run
	Reset  float64 // run, and their connection is reset instead of an answer
	Cut    float64 // run, and their connection ends halfway through the answer
	Hang   float64 // run, and never answered
}

// BoxOptions are what a Box does.
type BoxOptions struct {
	Name    string
	Service time.Duration // mean time that a request takes; half to one and a half of it, evenly
	Room    int           // requests at once, more are refused; 0: any number
	Faults  Faults
	Seed    uint64
}

// Box is a log server: it answers HTTP/1.1 as its options say and counts what it ran. The body of a good answer
// is its name, a space and the request's id.
type Box struct {
	options BoxOptions

	mu   sync.Mutex
	rng  *rand.Rand
	ran  map[string]int
	busy int
	all  Faulted
}

// Faulted counts what a Box did.
type Faulted struct{ Requests, Ran, Failed, Refused, Reset, Cut, Hung int }

// NewBox returns a Box.
func NewBox(o BoxOptions) *Box {
	return &Box{options: o, rng: rand.New(rand.NewPCG(o.Seed, 17)), ran: map[string]int{}}
}

// Ran is how often it ran each request, by id.
func (b *Box) Ran() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.ran))
	for id, n := range b.ran {
		out[id] = n
	}
	return out
}

// Counts is what it did so far.
func (b *Box) Counts() Faulted {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all
}

// verdict is what becomes of a request.
type verdict int

const (
	serve verdict = iota
	fail
	refuse
	reset
	cut
	hang
)

// decide draws what becomes of a request, counts it, and tells how long it takes.
func (b *Box) decide(id string) (verdict, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all.Requests++
	took := time.Duration((0.5 + b.rng.Float64()) * float64(b.options.Service))
	v, x, f := serve, b.rng.Float64(), b.options.Faults
	for i, share := range []float64{f.Fail, f.Refuse, f.Reset, f.Cut, f.Hang} {
		if x < share {
			v = verdict(i + 1)
			break
		}
		x -= share
	}
	if b.options.Room > 0 && b.busy >= b.options.Room {
		v = refuse
	}
	if v == refuse {
		b.all.Refused++
		return v, 0
	}
	b.busy++
	b.ran[id]++
	b.all.Ran++
	switch v {
	case fail:
		b.all.Failed++
	case reset:
		b.all.Reset++
	case cut:
		b.all.Cut++
	case hang:
		b.all.Hung++
	}
	return v, took
}

// Serve answers a request that was read complete; it is a Then.
func (b *Box) Serve(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("X-Request-Id")
	v, took := b.decide(id)
	if v == refuse {
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
	switch v {
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
		io.Copy(io.Discard, c) // until the client gives up
		return false
	default:
		return Reply200(c, text)
	}
	return err == nil
}

// Name is what it is called.
func (b *Box) Name() string { return b.options.Name }
