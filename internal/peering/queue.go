package peering

import "fmt"

// frameOverhead is added to the size of each queued frame, in bytes.
const frameOverhead = 64

// enqueue queues a frame for the link's writer. It returns ErrQueueFull if the frame does not fit, ErrMalformedFrame if it exceeds
// MaxFrame, and the link's error if the link has ended.
func (l *Link) enqueue(f frame) error {
	body, err := encoding.Marshal(f)
	if err != nil {
		return fmt.Errorf("peering: encoding frame: %w", err)
	}
	if len(body) > MaxFrame {
		return fmt.Errorf("%w: %d bytes, limit is %d", ErrMalformedFrame, len(body), MaxFrame)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	size := len(body) + frameOverhead
	if l.queuedBytes+size > l.hub.options.MaxQueueBytes {
		l.hub.queueFull.Add(1)
		return ErrQueueFull
	}
	l.queuedBytes += size
	l.queue = append(l.queue, body)
	select {
	case l.queued <- struct{}{}:
	default:
	}
	return nil
}

// dequeue removes and returns the first frame of the queue, or nil if it is empty.
func (l *Link) dequeue() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		l.queue = nil
		return nil
	}
	body := l.queue[0]
	l.queue[0] = nil
	l.queue = l.queue[1:]
	l.queuedBytes -= len(body) + frameOverhead
	return body
}
