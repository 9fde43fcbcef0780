package discovery

import (
	"context"
	"net"
	"net/http"
)

// agent is one address of the registry with its HTTP client and the revision of the list received from there.
type agent struct {
	ctx      context.Context // cancelled when the watch moves to another address; ends the polls to this one
	cancel   context.CancelFunc
	addr     string
	client   *http.Client
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	revision int64 // of the list that the node holds, or noRevision; used only by the goroutine of Push or Poll
}

func newAgent(addr string, revision int64) *agent {
	a := &agent{addr: addr, revision: revision, dial: new(net.Dialer).DialContext}
	a.client = &http.Client{Transport: &http.Transport{
		MaxConnsPerHost:    maxPolls,
		DisableCompression: true,
		DisableKeepAlives:  true, // answers carry no id: a second answer on a reused connection would be taken for that of the next poll
		DialContext:        a.connect,
	}}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// pollContextKey is the context key of a poll's own context, which connect looks up.
type pollContextKey struct{}

// withPollContext returns a copy of ctx that carries ctx as a value, so that connect can tell when the poll ends.
func withPollContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, pollContextKey{}, ctx)
}

// connect opens a connection for a poll and stops dialing when the poll ends. By default http.Transport keeps dialing
// until the system gives up, which takes minutes on a network that drops packets, and each pending dial counts towards
// MaxConnsPerHost.
func (a *agent) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	if poll, ok := ctx.Value(pollContextKey{}).(context.Context); ok {
		ctx = poll
	}
	return a.dial(ctx, network, addr)
}
