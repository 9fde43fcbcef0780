package peering

import (
	"context"
	"errors"
	"fmt"
)

// Notify queues a notification. A nil error does not mean that it was delivered.
func (l *Link) Notify(topic string, message any) error {
	body, err := encoding.Marshal(message)
	if err != nil {
		return fmt.Errorf("peering: encoding notification of topic %s: %w", topic, err)
	}
	return l.enqueue(frame{Kind: frameNotify, Topic: topic, Body: body})
}

// PendingRequest is a request whose reply may not have arrived yet.
type PendingRequest struct {
	link   *Link
	number uint64
	reply  chan frame
}

// startRequest queues a request. onReply is called once: with the reply by the link's reader goroutine, or with the zero frame when
// the link ends.
func (l *Link) startRequest(topic string, request any, onReply func(frame)) (number uint64, err error) {
	body, err := encoding.Marshal(request)
	if err != nil {
		return 0, fmt.Errorf("peering: encoding request of topic %s: %w", topic, err)
	}
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return 0, l.err
	}
	l.lastNumber++
	number = l.lastNumber
	l.pending[number] = onReply
	l.mu.Unlock()
	err = l.enqueue(frame{Kind: frameRequest, Number: number, Topic: topic, Body: body})
	if err != nil && l.cancelRequest(number) {
		return 0, err
	}
	return number, nil // if err is not nil here, the link has ended and onReply was called
}

// cancelRequest prevents the call of a request's onReply. It returns false if onReply was called already or is being called.
func (l *Link) cancelRequest(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, pending := l.pending[number]
	delete(l.pending, number)
	return pending
}

// Request queues a request. Messages on one link arrive in the order in which they were queued. Wait waits for the reply.
func (l *Link) Request(topic string, request any) (*PendingRequest, error) {
	r := &PendingRequest{link: l, reply: make(chan frame, 1)}
	var err error
	r.number, err = l.startRequest(topic, request, func(f frame) { r.reply <- f })
	if err != nil {
		return nil, err
	}
	return r, nil
}

// Wait waits for the reply until ctx or the link ends, and decodes it into the value that reply points to. An error of the peer's
// handler is returned as a RemoteError.
func (r *PendingRequest) Wait(ctx context.Context, reply any) error {
	select {
	case f := <-r.reply:
		return r.link.readReply(f, reply)
	case <-ctx.Done():
		r.link.cancelRequest(r.number)
		return ctx.Err()
	}
}

// RequestAsync queues a request as Request does. onReply is called once, by the link's reader goroutine or by the goroutine that ends
// the link, and must not block. Its argument decodes the reply into the value that reply points to. cancel prevents the call of
// onReply if it has not started.
func (l *Link) RequestAsync(topic string, request any, onReply func(read func(reply any) error)) (cancel func(), err error) {
	number, err := l.startRequest(topic, request, func(f frame) {
		onReply(func(reply any) error { return l.readReply(f, reply) })
	})
	return func() { l.cancelRequest(number) }, err
}

// readReply decodes a reply. It returns a RemoteError for a rejection, and the link's error for the zero frame.
func (l *Link) readReply(f frame, reply any) error {
	switch f.Kind {
	case frameReply:
		return Decode(f.Body, reply)
	case frameReject:
		var message string
		if err := Decode(f.Body, &message); err != nil {
			return err
		}
		return &RemoteError{message}
	default:
		return l.Err()
	}
}

// Do sends a request and waits for its reply.
func (l *Link) Do(ctx context.Context, topic string, request, reply any) error {
	r, err := l.Request(topic, request)
	if err != nil {
		return err
	}
	return r.Wait(ctx, reply)
}

// sendReply queues the reply to a request, or a rejection. It returns ErrOverflow if the reply does not fit into the queue. That ends
// the link, as the peer would otherwise wait for a reply that never comes.
func (l *Link) sendReply(number uint64, reply any, rejection error) error {
	f := frame{Kind: frameReply, Number: number}
	if rejection != nil {
		f.Kind = frameReject
		reply = rejection.Error()
	}
	body, err := encoding.Marshal(reply)
	if err != nil {
		return fmt.Errorf("peering: encoding reply: %w", err)
	}
	f.Body = body
	if err := l.enqueue(f); errors.Is(err, ErrQueueFull) {
		return ErrOverflow
	}
	return nil // any other error means that the link has ended
}
