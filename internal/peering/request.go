package peering

import (
	"context"
	"errors"
	"fmt"
)

// Tell sends a message that asks nothing. No error says that it was queued, and no more.
func (l *Link) Tell(topic string, message any) error {
	body, err := encoding.Marshal(message)
	if err != nil {
		return fmt.Errorf("peering: %s: %w", topic, err)
	}
	return l.enqueue(frame{Kind: frameNotify, Topic: topic, Body: body})
}

// PendingRequest is a question that is under way.
type PendingRequest struct {
	link   *Link
	number uint64
	answer chan frame
}

// startRequest sends a question; told is called once with its answer, on the link's reader, or with the zero frame when the link ends.
func (l *Link) startRequest(topic string, question any, told func(frame)) (number uint64, err error) {
	body, err := encoding.Marshal(question)
	if err != nil {
		return 0, fmt.Errorf("peering: %s: %w", topic, err)
	}
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return 0, l.err
	}
	l.number++
	number = l.number
	l.pending[number] = told
	l.mu.Unlock()
	if err := l.enqueue(frame{Kind: frameRequest, Number: number, Topic: topic, Body: body}); err != nil {
		if l.cancelRequest(number) {
			return 0, err
		}
		return number, nil // the link has ended meanwhile, and that was told
	}
	return number, nil
}

// cancelRequest has an answer be told no more. false: it has been told, or is being told now.
func (l *Link) cancelRequest(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, was := l.pending[number]
	delete(l.pending, number)
	return was
}

// Request sends a question. It comes in its place among all that is sent over the link; Wait brings the answer.
func (l *Link) Request(topic string, question any) (*PendingRequest, error) {
	a := &PendingRequest{link: l, answer: make(chan frame, 1)}
	var err error
	if a.number, err = l.startRequest(topic, question, func(f frame) { a.answer <- f }); err != nil {
		return nil, err
	}
	return a, nil
}

// Wait waits for the answer until ctx or the link ends, and reads it into what answer points to. What the other side says
// instead is a RemoteError.
func (a *PendingRequest) Wait(ctx context.Context, answer any) error {
	select {
	case f := <-a.answer:
		return a.link.readReply(f, answer)
	case <-ctx.Done():
		a.link.cancelRequest(a.number)
		return ctx.Err()
	}
}

// RequestAsync sends a question as Ask does, and has told called once, on the link's reader or on whoever ends the link, with what
// reads the answer into what it is given; told must not block. forget has it not be called any more.
func (l *Link) RequestAsync(topic string, question any, told func(read func(answer any) error)) (forget func(), err error) {
	n, err := l.startRequest(topic, question, func(f frame) { told(func(answer any) error { return l.readReply(f, answer) }) })
	return func() { l.cancelRequest(n) }, err
}

// readReply reads the answer to a question.
func (l *Link) readReply(f frame, answer any) error {
	switch f.Kind {
	case frameReply:
		if err := decoding.Unmarshal(f.Body, answer); err != nil {
			return fmt.Errorf("%w: %w", ErrFrame, err)
		}
		return nil
	case frameReject:
		var words string
		if err := decoding.Unmarshal(f.Body, &words); err != nil {
			return fmt.Errorf("%w: %w", ErrFrame, err)
		}
		return &RemoteError{words}
	}
	return l.Err()
}

// Do asks and waits.
func (l *Link) Do(ctx context.Context, topic string, question, answer any) error {
	a, err := l.Request(topic, question)
	if err != nil {
		return err
	}
	return a.Wait(ctx, answer)
}

// sendReply queues an answer; that there is no room for it ends the link, or the other side would wait for nothing.
func (l *Link) sendReply(number uint64, answer any, refused error) error {
	f := frame{Kind: frameReply, Number: number}
	if refused != nil {
		f.Kind, answer = frameReject, refused.Error()
	}
	var err error
	if f.Body, err = encoding.Marshal(answer); err != nil {
		return fmt.Errorf("peering: an answer: %w", err)
	}
	if err := l.enqueue(f); errors.Is(err, ErrFull) {
		return ErrOverflow
	}
	return nil // a link that has ended has been told of
}
