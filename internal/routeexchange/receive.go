package routeexchange

import (
	"maps"
	"slices"

	"damsontrestle/internal/peering"
)

// inboundState is how far a neighbour's table has come over a link.
type inboundState struct {
	source           Source
	nextSerial       uint64
	complete         []Advertisement // of a table that has not come to its end
	put              []Advertisement // of a change that has not
	withdrawn        []ID
	digests          map[ID]uint64 // digests of what the neighbour has told
	group            []Gateway     // the neighbour's gateways, as this one of them told last
	refreshRequested bool          // the complete table was asked for
}

// handleUpdate takes a part of a neighbour's table. What does not follow what came before, or comes to another whole than the
// neighbour says, has the complete table asked for.
func (x *Exchange) handleUpdate(l *peering.Link, body []byte, _ func(any, error)) {
	var m update
	x.Up(l) // its first word may come before this gateway was told of the link
	x.mu.Lock()
	r := x.inbound[l]
	if r == nil {
		x.mu.Unlock()
		return
	}
	if err := peering.Decode(body, &m); err != nil || m.Serial != 0 && m.Serial != r.nextSerial {
		x.mu.Unlock()
		l.Tell(topicRefresh, struct{}{})
		return
	}
	complete := m.Serial == 0 || r.complete != nil
	if m.Serial == 0 {
		r.complete, r.put, r.withdrawn = []Advertisement{}, nil, nil
		clear(r.digests)
	}
	r.nextSerial = m.Serial + 1
	for i := range m.Put {
		if d, err := digestOf(&m.Put[i]); err == nil {
			r.digests[m.Put[i].ID] = d
		}
	}
	for _, id := range m.Withdrawn {
		delete(r.digests, id)
	}
	if complete {
		r.complete = append(r.complete, m.Put...)
	} else {
		r.put, r.withdrawn = append(r.put, m.Put...), append(r.withdrawn, m.Withdrawn...)
	}
	if m.More {
		x.mu.Unlock()
		return
	}
	all, put, gone := r.complete, r.put, r.withdrawn
	r.complete, r.put, r.withdrawn = nil, nil, nil
	fits := tableDigest(r.digests) == m.Digest
	groupChanged := !slices.Equal(r.group, m.Group)
	r.group = m.Group
	if groupChanged {
		delete(x.gatewaysValid, r.source.Partner)
	}
	x.mu.Unlock()
	switch {
	case !fits:
		l.Tell(topicRefresh, struct{}{})
	case complete:
		x.options.Table.replace(r.source, all)
	default:
		x.options.Table.update(r.source, put, gone)
	}
	if groupChanged {
		x.options.GatewaysChanged()
	}
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
		l.Tell(topicRefresh, struct{}{})
	}
}
