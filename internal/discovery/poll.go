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

// errMalformed is of an answer that came and can't be read.
var errMalformed = errors.New("malformed")

// poll asks an agent for what is newer than a revision, and waits for that as long as ctx goes on. onProgress is called
// whenever a part of the answer has come.
func (w *Watch) poll(ctx context.Context, a *agent, revision int64, longPoll time.Duration, onProgress func()) (List, error) {
	address := pollURL(a.addr, revision, longPoll)
	req, err := http.NewRequestWithContext(withPollKey(ctx), http.MethodGet, address, nil)
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	onProgress()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	body := progressReader{Reader: resp.Body, onProgress: onProgress}
	text, err := io.ReadAll(io.LimitReader(body, maxListBytes))
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	list, err := parseAnswer(text, revision)
	if err != nil {
		return List{}, fmt.Errorf("watch: %w: %w", errMalformed, err)
	}
	return list, nil
}

// pollURL is the URL of a poll: a long poll for changes since a revision, or without one a request for the full list.
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

// parseAnswer reads the answer to a poll for what is newer than a revision.
func parseAnswer(text []byte, revision int64) (List, error) {
	list, err := Parse(text)
	switch {
	case err != nil:
		return List{}, err
	case list.Full:
		return list, nil
	case revision < 0:
		return List{}, errors.New("list: changes without the full list that was asked for")
	case list.Rev < revision:
		return List{}, fmt.Errorf("list: rev %d comes after %d", list.Rev, revision)
	}
	return list, nil
}

// progressReader calls onProgress for each part that it reads.
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
