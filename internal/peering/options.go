package peering

import (
	"cmp"
	"log/slog"
	"time"
)

// Defaults of Options.
const (
	defaultBeat    = 250 * time.Millisecond
	defaultSilence = time.Second
	defaultQueue   = 2 << 20 // bytes
)

// Options are the parameters of a Hub.
type Options struct {
	Self    Peer
	Listen  string                      // address; with port 0 the system chooses one
	Key     func(partner string) []byte // the key of links to a partner's gateways; nil: there are none
	Topics  map[string]Handler
	Up      func(*Link)                      // a link came up. It must not block
	Changed func(p Peer, up bool, why error) // the first link of a peer came up, or the last one ended. It must not block
	Beat    time.Duration                    // between two heartbeats; 0: 250 ms
	Silence time.Duration                    // without a proof of the other side, after which a link ends; 0: 1 s
	Stuck   time.Duration                    // after which a write that makes no progress ends the link; 0: Silence
	Queue   int                              // bytes that wait on a link at most; 0: 2 MiB
	Log     *slog.Logger
}

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	o.Beat = cmp.Or(o.Beat, defaultBeat)
	o.Silence = cmp.Or(o.Silence, defaultSilence)
	o.Stuck = cmp.Or(o.Stuck, o.Silence)
	o.Queue = cmp.Or(o.Queue, defaultQueue)
	if o.Changed == nil {
		o.Changed = func(Peer, bool, error) {}
	}
	if o.Up == nil {
		o.Up = func(*Link) {}
	}
	return o
}
