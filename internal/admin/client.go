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

// Client asks a daemon on its socket.
type Client struct {
	path string
	http *http.Client
}

// NewClient returns a Client of the socket at path. Nothing is asked yet.
func NewClient(path string) *Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", path)
	}
	return &Client{path: path, http: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

// ErrNoDaemon says that nobody answers on the socket.
var ErrNoDaemon = errors.New("no daemon answers")

// ErrTruncatedResponse says that the answer ended before its last line: what came of the change is told by Show.
var ErrTruncatedResponse = errors.New("the answer was cut; the change goes on in the daemon")

// ShowResponse asks what runs.
func (c *Client) Show(ctx context.Context) (ShowResponse, error) {
	var s ShowResponse
	resp, err := c.send(ctx, http.MethodGet, "/v1/show", nil)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("%s: %w", c.path, err)
	}
	return s, nil
}

// Apply has a plan carried out. step, if any, is told of each step.
func (c *Client) Apply(ctx context.Context, text []byte, wait time.Duration, step func(ChangeEvent)) (plan.Running, error) {
	return c.change(ctx, "/v1/apply?wait="+wait.String(), text, step)
}

// Rollback has the daemon go back to the configuration before the one that must run now.
func (c *Client) Rollback(ctx context.Context, now plan.Running, wait time.Duration, step func(ChangeEvent)) (plan.Running, error) {
	text, err := json.Marshal(now)
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
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var l ChangeEvent
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return plan.Running{}, fmt.Errorf("%s: %w", c.path, err)
		}
		switch {
		case !l.Done:
			if step != nil {
				step(l)
			}
			continue
		case l.Error != "":
			return plan.Running{}, &Error{l.Code, l.Error}
		case l.Running == nil:
			return plan.Running{}, fmt.Errorf("%s: the answer tells not what runs", c.path)
		}
		return *l.Running, nil
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
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	var e Error
	if json.Unmarshal(text, &e) != nil || e.Message == "" {
		return nil, fmt.Errorf("%s: %s: %.200s", c.path, resp.Status, text)
	}
	return nil, &e
}
