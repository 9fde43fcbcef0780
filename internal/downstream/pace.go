package downstream

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of work that serves no request, in bytes of input: health checks, refused requests, the framing of tiny chunks. A connection may
// cause some of it at any time; beyond that all such connections share a rate, so that they leave the processor to the others.
const (
	paceBurst = 64 << 10    // of a connection
	paceFree  = 32 << 10    // of a connection, a second
	paceTotal = 1 << 20     // of all connections beyond that, a second
	maxPause  = time.Second // after which the number of connections is looked at again
)

// Pacer divides a rate of work among the connections that exceed theirs. Its zero value is ready to use.
type Pacer struct {
	pausing atomic.Int64 // connections in a pause
}

// Pace is the allowance of one connection. Its methods are called by one goroutine at a time.
type Pace struct {
	pacer   *Pacer
	limiter *rate.Limiter
}

// NewPace returns the allowance of a new connection.
func (p *Pacer) NewPace() *Pace {
	return &Pace{pacer: p, limiter: rate.NewLimiter(paceFree, paceBurst)}
}

// Spend takes a number of bytes from the allowance. If there is too little, it pauses, at most until done is closed; nil: never. The pause
// also lets the runtime look for input of other connections, which it does not while goroutines are ready to run.
func (p *Pace) Spend(bytes int, done <-chan struct{}) {
	if bytes <= 0 || p.limiter.AllowN(time.Now(), bytes) {
		return
	}
	p.pacer.pausing.Add(1)
	defer p.pacer.pausing.Add(-1)
	for bytes > 0 {
		pausing := p.pacer.pausing.Load()
		step := min(bytes, max(1, int(paceTotal*int64(maxPause)/int64(time.Second)/pausing)))
		if !sleepUntil(time.Duration(step)*time.Duration(pausing)*time.Second/paceTotal, done) {
			return
		}
		bytes -= step
	}
}

// sleepUntil pauses for a time, and reports whether done was not closed meanwhile.
func sleepUntil(pause time.Duration, done <-chan struct{}) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
