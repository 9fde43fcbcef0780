package upstream

import (
	"net"
	"time"
)

// Limits bound a pool's connections to servers and configure their load reports.
type Limits struct {
	MaxConnections int           // open or being opened
	ConnectTimeout time.Duration // for one connect
	IdleTimeout    time.Duration // after which servers close an idle connection
	SettleDelay    time.Duration // between a reply and the next request, see DefaultSettleDelay
	LoadField      string        // key in X-Load of the requests in flight at a server; if empty, no report is read
	PollPath       string        // path at which servers return only their load report; if empty, they are not polled
	LocalIP        net.IP        // source address of connections; nil for any
}

// DefaultSettleDelay is longer than the gap between two replies where a server sends two for one request, which is some
// milliseconds: a request written within the gap would get the second reply as its own.
const DefaultSettleDelay = 10 * time.Millisecond

// maxSettleFraction is the fraction of the last exchange's duration that the next request may wait for its connection to settle,
// instead of opening another one: a handshake costs the server work and may take longer than expected.
const maxSettleFraction = 0.25

// maxIdle returns how long a connection may be idle. It is closed a little before the server does, or a request could cross the
// server's close and be reset.
func (l Limits) maxIdle() time.Duration { return l.IdleTimeout - l.IdleTimeout/10 }
