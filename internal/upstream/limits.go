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
	SettleDelay    time.Duration // least time between a reply and the next request, see DefaultSettleDelay
	LoadField      string        // key in X-Load of the requests in flight at a server; if empty, no report is read
	PollPath       string        // path at which servers return only their load report; if empty, they are not polled
	LocalIP        net.IP        // source address of connections; nil for any
}

// maxIdle returns how long a connection may be idle. It is closed a little before the server does, or a request could cross the
// server's close and be reset.
func (l Limits) maxIdle() time.Duration { return l.IdleTimeout - l.IdleTimeout/10 }
