package peering

import (
	"context"
	"errors"
	"fmt"
)

// Notify sends a notification. A nil error says that it was queued, and no more.
func (l *Link) Notify(topic string, message any) error {
	body, err := encoding.Marshal(message)
	if err != nil {
		return fmt.Errorf("peering: %s: %w", topic, err)
	}
	return l.enqueue(frame{Kind: frameNotify, Topic: topic, Body: body})
}

// PendingRequest is a request whose reply has not been read yet.
type PendingRequest struct {
	link   *Link
	number uint64
	reply  chan frame
}

// startRequest sends a request. onReply is called once: with the reply on the link's reader, or with the zero frame when the
// link ends.
func (l *Link) startRequest(topic string, request any, onReply func(frame)) (number uint64, err error) {
	body, err := encoding.Marshal(request)
	if err != nil {
		return 0, fmt.Errorf("peering: %s: %w", topic, err)
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
	return number, nil // after an error the link has ended, and onReply was called
}

// cancelRequest has onReply of a request not be called any more; false: it was called, or is being called now.
func (l *Link) cancelRequest(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, pending := l.pending[number]
	delete(l.pending, number)
	return pending
}

// Request sends a request. Messages on one link arrive in the order in which they were sent. Wait returns the reply.
func (l *Link) Request(topic string, request any) (*PendingRequest, error) {
	r := &PendingRequest{link: l, reply: make(chan frame, 1)}
	var err error
	r.number, err = l.startRequest(topic, request, func(f frame) { r.reply <- f })
	if err != nil {
		return nil, err
	}
	return r, nil
}

// Wait waits for the reply until ctx or the link ends, and reads it into what answer points to. An error of the other side's
// handler is a RemoteError.
func (r *PendingRequest) Wait(ctx context.Context, reply any) error {
	select {
	case f := <-r.reply:
		return r.link.readReply(f, reply)
	case <-ctx.Done():
		r.link.cancelRequest(r.number)
		return ctx.Err()
	}
}

// RequestAsync sends a request as Request does. onReply is called once, on the link's reader or on the goroutine that ends the
// link, with a function that reads the reply into what its argument points to; it must not block. cancel has it not be
// called any more.
func (l *Link) RequestAsync(topic string, request any, onReply func(read func(answer any) error)) (cancel func(), err error) {
	number, err := l.startRequest(topic, request, func(f frame) {
		onReply(func(answer any) error { return l.readReply(f, answer) })
	})
	return func() { l.cancelRequest(number) }, err
}

// readReply reads a reply. It returns a RemoteError for a rejection, and the link's error for the zero frame.
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

// sendReply queues the reply to a request, or a rejection. If there is no room for it, it returns ErrOverflow, which ends the
// link: the other side would wait for nothing.
func (l *Link) sendReply(number uint64, reply any, rejection error) error {
	f := frame{Kind: frameReply, Number: number}
	if rejection != nil {
		f.Kind = frameReject
		reply = rejection.Error()
	}
	body, err := encoding.Marshal(reply)
	if err != nil {
		return fmt.Errorf("peering: a reply: %w", err)
	}
	f.Body = body
	if err := l.enqueue(f); errors.Is(err, ErrQueueFull) {
		return ErrOverflow
	}
	return nil // any other error means that the link has ended
}
