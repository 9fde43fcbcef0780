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

// poll asks for what is newer than a version, and waits for that as long as ctx goes on. heard is called whenever a part
// of the answer has come.
func (w *Watch) poll(ctx context.Context, p *agent, rev int64, hold time.Duration, heard func()) (List, error) {
	u := url.URL{Scheme: "http", Host: p.addr, Path: "/registry/instances"}
	if rev >= 0 {
		u.RawQuery = url.Values{"from": {strconv.FormatInt(rev, 10)},
			"hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}.Encode()
	}
	req, err := http.NewRequestWithContext(context.WithValue(ctx, pollKey{}, ctx), http.MethodGet, u.String(), nil)
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	heard()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(progressReader{resp.Body, heard}, maxListBytes))
	if err != nil {
		return List{}, fmt.Errorf("watch: %w", err)
	}
	l, err := Parse(text)
	switch {
	case err != nil || l.Full:
	case rev < 0:
		err = errors.New("list: changes without the whole list that was asked for")
	case l.Rev < rev:
		err = fmt.Errorf("list: rev %d comes after %d", l.Rev, rev)
	}
	if err != nil {
		return List{}, fmt.Errorf("watch: %w: %w", errMalformed, err)
	}
	return l, nil
}

// progressReader tells of each part that it reads.
type progressReader struct {
	io.Reader
	progress func()
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.progress()
	}
	return n, err
}
