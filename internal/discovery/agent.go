package discovery

import (
	"context"
	"net"
	"net/http"
)

// agent is an address of discovery, with all that holds there only.
type agent struct {
	ctx      context.Context // ends when the watch moves elsewhere
	abandon  context.CancelFunc
	addr     string
	client   *http.Client
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	revision int64 // the version held; -1: none, so the full list is asked for. It belongs to Push or Ask
}

func newAgent(addr string, rev int64) *agent {
	p := &agent{addr: addr, revision: rev, dial: (&net.Dialer{}).DialContext}
	p.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: maxPolls, DisableCompression: true, DialContext: p.connect}}
	p.ctx, p.abandon = context.WithCancel(context.Background())
	return p
}

// pollKey is under which a poll's context holds itself, for connect.
type pollKey struct{}

// connect opens a connection for a poll, and gives up with it. Left to itself http.Transport goes on for as long as the
// system does, minutes on a network that drops what is sent, and each such connection counts among the few that it opens.
func (p *agent) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	if request, ok := ctx.Value(pollKey{}).(context.Context); ok {
		ctx = request
	}
	return p.dial(ctx, network, addr)
}
