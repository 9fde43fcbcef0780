package routeexchange

import (
	"maps"
	"slices"

	"damsontrestle/internal/peering"
)

// inboundState is what has come of a neighbour's table over one link. Exchange.mu guards it.
type inboundState struct {
	source           Source
	nextSerial       uint64
	parts            receivedParts // of a table or a change whose last part has not come
	digests          map[ID]uint64 // of the neighbour's advertisements
	group            []Gateway     // the neighbour's gateways, as the last update had them
	refreshRequested bool          // the neighbour asked for this partner's complete table
}

// receivedParts are the parts of a complete table, or of a change of one.
type receivedParts struct {
	complete  []Advertisement // nil: it is a change
	put       []Advertisement
	withdrawn []ID
}

// handleUpdate takes a part of a neighbour's table. A part that does not follow the one before, or a table whose digest is not
// the neighbour's, has the complete table requested.
func (x *Exchange) handleUpdate(l *peering.Link, body []byte, _ func(any, error)) {
	x.Up(l) // its first message may come before this gateway was notified of the link
	var m update
	x.mu.Lock()
	in := x.inbound[l]
	if in == nil {
		x.mu.Unlock()
		return
	}
	if err := peering.Decode(body, &m); err != nil || m.Serial != 0 && m.Serial != in.nextSerial {
		x.mu.Unlock()
		l.Notify(topicRefresh, struct{}{})
		return
	}
	in.add(&m)
	if m.More {
		x.mu.Unlock()
		return
	}
	received := in.finish()
	matches := tableDigest(in.digests) == m.Digest
	groupChanged := !slices.Equal(in.group, m.Group)
	in.group = m.Group
	if groupChanged {
		delete(x.gatewaysValid, in.source.Partner)
	}
	x.mu.Unlock()
	switch {
	case !matches:
		l.Notify(topicRefresh, struct{}{})
	case received.complete != nil:
		x.options.Table.replace(in.source, received.complete)
	default:
		x.options.Table.update(in.source, received.put, received.withdrawn)
	}
	if groupChanged {
		x.options.GatewaysChanged()
	}
}

// add takes one part of a table or of a change.
func (in *inboundState) add(m *update) {
	if m.Serial == 0 {
		in.parts = receivedParts{complete: []Advertisement{}}
		clear(in.digests)
	}
	in.nextSerial = m.Serial + 1
	for i := range m.Put {
		if d, err := digestOf(&m.Put[i]); err == nil {
			in.digests[m.Put[i].ID] = d
		}
	}
	for _, id := range m.Withdrawn {
		delete(in.digests, id)
	}
	if in.parts.complete != nil {
		in.parts.complete = append(in.parts.complete, m.Put...)
		return
	}
	in.parts.put = append(in.parts.put, m.Put...)
	in.parts.withdrawn = append(in.parts.withdrawn, m.Withdrawn...)
}

// finish returns what came with all parts, and begins anew.
func (in *inboundState) finish() receivedParts {
	all := in.parts
	in.parts = receivedParts{}
	return all
}

// handleRefresh has the complete table told once more.
func (x *Exchange) handleRefresh(l *peering.Link, _ []byte, _ func(any, error)) {
	x.mu.Lock()
	if r := x.inbound[l]; r != nil {
		r.refreshRequested = true
	}
	x.mu.Unlock()
	x.Advertise()
}

// RequestRefresh has every neighbour tell its complete table once more: more of it may be taken by the rules of now.
func (x *Exchange) RequestRefresh() {
	x.mu.Lock()
	links := slices.Collect(maps.Keys(x.inbound))
	x.mu.Unlock()
	for _, l := range links {
		l.Notify(topicRefresh, struct{}{})
	}
}
