package faultbench

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/link"
)

// longReplyBytes is longer than any reply that a node buffers before it responds.
const longReplyBytes = 80 << 10

// maxStop is how long a server that has stopped within a reply waits for the node to close the connection: longer than any deadline.
const maxStop = 5 * time.Second

// noise is input that no HTTP parser takes for a reply.
const noise = "\x00\xfe noise behind a reply\r\n\r\n"

// spoiler is how the faults at a server change one reply.
type spoiler struct {
	padded    bool
	truncated bool
	stopped   bool       // behind the head
	slow      *slowReply // nil: it is sent at once
	late      []lateInput
}

// lateInput is sent behind a reply, after a gap.
type lateInput struct {
	gap    time.Duration
	repeat bool // the reply once more; otherwise noise
}

// drawSpoiler draws how the active faults change the next reply.
func (h *host) drawSpoiler() (s spoiler) {
	random := h.fleet.random
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ft := range h.spoiling {
		if ft.Kind == experiment.SlowReads || !random.Occurs(ft.Share) {
			continue
		}
		switch ft.Kind {
		case experiment.Truncate:
			s.truncated = true
		case experiment.LongReplies:
			s.padded = true
		case experiment.StopInReply:
			s.padded, s.stopped = true, true
		case experiment.SlowReplies:
			s.slow = drawSlowReply(random, ft.Bandwidth)
		case experiment.Repeat, experiment.Noise:
			s.late = append(s.late, lateInput{ft.Delay + random.DurationUpTo(ft.Jitter), ft.Kind == experiment.Repeat})
		}
	}
	return s
}

// respondSpoiled sends the reply of a served request as the active faults change it, and reports whether the connection can be
// reused. What is sent behind the reply is counted by late until it is out.
func (h *host) respondSpoiled(conn *link.Conn, attempt *audit.Attempt, headers, body string, late *sync.WaitGroup) bool {
	s := h.drawSpoiler()
	if s.padded {
		body = strings.Repeat("p", longReplyBytes) + " " + body
	}
	text := replyText("200 OK", headers, body)
	if s.stopped {
		head, _, _ := strings.Cut(text, "\r\n\r\n")
		conn.Send([]byte(head+"\r\n\r\n"), nil)
		select {
		case <-conn.CloseDelivered():
			h.fleet.audit.RecordEnd(attempt, h.fleet.runTime(conn.NearClosedAt()), "reply stopped behind its head")
		case <-time.After(maxStop): // the run has ended
		}
		return false
	}
	if s.slow != nil {
		late.Wait() // what belongs behind an earlier reply must not come within this one
		return h.sendSlowly(conn, attempt, s.slow, headers, body)
	}
	if s.truncated {
		late.Wait() // nothing may be sent once the connection is closed
		conn.Send([]byte(text[:len(text)/2]), nil)
		conn.Close()
		<-conn.CloseDelivered()
		h.fleet.audit.RecordEnd(attempt, h.fleet.runTime(conn.NearClosedAt()), "reply was truncated")
		return false
	}
	return h.deliver(conn, attempt, text, "served", func() {
		for _, input := range s.late {
			late.Go(func() { sendLate(conn, input, text) })
		}
	})
}

// sendLate sends what comes behind the reply with the given text.
func sendLate(conn *link.Conn, input lateInput, text string) {
	time.Sleep(input.gap)
	if !input.repeat {
		text = noise
	}
	conn.Send([]byte(text), nil)
}

// replyText returns a reply with its length.
func replyText(status, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}
