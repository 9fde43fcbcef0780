package admin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"damsontrestle/internal/plan"
)

// Client sends requests to a daemon over its socket.
type Client struct {
	path string
	http *http.Client
}

// NewClient returns a Client of the socket at path. It does not connect yet.
func NewClient(path string) *Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", path)
	}
	return &Client{path: path, http: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

// Bounds on the daemon's responses.
const (
	maxEventBytes     = 1 << 20
	maxErrorBodyBytes = 1 << 20
)

// ErrNoDaemon is returned if no daemon listens on the socket.
var ErrNoDaemon = errors.New("no daemon answers")

// ErrTruncatedResponse is returned if the response ended before its last line. Show returns the outcome of the change.
var ErrTruncatedResponse = errors.New("the response was truncated; the change continues in the daemon")

// Show returns the running configuration with its status.
func (c *Client) Show(ctx context.Context) (ShowResponse, error) {
	var response ShowResponse
	resp, err := c.send(ctx, http.MethodGet, "/v1/show", nil)
	if err != nil {
		return response, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return response, fmt.Errorf("%s: decoding the response: %w", c.path, err)
	}
	return response, nil
}

// Apply applies a plan. If step is not nil, it is called after each step.
func (c *Client) Apply(ctx context.Context, text []byte, wait time.Duration, step func(ChangeEvent)) (plan.Running, error) {
	return c.change(ctx, "/v1/apply?wait="+wait.String(), text, step)
}

// Rollback restores the configuration that preceded current. It fails if the running configuration is not current.
func (c *Client) Rollback(ctx context.Context, current plan.Running, wait time.Duration, step func(ChangeEvent)) (plan.Running, error) {
	text, err := json.Marshal(current)
	if err != nil {
		return plan.Running{}, fmt.Errorf("rollback: %w", err)
	}
	return c.change(ctx, "/v1/rollback?wait="+wait.String(), text, step)
}

func (c *Client) change(ctx context.Context, target string, text []byte, step func(ChangeEvent)) (plan.Running, error) {
	resp, err := c.send(ctx, http.MethodPost, target, text)
	if err != nil {
		return plan.Running{}, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var event ChangeEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return plan.Running{}, fmt.Errorf("%s: decoding the response: %w", c.path, err)
		}
		switch {
		case !event.Done:
			if step != nil {
				step(event)
			}
			continue
		case event.Error != "":
			return plan.Running{}, &Error{event.Code, event.Error}
		case event.Running == nil:
			return plan.Running{}, fmt.Errorf("%s: the response does not name the running configuration", c.path)
		}
		return *event.Running, nil
	}
	return plan.Running{}, ErrTruncatedResponse
}

func (c *Client) send(ctx context.Context, method, target string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://admin"+target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, fmt.Errorf("%w at %s: %w", ErrNoDaemon, c.path, op.Err)
		}
		if method == http.MethodPost {
			return nil, fmt.Errorf("%w (%s: %w)", ErrTruncatedResponse, c.path, err)
		}
		return nil, fmt.Errorf("%s: %w", c.path, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	responseBody, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	var e Error
	if json.Unmarshal(responseBody, &e) != nil || e.Message == "" {
		return nil, fmt.Errorf("%s: %s: %.200s", c.path, resp.Status, responseBody)
	}
	return nil, &e
}
