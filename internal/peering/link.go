package peering

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link is a stream to one incarnation of a gateway.
type Link struct {
	Peer Peer

	hub           *Hub
	conn          net.Conn
	reader        *frameReader
	out           *frameWriter
	queued        chan struct{} // takes a word when the queue is no longer empty
	dialed        bool          // this side opened it, and beats
	answeredPulse atomic.Int64  // ns of the hub's time when the pulse was sent that was answered last
	lastPulse     atomic.Int64  // ns of the hub's time when the other side's pulse came last, and
	peerStamp     atomic.Int64  // its At
	rtt           atomic.Int64  // ns
	done          chan struct{}

	lastBeat, pausedUntil time.Duration // hub's time of the last heartbeat, and of the last one that was late by more than another; the writer's

	mu          sync.Mutex
	frames      [][]byte               // that wait to be written
	queuedBytes int                    // bytes of them
	pending     map[uint64]func(frame) // by the number of the question; the zero frame says that the link has ended
	number      uint64
	err         error
}

// Done is closed once the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Err is why it ended; nil: it has not.
func (l *Link) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// RTT is how long heartbeats took there and back, about; 0: none has yet.
func (l *Link) RTT() time.Duration { return time.Duration(l.rtt.Load()) }

// Quiet is how long ago the other side's last heartbeat came: more than a beat says that it is late, stopped or cut off.
func (l *Link) Quiet() time.Duration { return l.hub.now() - time.Duration(l.lastPulse.Load()) }

// fail ends the link for a reason; the first one counts.
func (l *Link) fail(why error) {
	l.mu.Lock()
	var left map[uint64]func(frame)
	if l.err == nil {
		l.err, left, l.pending = why, l.pending, nil
		close(l.done)
	}
	l.mu.Unlock()
	l.conn.Close()
	for _, told := range left {
		told(frame{})
	}
}

// readLoop takes one frame after another until the link ends.
func (l *Link) readLoop() error {
	for {
		text, err := l.reader.next()
		if err != nil {
			return err
		}
		var f frame
		if err := decoding.Unmarshal(text, &f); err != nil {
			return fmt.Errorf("%w: %w", ErrFrame, err)
		}
		if err := l.handle(f); err != nil {
			return err
		}
	}
}

// handle does what a frame asks for.
func (l *Link) handle(f frame) error {
	switch f.Kind {
	case frameBeat, frameEcho:
		var p pulse
		if err := decoding.Unmarshal(f.Body, &p); err != nil {
			return fmt.Errorf("%w: a heartbeat: %w", ErrFrame, err)
		}
		if (f.Kind == frameEcho) != l.dialed {
			return fmt.Errorf("%w: a heartbeat of the wrong side", ErrFrame)
		}
		return l.receivePulse(p)
	case frameNotify, frameRequest:
		handle := l.hub.options.Topics[f.Topic]
		if handle == nil {
			if f.Kind == frameRequest {
				return l.sendReply(f.Number, nil, fmt.Errorf("topic %q is not known here", f.Topic))
			}
			return nil // of a later version
		}
		if f.Kind == frameNotify {
			handle(l, f.Body, nil)
			return nil
		}
		handle(l, f.Body, func(answer any, err error) {
			if err := l.sendReply(f.Number, answer, err); err != nil {
				l.fail(err)
			}
		})
	case frameReply, frameReject:
		l.mu.Lock()
		to := l.pending[f.Number]
		delete(l.pending, f.Number)
		l.mu.Unlock()
		if to != nil {
			to(f)
		}
	default:
		return fmt.Errorf("%w: kind %d", ErrFrame, f.Kind)
	}
	return nil
}

// writeLoop sends what is queued, and heartbeats, until the link ends.
func (l *Link) writeLoop() {
	tick := time.NewTicker(l.hub.options.Beat)
	defer tick.Stop()
	l.lastBeat = l.hub.now()
	for {
		text := l.dequeue()
		var err error
		if text != nil {
			select { // a heartbeat does not wait until the queue is empty
			case <-tick.C:
				err = l.sendBeat()
			default:
			}
		} else {
			select {
			case <-l.done:
				return
			case <-l.queued:
			case <-tick.C:
				err = l.sendBeat()
			}
		}
		if err == nil && text != nil {
			err = l.writeFrame(text)
		}
		if err != nil {
			l.fail(err)
			return
		}
	}
}

// writeFrame writes a frame.
func (l *Link) writeFrame(text []byte) error {
	l.conn.SetWriteDeadline(time.Now().Add(l.hub.options.Stuck))
	err := l.out.write(text)
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return fmt.Errorf("%w (%v)", ErrStuck, l.hub.options.Stuck)
	}
	return err
}
