package routeexchange

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/peering"
)

// coalesceInterval is how long changes are gathered before an update is sent.
const coalesceInterval = 5 * time.Millisecond

// sendUpdates sends a neighbour's gateway the complete table and then each change, until the link ends.
func (x *Exchange) sendUpdates(l *peering.Link) {
	var (
		serial  uint64
		sent    map[ID]uint64 // digests of what it has been told; nil: nothing yet
		now     map[ID]Advertisement
		changed <-chan struct{}
		looked  time.Time
		group   []Gateway
	)
	for {
		x.mu.Lock()
		kick, r, live := x.changed, x.inbound[l], x.ownGroup
		complete := sent == nil || r.refreshRequested
		r.refreshRequested = false
		x.mu.Unlock()
		// A table that has not changed need not be looked at for a change of the group: offers that end by the clock change it
		// too (Table.Sweep).
		if complete || isClosed(changed) || time.Since(looked) >= checkInterval {
			now, changed = x.options.Table.AdjRIBOut(l.Peer.Partner)
			looked = time.Now()
		}
		if complete {
			serial, sent = 0, map[ID]uint64{}
		}
		if !x.sendUpdate(l, now, sent, &serial, live, complete || !slices.Equal(group, live)) {
			sent = nil // not all of it has gone out: the complete table will, when there is room
			waitForChange(x.ctx, l, nil, nil, 20*coalesceInterval)
		} else {
			group = live
			waitForChange(x.ctx, l, changed, kick, checkInterval)
		}
		waitForChange(x.ctx, l, nil, nil, coalesceInterval)
		select {
		case <-l.Done():
			return
		case <-x.ctx.Done():
			return
		default:
		}
	}
}

// checkInterval is how often a neighbour's table is looked at though nothing says that it has changed.
const checkInterval = 10 * time.Second

// isClosed says whether a channel is closed that nothing is sent on.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// waitForChange waits until one of these is closed, the link ends, or a while has passed.
func waitForChange(ctx context.Context, l *peering.Link, a, b <-chan struct{}, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-a:
	case <-b:
	case <-t.C:
	case <-l.Done():
	case <-ctx.Done():
	}
}

// sendUpdate sends what differs between what was sent and the table of now, in parts. false: not all of it could be queued.
func (x *Exchange) sendUpdate(l *peering.Link, now map[ID]Advertisement, sent map[ID]uint64, serial *uint64, group []Gateway, must bool) bool {
	var put []Advertisement
	var gone []ID
	digests := make(map[ID]uint64, len(now))
	for id, o := range now {
		d, err := digestOf(&o)
		if err != nil {
			continue
		}
		digests[id] = d
		if was, had := sent[id]; !had || was != d {
			put = append(put, o)
		}
	}
	for id := range sent {
		if _, still := digests[id]; !still {
			gone = append(gone, id)
		}
	}
	if len(put)+len(gone) == 0 && !must {
		return true
	}
	slices.SortFunc(put, func(a, b Advertisement) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	for first := true; first || len(put)+len(gone) > 0; first = false {
		m := update{Serial: *serial}
		n := min(maxAdvertisementsPerMessage, len(put))
		m.Put, put = put[:n], put[n:]
		k := min(maxAdvertisementsPerMessage-n, len(gone))
		m.Withdrawn, gone = gone[:k], gone[k:]
		if m.More = len(put)+len(gone) > 0; !m.More {
			m.Digest, m.Group = tableDigest(digests), group // all of it each time: it is short
		}
		if l.Notify(topicUpdate, m) != nil {
			return false
		}
		*serial++
	}
	clear(sent)
	maps.Copy(sent, digests)
	return true
}
