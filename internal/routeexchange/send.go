package routeexchange

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/peering"
)

// coalesceInterval is how long changes are collected before an update is sent.
const coalesceInterval = 5 * time.Millisecond

// sendUpdates sends the complete table and then each change over a link until the link ends.
func (x *Exchange) sendUpdates(link *peering.Link) {
	var (
		serial       uint64
		sent         map[ID]uint64 // digests of the advertisements sent; nil before the first table
		table        map[ID]Advertisement
		tableChanged <-chan struct{}
		checkedAt    time.Time
		sentGateways []Gateway
	)
	for {
		x.mu.Lock()
		triggered, in, gateways := x.changed, x.inbound[link], x.ownGateways
		complete := sent == nil || in.refreshRequested
		in.refreshRequested = false
		x.mu.Unlock()
		// If only the own gateways have changed, the table need not be read again: expiring advertisements also signal a table
		// change (Table.Sweep).
		if complete || isClosed(tableChanged) || time.Since(checkedAt) >= checkInterval {
			table, tableChanged = x.options.Table.AdjRIBOut(link.Peer.Partner)
			checkedAt = time.Now()
		}
		if complete {
			serial, sent = 0, map[ID]uint64{}
		}
		if !x.sendUpdate(link, table, sent, &serial, gateways, complete || !slices.Equal(sentGateways, gateways)) {
			sent = nil // the update was not sent completely; send the complete table after a pause
			waitForChange(x.ctx, link, nil, nil, 20*coalesceInterval)
		} else {
			sentGateways = gateways
			waitForChange(x.ctx, link, tableChanged, triggered, checkInterval)
		}
		waitForChange(x.ctx, link, nil, nil, coalesceInterval)
		select {
		case <-link.Done():
			return
		case <-x.ctx.Done():
			return
		default:
		}
	}
}

// checkInterval is how often a neighbour's table is compared without a signal that it has changed.
const checkInterval = 10 * time.Second

// isClosed reports whether c is closed; nothing may be sent on c.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// waitForChange waits until a or b is closed, the link or the context ends, or limit has passed.
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

// sendUpdate sends the differences between the sent and the current table, in parts; with force it sends an update even if
// there are none. It reports whether all parts could be queued.
func (x *Exchange) sendUpdate(link *peering.Link, table map[ID]Advertisement, sent map[ID]uint64, serial *uint64, gateways []Gateway, force bool) bool {
	var put []Advertisement
	var withdrawn []ID
	digests := make(map[ID]uint64, len(table))
	for id, adv := range table {
		d, err := digestOf(&adv)
		if err != nil {
			continue
		}
		digests[id] = d
		if previous, known := sent[id]; !known || previous != d {
			put = append(put, adv)
		}
	}
	for id := range sent {
		if _, still := digests[id]; !still {
			withdrawn = append(withdrawn, id)
		}
	}
	if len(put)+len(withdrawn) == 0 && !force {
		return true
	}
	slices.SortFunc(put, func(a, b Advertisement) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	for first := true; first || len(put)+len(withdrawn) > 0; first = false {
		m := update{Serial: *serial}
		n := min(maxAdvertisementsPerMessage, len(put))
		m.Put, put = put[:n], put[n:]
		k := min(maxAdvertisementsPerMessage-n, len(withdrawn))
		m.Withdrawn, withdrawn = withdrawn[:k], withdrawn[k:]
		if m.More = len(put)+len(withdrawn) > 0; !m.More {
			m.Digest, m.Gateways = tableDigest(digests), gateways // always the full list, as it is short
		}
		if link.Notify(topicUpdate, m) != nil {
			return false
		}
		*serial++
	}
	clear(sent)
	maps.Copy(sent, digests)
	return true
}
