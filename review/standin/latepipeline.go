package main

import (
	"sync"
	"time"
)

// latePipeline: a client sends many commands at once on one connection. Each has its final answer in the time of its client.
func latePipeline(w *world) error {
	const (
		commands = 16
		deadline = 2 * time.Second        // half of the time after which a view is given up
		service  = 300 * time.Millisecond // of a sound server
	)
	f, err := w.startFleet(serveAfter(service), nodeOptions{})
	if err != nil {
		return err
	}
	var finals []final
	if w.trouble {
		c, err := dial(f.node.address)
		if err != nil {
			return err
		}
		defer c.Close()
		text := ""
		for i := range commands {
			text += requestText("view-interval", requestID(i), deadline, "")
		}
		if err := c.write(text); err != nil {
			return err
		}
		sent := time.Now()
		w.logf("client: %d views written at once on one connection, X-Deadline %v", commands, deadline)
		for i := range commands {
			finals = append(finals, w.awaitFinal(c, requestID(i), sent, 20*time.Second))
		}
		w.reportLateAttempts(f.servers, sent.Add(deadline))
	} else {
		var mu sync.Mutex
		var clients sync.WaitGroup
		for i := range commands {
			clients.Go(func() {
				got := w.sendAlone(f.node.address, requestID(i), requestText("view-interval", requestID(i), deadline, ""), 20*time.Second)
				mu.Lock()
				defer mu.Unlock()
				finals = append(finals, got)
			})
		}
		clients.Wait()
	}
	for _, got := range finals {
		switch {
		case got.err != nil:
			w.violate("%s never got a final answer: %v", got.id, got.err)
		case got.after > deadline+answerSlack:
			w.violate("%s: its client waits for %v, and it was %s after %.3f s", got.id, deadline, got.kind, got.after.Seconds())
		}
	}
	return nil
}

// reportLateAttempts records the attempts that began after the time of their client was over. The rule is not judged by them.
func (w *world) reportLateAttempts(servers []*server, over time.Time) {
	for _, a := range all(servers) {
		if late := a.at.Sub(over); late > 0 {
			w.logf("beside the rule: %s was sent to %s %.3f s after the time of its client, and was told X-Deadline %s", a.id, a.server, late.Seconds(), a.deadline)
		}
	}
}
