package routeexchange

import (
	"maps"
	"slices"

	"damsontrestle/internal/peering"
)

// inboundState is the state of receiving a neighbour's table over one link. Exchange.mu guards it.
type inboundState struct {
	source           Source
	nextSerial       uint64
	parts            receivedParts // of a table or change whose last part has not arrived
	digests          map[ID]uint64 // of the neighbour's advertisements
	gateways         []Gateway     // the neighbour's gateways as of its last update
	refreshRequested bool          // whether the neighbour has requested this partner's complete table
}

// receivedParts collects the parts of a complete table or of a change to one.
type receivedParts struct {
	complete  []Advertisement // nil for a change
	put       []Advertisement
	withdrawn []ID
}

// handleUpdate handles one part of a neighbour's table. If a serial is missing or the resulting table does not match the
// neighbour's digest, it requests the complete table.
func (x *Exchange) handleUpdate(link *peering.Link, body []byte, _ func(any, error)) {
	x.LinkUp(link) // the first message may arrive before the notification of the link
	var m update
	x.mu.Lock()
	in := x.inbound[link]
	if in == nil {
		x.mu.Unlock()
		return
	}
	if err := peering.Decode(body, &m); err != nil || m.Serial != 0 && m.Serial != in.nextSerial {
		x.mu.Unlock()
		link.Notify(topicRefresh, struct{}{})
		return
	}
	in.add(&m)
	if m.More {
		x.mu.Unlock()
		return
	}
	received := in.finish()
	matches := tableDigest(in.digests) == m.Digest
	gatewaysChanged := !slices.Equal(in.gateways, m.Gateways)
	in.gateways = m.Gateways
	if gatewaysChanged {
		delete(x.gatewaysValid, in.source.Partner)
	}
	x.mu.Unlock()
	switch {
	case !matches:
		link.Notify(topicRefresh, struct{}{})
	case received.complete != nil:
		x.options.Table.replace(in.source, received.complete)
	default:
		x.options.Table.update(in.source, received.put, received.withdrawn)
	}
	if gatewaysChanged {
		x.options.GatewaysChanged()
	}
}

// add adds one part of a table or of a change.
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

// finish returns the collected parts and resets them.
func (in *inboundState) finish() receivedParts {
	all := in.parts
	in.parts = receivedParts{}
	return all
}

// handleRefresh handles a neighbour's request for the complete table.
func (x *Exchange) handleRefresh(link *peering.Link, _ []byte, _ func(any, error)) {
	x.mu.Lock()
	if in := x.inbound[link]; in != nil {
		in.refreshRequested = true
	}
	x.mu.Unlock()
	x.Advertise()
}

// RequestRefresh requests the complete table from every neighbour, as changed import rules may accept more of it.
func (x *Exchange) RequestRefresh() {
	x.mu.Lock()
	links := slices.Collect(maps.Keys(x.inbound))
	x.mu.Unlock()
	for _, link := range links {
		link.Notify(topicRefresh, struct{}{})
	}
}
