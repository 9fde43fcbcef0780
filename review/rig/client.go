package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// slack is what the pages allow beyond a request's time: half a second, and the 50 ms by which each limit is longer on sockets.
const slack = 550 * time.Millisecond

// patience is how long clients of the review go on reading after a request's time, to see what comes then.
const patience = 4 * time.Second

var lastID atomic.Int64

// newID returns an id that no request had before.
func newID() string { return fmt.Sprintf("%016x", 0x1b1f03aa00000000+lastID.Add(1)) }

// request is a request of a client and what became of it.
type request struct {
	id, method, class string
	body              int
	want              string // the answer that a server makes for it
	deadline          time.Duration
	slow              bool      // its client writes slowly
	firstTaken        time.Time // its last byte was written for the first time; zero: once only
	taken             time.Time // its last byte was written; zero: it was not
	begun             time.Time // the first byte of its answer came; zero: none did
	answered          time.Time // the last byte of its answer came; zero: it did not
	status            int
	text              string
	last              bool  // the answer closes its connection
	err               error // that ended the connection before the answer
	ended             time.Time
}

func newRequest(method, class string, body int, deadline time.Duration) *request {
	id := newID()
	return &request{id: id, method: method, class: class, body: body, want: answerOf(id), deadline: deadline}
}

// String returns the request's text.
func (r *request) String() string {
	text := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %.3f\r\n", r.method, r.class, r.id[10:], r.id, r.deadline.Seconds())
	if r.method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", r.body)
	}
	return text + "\r\n" + bodyOf(r.id, r.body)
}

// bodyOf returns the body of a request: its id, again and again.
func bodyOf(id string, length int) string { return strings.Repeat(id, length/len(id)+1)[:length] }

// start returns when the request's time began.
func (r *request) start() time.Time {
	if !r.firstTaken.IsZero() {
		return r.firstTaken
	}
	return r.taken
}

// outcome tells what became of the request.
func (r *request) outcome() string {
	text := fmt.Sprintf("%s %s, body of %d, waits %v, written at %.3f", r.id, r.class, r.body, r.deadline, r.start().Sub(begun).Seconds())
	if r.answered.IsZero() {
		if !r.begun.IsZero() {
			text += fmt.Sprintf(": answer begun after %v", r.begun.Sub(r.start()))
		}
		return text + fmt.Sprintf(": no whole answer, connection ended after %v: %v", r.ended.Sub(r.start()), r.err)
	}
	return text + fmt.Sprintf(": %d after %v", r.status, r.answered.Sub(r.start()))
}

// broken says how the rule on lost requests was broken for the request, or "".
func (r *request) broken() string {
	limit := r.start().Add(r.deadline + slack)
	switch {
	case r.taken.IsZero():
		return "" // not taken
	case !r.answered.IsZero() && r.status == 200 && r.text != r.want:
		return "served with what no server made for it: " + r.outcome()
	case !r.answered.IsZero() && !r.answered.After(limit):
		return ""
	}
	return "lost: " + r.outcome()
}

// Pace of a client that writes slowly: 160 KB/s.
const (
	piece = 8000
	pause = 50 * time.Millisecond
)

// write writes the request: at once, or in pieces if its client writes slowly.
func (r *request) write(c net.Conn) error {
	text := r.String()
	for r.slow && len(text) > piece {
		if _, err := io.WriteString(c, text[:piece]); err != nil {
			return err
		}
		text = text[piece:]
		time.Sleep(pause)
	}
	_, err := io.WriteString(c, text)
	return err
}

// exchange sends requests at once on a new connection and reads their answers, in order.
func exchange(addr string, patience time.Duration, rs ...*request) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		for _, r := range rs {
			r.err, r.ended = err, time.Now()
		}
		return
	}
	defer c.Close()
	exchangeOn(c, patience, rs...)
}

// exchangeOn is exchange on an open connection. It reads until some time after the last request's deadline.
func exchangeOn(c net.Conn, patience time.Duration, rs ...*request) {
	var writing sync.WaitGroup
	writing.Go(func() {
		for _, r := range rs {
			if r.write(c) != nil {
				return
			}
			r.taken = time.Now()
		}
	})
	reader := bufio.NewReader(c)
	c.SetDeadline(time.Now().Add(rs[len(rs)-1].deadline + patience))
	for i, r := range rs {
		if _, err := reader.Peek(1); err == nil {
			r.begun = time.Now()
		}
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			r.status, r.text, r.last = resp.StatusCode, string(body), resp.Close
		}
		if err != nil {
			for _, r := range rs[i:] {
				r.err, r.ended = err, time.Now()
			}
			break
		}
		r.answered = time.Now()
	}
	c.SetWriteDeadline(time.Now()) // ends a write that nobody reads
	writing.Wait()
	c.SetDeadline(time.Time{})
}
