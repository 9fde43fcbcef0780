package peering

import (
	"cmp"
	"log/slog"
	"time"
)

// Options are what a Hub is made of.
type Options struct {
	Self    Peer
	Listen  string                      // address; with port 0 the system chooses one
	Key     func(partner string) []byte // that links with a partner's gateways are keyed by; nil: none of ours
	Topics  map[string]Handler
	Up      func(*Link)                      // a link came up. It must not block
	Changed func(p Peer, up bool, why error) // the first link of a peer came up, or the last one ended. It must not block
	Beat    time.Duration                    // between two heartbeats; 0: 250 ms
	Silence time.Duration                    // without an answer to one, after which a link ends; 0: 1 s
	Stuck   time.Duration                    // in which bytes must be written; 0: Silence
	Queue   int                              // bytes that wait on a link at most; 0: 2 MiB
	Log     *slog.Logger
}

// withDefaults are the options with what the comments of its fields say of zero values.
func (o Options) withDefaults() Options {
	o.Beat, o.Silence, o.Queue = cmp.Or(o.Beat, 250*time.Millisecond), cmp.Or(o.Silence, time.Second), cmp.Or(o.Queue, 2<<20)
	o.Stuck = cmp.Or(o.Stuck, o.Silence)
	if o.Changed == nil {
		o.Changed = func(Peer, bool, error) {}
	}
	if o.Up == nil {
		o.Up = func(*Link) {}
	}
	return o
}
