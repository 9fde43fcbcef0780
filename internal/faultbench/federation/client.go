package federation

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Request describes a client request.
type Request struct {
	ID             string // of this attempt
	AuditKey       string // identifies the request to the auditor; defaults to RetryOf, then ID
	RetryOf        string // ID of the earlier attempt, sent as X-Retry-Of
	Class          string
	Path           string // after the class
	Key            string
	Tenant         string
	Size           int // padding added to the body, in bytes
	Timeout        time.Duration
	RejectedID     string        // ID of the rejected attempt, sent as X-Come-Back
	OmitRetryOf    bool          // X-Retry-Of is not sent
	AttemptTimeout time.Duration // without a response, the client tries another gateway; 0: it waits for Timeout
}

// Send sends a request to a gateway once, on a new connection.
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
		outcome.NotSent = strings.Contains(outcome.Error, "connect:") // the connection was not established
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

// SendWithRetry sends a request until it has a final response or the timeout expires. A rejected request is sent again as a new one
// to the same gateway. If the connection cannot be established, it is sent as a new one to the next gateway of the group; if it was
// accepted but got no response, it is retried there by its ID. It returns the last outcome and the number of attempts.
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
		if outcome.Status != 503 || req.RejectedID == "" { // a rejected request returns to the same gateway after its Retry-After
			i++
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(max(outcome.RetryAfter, 5*time.Millisecond), time.Until(deadline))):
		}
	}
}
