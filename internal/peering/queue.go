package peering

import "fmt"

// enqueue queues a frame.
func (l *Link) enqueue(f frame) error {
	text, err := encoding.Marshal(f)
	if err != nil {
		return fmt.Errorf("peering: %w", err)
	}
	if len(text) > MaxFrame {
		return fmt.Errorf("%w: %d bytes; allowed: %d", ErrFrame, len(text), MaxFrame)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	if l.queuedBytes+len(text)+frameOverhead > l.hub.options.Queue {
		l.hub.queueFull.Add(1)
		return ErrFull
	}
	l.queuedBytes += len(text) + frameOverhead
	l.frames = append(l.frames, text)
	select {
	case l.queued <- struct{}{}:
	default:
	}
	return nil
}

// dequeue takes a frame from the queue; nil: it is empty.
func (l *Link) dequeue() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.frames) == 0 {
		l.frames = nil
		return nil
	}
	text := l.frames[0]
	l.frames[0] = nil
	l.frames = l.frames[1:]
	l.queuedBytes -= len(text) + frameOverhead
	return text
}
