package http1

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"damsontrestle/internal/validation"
)

// How slowly a client may send a body: it may be behind the least rate by the grace, counted from its request's
// first byte, as far as it was waited for.
const (
	bodyGrace      = headTimeout
	minBodyRate    = 32 << 10 // bytes a second
	firstPartSize  = 16 << 10 // of a body that passes through, read before its request goes on
	discardTimeout = 3 * time.Second
)

// minRateBody reads a request's body, no slower than at the least rate.
type minRateBody struct {
	body     io.Reader
	control  *http.ResponseController
	grace    time.Duration
	elapsed  time.Duration
	received int64
}

func (b *minRateBody) Read(p []byte) (int, error) {
	begin := time.Now()
	b.control.SetReadDeadline(begin.Add(b.grace + time.Duration(b.received)*time.Second/minBodyRate - b.elapsed))
	n, err := b.body.Read(p)
	b.elapsed += time.Since(begin)
	if b.received += int64(n); b.received > validation.MaxStreamedBody {
		return n, errBodyTooLong
	}
	if err == io.EOF {
		b.control.SetReadDeadline(time.Time{}) // else net/http would wait without end for what it wants to throw away
	}
	return n, err
}

// bodyRest is the rest of a body that passes through: the back end reads it while its client sends.
type bodyRest struct {
	body   *minRateBody
	failed chan struct{} // closed when the caller has ended or left it before its end

	mu       sync.Mutex // held while reading
	complete bool
	stopped  bool // nobody reads any more
	err      error
}

var errRequestEnded = errors.New("the request is over")

// errBodyTooLong ends a body that is longer than one that passes through may be.
var errBodyTooLong = errors.New("the body is too long")

// reader returns the rest as a reader, or nil if there is none.
func (u *bodyRest) reader() io.Reader {
	if u == nil {
		return nil
	}
	return u
}

// Read implements io.Reader.
func (u *bodyRest) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return 0, errRequestEnded
	}
	return u.read(p)
}

func (u *bodyRest) read(p []byte) (int, error) {
	if u.err != nil {
		return 0, u.err
	}
	n, err := u.body.Read(p)
	if err != nil {
		u.err, u.complete = err, err == io.EOF
		if !u.complete {
			close(u.failed)
		}
	}
	return n, err
}

// end has nobody read any more, and tells whether all had come. Who waits for bytes now does no longer, and the
// connection is of no further use then.
func (u *bodyRest) stop() (complete bool) {
	free := u.mu.TryLock()
	if !free {
		u.body.control.SetReadDeadline(time.Unix(1, 0))
		u.mu.Lock()
	}
	defer u.mu.Unlock()
	u.stopped = true
	return u.complete && free
}

// discard reads on for a while and throws away what comes: a connection that closed at once would be reset, and its
// client, which still sends, could miss the response.
func (u *bodyRest) discard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.body.control.SetReadDeadline(time.Now().Add(discardTimeout))
	io.CopyN(io.Discard, u.body.body, minBodyRate*8)
}

// readBody reads a body that is kept complete, or the first part of one that passes through, with the rest. The
// error says that it was not complete, or too slow.
func (f *Front) readBody(rc *http.ResponseController, r *http.Request) (part []byte, rest *bodyRest, err error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	begun := connOf(r.Context()).requestStartTime()
	body := &minRateBody{body: r.Body, control: rc, grace: f.bodyGrace, elapsed: time.Since(begun)}
	most := int64(validation.MaxBufferedBody)
	if r.ContentLength > most {
		most = firstPartSize
	}
	part, err = io.ReadAll(io.LimitReader(body, most+1))
	if err != nil || int64(len(part)) <= most {
		return part, nil, err
	}
	return part, &bodyRest{body: body, failed: make(chan struct{})}, nil
}
