package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// errMalformedAnswer marks an answer whose list can't be decoded.
var errMalformedAnswer = errors.New("malformed answer")

// poll asks an agent for the changes since revision and waits for the answer until ctx ends. onProgress is called for the
// response header and for each part of the body that is read.
func (w *Watch) poll(ctx context.Context, a *agent, revision int64, longPoll time.Duration, onProgress func()) (List, error) {
	address := pollURL(a.addr, revision, longPoll)
	req, err := http.NewRequestWithContext(withPollContext(ctx), http.MethodGet, address, nil)
	if err != nil {
		return List{}, fmt.Errorf("poll discovery: %w", err)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("poll discovery: %w", err)
	}
	defer resp.Body.Close()
	onProgress()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("poll discovery: status %d", resp.StatusCode)
	}
	body := progressReader{Reader: resp.Body, onProgress: onProgress}
	text, err := io.ReadAll(io.LimitReader(body, maxListBytes))
	if err != nil {
		return List{}, fmt.Errorf("poll discovery: read answer: %w", err)
	}
	list, err := parseAnswer(text, revision)
	if err != nil {
		return List{}, fmt.Errorf("poll discovery: %w: %w", errMalformedAnswer, err)
	}
	return list, nil
}

// pollURL returns the URL of a poll: a long poll for the changes since revision, or, if that is negative, a request for the
// full list.
func pollURL(addr string, revision int64, longPoll time.Duration) string {
	u := url.URL{Scheme: "http", Host: addr, Path: "/registry/instances"}
	if revision >= 0 {
		query := url.Values{
			"from":    {strconv.FormatInt(revision, 10)},
			"hold_ms": {strconv.FormatInt(longPoll.Milliseconds(), 10)},
		}
		u.RawQuery = query.Encode()
	}
	return u.String()
}

// parseAnswer decodes the answer to a poll for the changes since revision.
func parseAnswer(text []byte, revision int64) (List, error) {
	list, err := Parse(text)
	switch {
	case err != nil:
		return List{}, err
	case list.Full:
		return list, nil
	case revision < 0:
		return List{}, errors.New("answer holds changes only, but the full list was requested")
	case list.Rev < revision:
		return List{}, fmt.Errorf("rev %d is older than rev %d, which was received before", list.Rev, revision)
	}
	return list, nil
}

// progressReader calls onProgress after each read that returns data.
type progressReader struct {
	io.Reader
	onProgress func()
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onProgress()
	}
	return n, err
}
