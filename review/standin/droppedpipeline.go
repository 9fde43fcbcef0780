package main

import (
	"strings"
	"time"
)

// droppedPipeline: a client sends many notes at once on one connection. Each gets a final answer.
func droppedPipeline(w *world) error {
	const (
		commands = 24
		size     = 6 << 10 // of a note; bodies may have 64 KiB
		deadline = 4 * time.Second
		service  = 50 * time.Millisecond
	)
	f, err := w.startFleet(serveAfter(service), nodeOptions{})
	if err != nil {
		return err
	}
	note := strings.Repeat("n", size)
	c, err := dial(f.node.address)
	if err != nil {
		return err
	}
	defer func() { c.Close() }()
	var finals []final
	unread := int64(0)
	if w.trouble {
		text := ""
		for i := range commands {
			text += requestText("add-note", requestID(i), deadline, note)
		}
		if err := c.write(text); err != nil {
			return err
		}
		sent := time.Now()
		w.logf("client: %d notes of %d bytes written at once on one connection, X-Deadline %v", commands, size, deadline)
		time.Sleep(3 * service)
		unread = unreadByNode(c)
		w.logf("the node has left %d bytes of the connection unread", unread)
		for i := range commands {
			finals = append(finals, w.awaitFinal(c, requestID(i), sent, deadline+2*time.Second))
		}
	} else {
		for i := range commands {
			if err := c.write(requestText("add-note", requestID(i), deadline, note)); err != nil {
				return err
			}
			finals = append(finals, w.awaitFinal(c, requestID(i), time.Now(), deadline+2*time.Second))
		}
	}
	for _, got := range finals {
		if got.err != nil && unread == 0 {
			w.violate("%s was read by the node and never got a final answer: %v", got.id, got.err)
		}
	}
	return nil
}
