package peering

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link is a connection to one incarnation of a gateway. Its methods are safe for concurrent use.
type Link struct {
	// Peer is the gateway at the other end, as in its hello.
	Peer Peer

	hub    *Hub
	conn   net.Conn
	dialed bool         // this side dialed and therefore sends heartbeats
	reader *frameReader // used by the reader goroutine only
	writer *frameWriter // used by the writer goroutine only
	done   chan struct{}

	// Hub times, in ns.
	answeredHeartbeat atomic.Int64 // when the last heartbeat was sent that the peer has echoed
	lastHeartbeat     atomic.Int64 // when the peer's last heartbeat was received
	peerStamp         atomic.Int64 // SentAt of that heartbeat
	rtt               atomic.Int64 // smoothed, in ns; 0: not measured yet

	// Used by the writer goroutine only.
	lastHeartbeatDue time.Duration // hub time of the last heartbeat that was due
	pausedUntil      time.Duration // hub time of the last heartbeat that was late by more than another interval

	queued chan struct{} // holds a value if the queue may not be empty

	mu          sync.Mutex
	queue       [][]byte               // encoded frames
	queuedBytes int                    // size of queue, including frameOverhead for each frame
	pending     map[uint64]func(frame) // onReply callbacks of requests, by number
	lastNumber  uint64                 // number of the last request
	err         error                  // why the link ended; nil: it is up
}

func newLink(hub *Hub, conn net.Conn, dialed bool, s *session) *Link {
	l := &Link{
		Peer:    s.peer,
		hub:     hub,
		conn:    conn,
		dialed:  dialed,
		reader:  s.reader,
		writer:  s.writer,
		done:    make(chan struct{}),
		queued:  make(chan struct{}, 1),
		pending: map[uint64]func(frame){},
	}
	now := int64(hub.now())
	l.answeredHeartbeat.Store(now)
	l.lastHeartbeat.Store(now)
	return l
}

// Done returns a channel that is closed once the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Err returns why the link ended, or nil if it is up.
func (l *Link) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// RTT returns the smoothed round-trip time of heartbeats, or 0 if it has not been measured yet.
func (l *Link) RTT() time.Duration { return time.Duration(l.rtt.Load()) }

// SinceHeartbeat returns the time since the peer's last heartbeat. If it exceeds Options.HeartbeatInterval, the peer is late, stopped
// or partitioned.
func (l *Link) SinceHeartbeat() time.Duration {
	return l.hub.now() - time.Duration(l.lastHeartbeat.Load())
}

// fail ends the link with an error. Later calls only close the connection again.
func (l *Link) fail(err error) {
	l.mu.Lock()
	var unanswered map[uint64]func(frame)
	if l.err == nil {
		l.err = err
		unanswered = l.pending
		l.pending = nil
		close(l.done)
	}
	l.mu.Unlock()
	l.conn.Close()
	for _, onReply := range unanswered {
		onReply(frame{})
	}
}

// readLoop reads and handles frames until the link ends, and returns why.
func (l *Link) readLoop() error {
	for {
		body, err := l.reader.next()
		if err != nil {
			return err
		}
		var f frame
		if err := Decode(body, &f); err != nil {
			return err
		}
		if err := l.handle(f); err != nil {
			return err
		}
	}
}

// handle handles a frame. An error ends the link.
func (l *Link) handle(f frame) error {
	switch f.Kind {
	case frameHeartbeat, frameHeartbeatReply:
		return l.handleHeartbeat(f)
	case frameNotify, frameRequest:
		return l.handleMessage(f)
	case frameReply, frameReject:
		l.handleReply(f)
		return nil
	default:
		return fmt.Errorf("%w: unknown kind %d", ErrMalformedFrame, f.Kind)
	}
}

func (l *Link) handleHeartbeat(f frame) error {
	var hb heartbeat
	if err := decoding.Unmarshal(f.Body, &hb); err != nil {
		return fmt.Errorf("%w: decoding heartbeat: %w", ErrMalformedFrame, err)
	}
	if isEcho := f.Kind == frameHeartbeatReply; isEcho != l.dialed {
		return fmt.Errorf("%w: heartbeat kind does not match the side that dialed", ErrMalformedFrame)
	}
	return l.receiveHeartbeat(hb)
}

// handleMessage calls the handler of a topic. Notifications of an unknown topic are ignored, as a later version may send them.
func (l *Link) handleMessage(f frame) error {
	handler := l.hub.options.Topics[f.Topic]
	switch {
	case f.Kind == frameNotify && handler == nil:
	case f.Kind == frameNotify:
		handler(l, f.Body, nil)
	case handler == nil:
		return l.sendReply(f.Number, nil, fmt.Errorf("topic %q is not known here", f.Topic))
	default:
		handler(l, f.Body, func(answer any, err error) {
			if err := l.sendReply(f.Number, answer, err); err != nil {
				l.fail(err)
			}
		})
	}
	return nil
}

// handleReply passes a reply to its request. It ignores replies to cancelled requests.
func (l *Link) handleReply(f frame) {
	l.mu.Lock()
	onReply := l.pending[f.Number]
	delete(l.pending, f.Number)
	l.mu.Unlock()
	if onReply != nil {
		onReply(f)
	}
}

// writeLoop writes queued frames and heartbeats until the link ends.
func (l *Link) writeLoop() {
	ticker := time.NewTicker(l.hub.options.HeartbeatInterval)
	defer ticker.Stop()
	l.lastHeartbeatDue = l.hub.now()
	for {
		var err error
		if body := l.dequeue(); body != nil {
			err = l.writeQueued(ticker, body)
		} else {
			select {
			case <-l.done:
				return
			case <-l.queued:
			case <-ticker.C:
				err = l.sendHeartbeat()
			}
		}
		if err != nil {
			l.fail(err)
			return
		}
	}
}

// writeQueued writes a queued frame. If a heartbeat is due, it is sent first, so that it does not wait for the queue to drain.
func (l *Link) writeQueued(ticker *time.Ticker, body []byte) error {
	select {
	case <-ticker.C:
		if err := l.sendHeartbeat(); err != nil {
			return err
		}
	default:
	}
	return l.writeFrame(body)
}

// writeFrame writes a frame. It returns ErrWriteTimeout if the write takes longer than Options.WriteTimeout.
func (l *Link) writeFrame(body []byte) error {
	l.conn.SetWriteDeadline(time.Now().Add(l.hub.options.WriteTimeout))
	err := l.writer.write(body)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return fmt.Errorf("%w after %v", ErrWriteTimeout, l.hub.options.WriteTimeout)
	}
	return err
}
