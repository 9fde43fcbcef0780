package discovery

import (
	"context"
	"net"
	"net/http"
)

// agent is an address of discovery, with all that holds there only.
type agent struct {
	ctx      context.Context // ends when the watch moves to another address; polls to this one end with it
	abandon  context.CancelFunc
	addr     string
	client   *http.Client
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	revision int64 // of the list that the node has; noRevision: none. It belongs to Push or Poll
}

func newAgent(addr string, revision int64) *agent {
	a := &agent{addr: addr, revision: revision, dial: new(net.Dialer).DialContext}
	a.client = &http.Client{Transport: &http.Transport{
		MaxConnsPerHost:    maxPolls,
		DisableCompression: true,
		DialContext:        a.connect,
	}}
	a.ctx, a.abandon = context.WithCancel(context.Background())
	return a
}

// pollKey is the key under which a poll's context holds itself, for connect.
type pollKey struct{}

// withPollKey returns the context of a poll by which connect knows when the poll ends.
func withPollKey(ctx context.Context) context.Context {
	return context.WithValue(ctx, pollKey{}, ctx)
}

// connect opens a connection for a poll, and gives up with it. Left to itself http.Transport goes on for as long as the
// system does, minutes on a network that drops what is sent, and each such connection counts among the few that it opens.
func (a *agent) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	if poll, ok := ctx.Value(pollKey{}).(context.Context); ok {
		ctx = poll
	}
	return a.dial(ctx, network, addr)
}
