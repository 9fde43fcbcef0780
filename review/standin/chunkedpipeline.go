package main

import (
	"fmt"
	"time"
)

// chunkedPipeline: a client sends commands at once, the first of them in chunks. Each gets a final answer.
func chunkedPipeline(w *world) error {
	const (
		deadline = 4 * time.Second
		service  = 300 * time.Millisecond
		views    = 3 // behind the note
	)
	f, err := w.startFleet(serveAfter(service), nodeOptions{})
	if err != nil {
		return err
	}
	note := fmt.Sprintf("POST /add-note/k HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na note\r\n0\r\n\r\n", requestID(0), seconds(deadline))
	texts := []string{note}
	for i := range views {
		texts = append(texts, requestText("view-interval", requestID(i+1), deadline, ""))
	}
	var finals []final
	unread := int64(0)
	if w.trouble {
		c, err := dial(f.node.address)
		if err != nil {
			return err
		}
		defer c.Close()
		all := ""
		for _, text := range texts {
			all += text
		}
		if err := c.write(all); err != nil {
			return err
		}
		sent := time.Now()
		w.logf("client: a note in chunks and %d views written at once on one connection", views)
		time.Sleep(service / 2)
		unread = unreadByNode(c)
		w.logf("the node has left %d bytes of the connection unread", unread)
		for i := range texts {
			finals = append(finals, w.awaitFinal(c, requestID(i), sent, deadline+2*time.Second))
		}
	} else {
		for i, text := range texts {
			finals = append(finals, w.sendAlone(f.node.address, requestID(i), text, deadline+2*time.Second))
		}
	}
	for _, got := range finals {
		if got.err != nil && unread == 0 {
			w.violate("%s was read by the node and never got a final answer: %v", got.id, got.err)
		}
	}
	return nil
}
