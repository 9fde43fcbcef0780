package peering

import (
	"cmp"
	"log/slog"
	"time"
)

// Defaults of Options.
const (
	defaultHeartbeatInterval = 250 * time.Millisecond
	defaultHeartbeatTimeout  = time.Second
	defaultMaxQueueBytes     = 2 << 20 // bytes
)

// Options are the parameters of a Hub.
type Options struct {
	Self              Peer
	Listen            string                      // address; with port 0 the system chooses one
	Key               func(partner string) []byte // the key of links to a partner's gateways; nil: there are none
	Topics            map[string]Handler
	OnLinkUp          func(*Link)                      // a link came up. It must not block
	OnPeerChange      func(p Peer, up bool, why error) // the first link of a peer came up, or the last one ended. It must not block
	HeartbeatInterval time.Duration                    // between two heartbeats; 0: 250 ms
	HeartbeatTimeout  time.Duration                    // without a proof of the other side, after which a link ends; 0: 1 s
	WriteTimeout      time.Duration                    // after which a write that makes no progress ends the link; 0: Silence
	MaxQueueBytes     int                              // bytes that wait on a link at most; 0: 2 MiB
	Log               *slog.Logger
}

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeatInterval)
	o.HeartbeatTimeout = cmp.Or(o.HeartbeatTimeout, defaultHeartbeatTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, o.HeartbeatTimeout)
	o.MaxQueueBytes = cmp.Or(o.MaxQueueBytes, defaultMaxQueueBytes)
	if o.OnPeerChange == nil {
		o.OnPeerChange = func(Peer, bool, error) {}
	}
	if o.OnLinkUp == nil {
		o.OnLinkUp = func(*Link) {}
	}
	return o
}
