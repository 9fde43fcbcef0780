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
	Listen            string                      // TCP address; port 0 selects a free port
	Key               func(partner string) []byte // returns the key for links to a partner's gateways; nil: no links
	Topics            map[string]Handler
	OnLinkUp          func(*Link)                      // called when a link has come up; must not block
	OnPeerChange      func(p Peer, up bool, why error) // called when the first link of a peer has come up or its last one has ended; must not block
	HeartbeatInterval time.Duration                    // time between two heartbeats; 0: 250 ms
	HeartbeatTimeout  time.Duration                    // time without a heartbeat reply after which a link ends; 0: 1 s
	WriteTimeout      time.Duration                    // time after which a write without progress ends the link; 0: HeartbeatTimeout
	MaxQueueBytes     int                              // limit of the bytes queued on a link; 0: 2 MiB
	Log               *slog.Logger
}

// withDefaults returns the options with zero values replaced by defaults.
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
