package federation

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Call is what a client asks for.
type Call struct {
	ID      string // of this asking
	First   string // by which the auditor knows it; empty: Of, or this one
	Of      string // the id that it was asked for by before
	Class   string
	Path    string // behind the class
	Key     string
	Tenant  string
	Size    int // of its body, in bytes; 0: a few words
	Wait    time.Duration
	Back    string        // the id that it was refused by
	NoRetry bool          // it does not say what it had asked for
	Doubt   time.Duration // after which, without an answer, it leaves and asks another gateway; 0: it waits
}

// Ask asks a gateway once, on a connection of its own.
func (l *League) Ask(ctx context.Context, g *Gateway, c Call) Heard {
	if c.Wait == 0 {
		c.Wait = l.o.Deadline
	}
	first := c.First
	if first == "" {
		first = c.Of
	}
	if first == "" {
		first = c.ID
	}
	if c.Key != "" {
		first = c.Key
	}
	l.Audit.asks(c.ID, first)
	h := Heard{Call: first, ID: c.ID, Gateway: g.Name}
	begin := time.Now()
	defer func() { l.Audit.hears(h) }()
	patience := c.Wait + time.Second
	if c.Doubt > 0 {
		patience = min(patience, c.Doubt)
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	method, body := http.MethodPost, "the work of "+c.ID+strings.Repeat(".", c.Size)
	if c.Class == "view" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.Calls()+"/"+c.Class+"/"+c.Path, strings.NewReader(body))
	if err != nil {
		h.Words = err.Error()
		return h
	}
	if body == "" {
		r.Body, r.ContentLength = nil, 0
	}
	r.Header.Set("X-Request-Id", c.ID)
	r.Header.Set("X-Deadline", fmt.Sprintf("%.3f", c.Wait.Seconds()))
	if c.Key != "" {
		r.Header.Set("Idempotency-Key", c.Key)
	}
	if c.Of != "" && !c.NoRetry {
		r.Header.Set("X-Retry-Of", c.Of)
	}
	if c.Back != "" {
		r.Header.Set("X-Come-Back", c.Back)
	}
	if c.Tenant != "" {
		r.Header.Set("X-Tenant", c.Tenant)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	h.Took, h.At = time.Since(begin), l.now()
	if err != nil {
		h.Words = err.Error()
		h.Unsent = strings.Contains(h.Words, "connect:") // nobody took it
		return h
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	h.Took, h.At = time.Since(begin), l.now()
	if err != nil {
		h.Words = err.Error()
		return h
	}
	h.Status, h.Body, h.Settled = resp.StatusCode, string(text), resp.Header.Get("X-Settled") == "1"
	var seconds float64
	fmt.Sscan(resp.Header.Get("Retry-After"), &seconds)
	h.Retry = time.Duration(seconds * float64(time.Second))
	return h
}

// Insist asks at one gateway and, when its connection breaks or it is told to come again, at the next ones of the group, until
// it has an answer or its time is over. What was refused, or came to nobody, it asks for anew; what was taken and not answered
// it asks for by its id. It returns the last that it heard, and how often it asked.
func (l *League) Insist(ctx context.Context, at *Gateway, c Call) (h Heard, tries int) {
	if c.Wait == 0 {
		c.Wait = l.o.Deadline
	}
	group := l.Of(at.Partner)
	until := time.Now().Add(c.Wait)
	first, i := c.ID, at.Index
	if c.Of != "" {
		first = c.Of
	}
	c.First = first
	for {
		c.Wait = time.Until(until)
		if c.Wait <= 0 || ctx.Err() != nil {
			return h, tries
		}
		g := group[i%len(group)]
		h = l.Ask(ctx, g, c)
		tries++
		last := c.ID
		c.ID, c.Back = fmt.Sprintf("%s-%s-%d", first, g.Name, tries), ""
		switch {
		case h.Status == 200, h.Status == 502 && h.Settled, h.Status == 502 && tries > 2*len(group):
			return h, tries
		case h.Status == 503 && (c.Of == "" || h.Settled):
			c.Of, c.Back = "", last
		case c.Of == "" && (h.Status == 502 || h.Status == 0 && !h.Unsent): // it may have run
			c.Of = last
		}
		if h.Status != 503 || c.Back == "" { // who was told when to come comes to the same gateway
			i++
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(max(h.Retry, 5*time.Millisecond), time.Until(until))):
		}
	}
}
