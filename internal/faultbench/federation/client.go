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
type Request struct {
	ID             string // of this asking
	AuditKey       string // by which the auditor knows it; empty: Of, or this one
	RetryOf        string // the id that it was asked for by before
	Class          string
	Path           string // behind the class
	Key            string
	Tenant         string
	Size           int // of its body, in bytes; 0: a few words
	Timeout        time.Duration
	RejectedID     string        // the id that it was refused by
	OmitRetryOf    bool          // it does not say what it had asked for
	AttemptTimeout time.Duration // after which, without an answer, it leaves and asks another gateway; 0: it waits
}

// Ask asks a gateway once, on a connection of its own.
func (l *Federation) Send(ctx context.Context, g *Gateway, req Request) Outcome {
	if req.Timeout == 0 {
		req.Timeout = l.options.Deadline
	}
	first := req.AuditKey
	if first == "" {
		first = req.RetryOf
	}
	if first == "" {
		first = req.ID
	}
	if req.Key != "" {
		first = req.Key
	}
	l.Auditor.recordOriginal(req.ID, first)
	outcome := Outcome{Request: first, ID: req.ID, Gateway: g.Name}
	begin := time.Now()
	defer func() { l.Auditor.recordOutcome(outcome) }()
	patience := req.Timeout + time.Second
	if req.AttemptTimeout > 0 {
		patience = min(patience, req.AttemptTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	method, body := http.MethodPost, "the work of "+req.ID+strings.Repeat(".", req.Size)
	if req.Class == "view" {
		method, body = http.MethodGet, ""
	}
	httpReq, err := http.NewRequestWithContext(ctx, method, "http://"+g.Address()+"/"+req.Class+"/"+req.Path, strings.NewReader(body))
	if err != nil {
		outcome.Error = err.Error()
		return outcome
	}
	if body == "" {
		httpReq.Body, httpReq.ContentLength = nil, 0
	}
	httpReq.Header.Set("X-Request-Id", req.ID)
	httpReq.Header.Set("X-Deadline", fmt.Sprintf("%.3f", req.Timeout.Seconds()))
	if req.Key != "" {
		httpReq.Header.Set("Idempotency-Key", req.Key)
	}
	if req.RetryOf != "" && !req.OmitRetryOf {
		httpReq.Header.Set("X-Retry-Of", req.RetryOf)
	}
	if req.RejectedID != "" {
		httpReq.Header.Set("X-Come-Back", req.RejectedID)
	}
	if req.Tenant != "" {
		httpReq.Header.Set("X-Tenant", req.Tenant)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(httpReq)
	outcome.Latency, outcome.At = time.Since(begin), l.elapsed()
	if err != nil {
		outcome.Error = err.Error()
		outcome.NotSent = strings.Contains(outcome.Error, "connect:") // nobody took it
		return outcome
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	outcome.Latency, outcome.At = time.Since(begin), l.elapsed()
	if err != nil {
		outcome.Error = err.Error()
		return outcome
	}
	outcome.Status, outcome.Body, outcome.Settled = resp.StatusCode, string(text), resp.Header.Get("X-Settled") == "1"
	var seconds float64
	fmt.Sscan(resp.Header.Get("Retry-After"), &seconds)
	outcome.RetryAfter = time.Duration(seconds * float64(time.Second))
	return outcome
}

// Insist asks at one gateway and, when its connection breaks or it is told to come again, at the next ones of the group, until
// it has an answer or its time is over. What was refused, or came to nobody, it asks for anew; what was taken and not answered
// it asks for by its id. It returns the last that it heard, and how often it asked.
func (l *Federation) SendWithRetry(ctx context.Context, gateway *Gateway, req Request) (outcome Outcome, attempts int) {
	if req.Timeout == 0 {
		req.Timeout = l.options.Deadline
	}
	group := l.PartnerGateways(gateway.Partner)
	deadline := time.Now().Add(req.Timeout)
	first, i := req.ID, gateway.Index
	if req.RetryOf != "" {
		first = req.RetryOf
	}
	req.AuditKey = first
	for {
		req.Timeout = time.Until(deadline)
		if req.Timeout <= 0 || ctx.Err() != nil {
			return outcome, attempts
		}
		g := group[i%len(group)]
		outcome = l.Send(ctx, g, req)
		attempts++
		last := req.ID
		req.ID, req.RejectedID = fmt.Sprintf("%s-%s-%d", first, g.Name, attempts), ""
		switch {
		case outcome.Status == 200, outcome.Status == 502 && outcome.Settled, outcome.Status == 502 && attempts > 2*len(group):
			return outcome, attempts
		case outcome.Status == 503 && (req.RetryOf == "" || outcome.Settled):
			req.RetryOf, req.RejectedID = "", last
		case req.RetryOf == "" && (outcome.Status == 502 || outcome.Status == 0 && !outcome.NotSent): // it may have run
			req.RetryOf = last
		}
		if outcome.Status != 503 || req.RejectedID == "" { // who was told when to come comes to the same gateway
			i++
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(max(outcome.RetryAfter, 5*time.Millisecond), time.Until(deadline))):
		}
	}
}
