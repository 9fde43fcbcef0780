package routeexchange

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"damsontrestle/internal/peering"
)

// topicUpdate tells a neighbour's gateway of a table, or of what has changed in it.
const (
	topicUpdate  = "offers.table"
	topicRefresh = "offers.again" // asks for the complete table
)

// update is what goes over a link. A table begins with its first part, of serial 0; what follows has the next serial each time.
type update struct {
	Serial    uint64          `cbor:"1,keyasint"`
	Put       []Advertisement `cbor:"2,keyasint,omitempty"`
	Withdrawn []ID            `cbor:"3,keyasint,omitempty"`
	More      bool            `cbor:"4,keyasint,omitempty"` // the table or the change goes on with the next message
	Digest    uint64          `cbor:"5,keyasint"`           // of the complete table after the last part
	Group     []Gateway       `cbor:"6,keyasint,omitempty"` // of the first and last parts: the partner's gateways that live
}

// Gateway is one of a partner's that takes requests.
type Gateway struct {
	Name  string `cbor:"1,keyasint"`
	Calls string `cbor:"2,keyasint"` // address
	Zone  string `cbor:"3,keyasint,omitempty"`
}

// maxAdvertisementsPerMessage is how many offers go in one message.
const maxAdvertisementsPerMessage = 400

// coalesceInterval is how long changes are gathered before a neighbour is told.
const coalesceInterval = 5 * time.Millisecond

// Options are what an Exchange is made of.
type Options struct {
	Table           *Table
	Group           func() []Gateway // of this partner's gateways, those that live
	GatewaysChanged func()           // the gateways of some partner have changed; must not block
}

// Exchange tells neighbours of this gateway's table and takes theirs, by a task for each link.
type Exchange struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu            sync.Mutex
	inbound       map[*peering.Link]*inboundState
	lastGateways  map[string][]Gateway // by partner, what Gateways told last
	gatewaysValid map[string]bool      // of them, those that still hold
	ownGroup      []Gateway            // this partner's, as neighbours are told of them
	changed       chan struct{}        // closed when the own group has changed
}

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

// NewExchange returns one that tells nobody yet.
func NewExchange(o Options) *Exchange {
	x := &Exchange{options: o, inbound: map[*peering.Link]*inboundState{}, lastGateways: map[string][]Gateway{}, gatewaysValid: map[string]bool{}, ownGroup: o.Group(), changed: make(chan struct{})}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.tasks.Go(x.maintain)
	return x
}

// Close ends all tasks and returns once they have ended.
func (x *Exchange) Close() {
	x.cancel()
	x.tasks.Wait()
}

// Topics are how neighbours reach it.
func (x *Exchange) Topics() map[string]peering.Handler {
	return map[string]peering.Handler{topicUpdate: x.handleUpdate, topicRefresh: x.handleRefresh}
}

// sweepInterval is how often what is stale is looked at, and whether the own group has changed. Of changes of the group that come
// one upon another only the first is told at once: each is told to every neighbour's gateway here, by every gateway of the group,
// and a group whose links flap would have all partners busy with hearing of it.
const (
	sweepInterval = 100 * time.Millisecond
	groupInterval = 500 * time.Millisecond
)

func (x *Exchange) maintain() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	group := x.options.Group()
	var told time.Time
	for {
		select {
		case <-x.ctx.Done():
			return
		case <-tick.C:
		}
		x.options.Table.Sweep()
		if now := x.options.Group(); !slices.Equal(now, group) && time.Since(told) >= groupInterval {
			group, told = now, time.Now()
			x.mu.Lock()
			x.ownGroup = now
			x.mu.Unlock()
			x.Advertise()
		}
	}
}

// Advertise has neighbours told anew: this partner's gateways, or its rules, have changed.
func (x *Exchange) Advertise() {
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.changed)
	x.changed = make(chan struct{})
}

// Up begins to tell a neighbour's gateway, over a link that has come up, until the link ends.
func (x *Exchange) Up(l *peering.Link) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inbound[l] != nil || x.ctx.Err() != nil {
		return
	}
	r := &inboundState{source: Source{l.Peer.Partner, l.Peer.Name, l.Peer.Incarnation}, digests: map[ID]uint64{}}
	x.inbound[l] = r
	x.tasks.Go(func() {
		x.sendUpdates(l)
		x.mu.Lock()
		delete(x.inbound, l)
		delete(x.gatewaysValid, r.source.Partner)
		// Another link to the same incarnation may go on telling the same table.
		left := false
		for _, o := range x.inbound {
			left = left || o.source == r.source
		}
		x.mu.Unlock()
		if !left {
			x.options.Table.PeerDown(r.source)
			x.options.GatewaysChanged()
		}
	})
}

// sendUpdates tells a neighbour's gateway one table and then each change, until the link ends.
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

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// waitForChange waits until one of these is closed, the link ends, or a while has passed.
func waitForChange(ctx context.Context, l *peering.Link, a, b <-chan struct{}, most time.Duration) {
	t := time.NewTimer(most)
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
		if l.Tell(topicUpdate, m) != nil {
			return false
		}
		*serial++
	}
	clear(sent)
	maps.Copy(sent, digests)
	return true
}

// tableDigest is a digest of a complete table, whatever its order.
func tableDigest(digests map[ID]uint64) (d uint64) {
	for _, v := range digests {
		d += v
	}
	return d
}

// digestOf is a digest of an advertisement.
func digestOf(o *Advertisement) (uint64, error) {
	text, err := peering.Encode(o)
	if err != nil {
		return 0, err
	}
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64(), nil
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

// IsAlive says whether one of a partner's gateways lives, as far as the others of them that are linked here tell. Where none
// tells any more it is not known, and counts as yes.
func (x *Exchange) IsAlive(partner, name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	others := false
	for _, r := range x.inbound {
		if r.source.Partner != partner || r.source.Gateway == name || r.group == nil {
			continue
		}
		if slices.ContainsFunc(r.group, func(w Gateway) bool { return w.Name == name }) {
			return true
		}
		others = true
	}
	return !others
}

// Gateways are a partner's that live, as those of them tell to whom there are links. The list is not to be changed.
func (x *Exchange) Gateways(partner string) []Gateway {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gatewaysValid[partner] {
		return x.lastGateways[partner]
	}
	var out []Gateway
	for _, r := range x.inbound {
		if r.source.Partner != partner {
			continue
		}
		for _, w := range r.group {
			if !slices.ContainsFunc(out, func(o Gateway) bool { return o.Name == w.Name }) {
				out = append(out, w)
			}
		}
	}
	x.gatewaysValid[partner] = true
	if len(out) == 0 { // nobody tells any more: those of before may still be there
		return x.lastGateways[partner]
	}
	slices.SortFunc(out, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	x.lastGateways[partner] = out
	return out
}
