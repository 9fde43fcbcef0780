package upstream

import (
	"net"
	"time"
)

// Limits bound a pool's connections to servers, and say what is read of their replies.
type Limits struct {
	MaxConnections int           // open or being opened
	ConnectTimeout time.Duration // for one connect
	IdleTimeout    time.Duration // after which servers close an idle connection
	SettleDelay    time.Duration // behind a reply, before the next request may follow: see DefaultSettleDelay
	LoadField      string        // name that X-Load has for the requests in flight at a server; empty: no report is read
	PollPath       string        // where servers answer with their load report alone; empty: they are not polled
	LocalIP        net.IP        // that connections go out from; nil: any
}

// DefaultSettleDelay is longer than a second reply comes behind the first where a server gives two, which is some
// milliseconds: written before it has come, the next request would get it for its own.
const DefaultSettleDelay = 10 * time.Millisecond

// maxSettleFraction is the part of an exchange's time that the next one may wait for its connection to settle, rather than have
// one more opened: a handshake costs the server work, and may take longer than expected.
const maxSettleFraction = 0.25

// maxIdle returns how long a connection may be idle: closed a little before the server does, or a request might cross
// its close and end as a reset.
func (l Limits) maxIdle() time.Duration { return l.IdleTimeout - l.IdleTimeout/10 }
