package routeexchange

import (
	"context"
	"slices"
	"sync"
	"time"

	"damsontrestle/internal/peering"
)

// Options configure an Exchange; all fields are required.
type Options struct {
	Table           *Table
	OwnGateways     func() []Gateway // returns this partner's live gateways
	GatewaysChanged func()           // called when the gateways of any partner have changed; must not block
}

// Exchange sends this gateway's Adj-RIB-Out to neighbours, with one goroutine per link, and applies their updates.
type Exchange struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu             sync.Mutex
	inbound        map[*peering.Link]*inboundState
	cachedGateways map[string][]Gateway // by partner, the last result of Gateways
	gatewaysValid  map[string]bool      // partners whose cachedGateways are up to date
	ownGateways    []Gateway            // this partner's gateways as sent to neighbours
	changed        chan struct{}        // closed and replaced by Advertise
}

// NewExchange returns an exchange without links and sweeps its table until Close.
func NewExchange(o Options) *Exchange {
	x := &Exchange{
		options:        o,
		inbound:        map[*peering.Link]*inboundState{},
		cachedGateways: map[string][]Gateway{},
		gatewaysValid:  map[string]bool{},
		ownGateways:    o.OwnGateways(),
		changed:        make(chan struct{}),
	}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.tasks.Go(x.maintain)
	return x
}

// Close stops all goroutines and waits for them to end.
func (x *Exchange) Close() {
	x.cancel()
	x.tasks.Wait()
}

// Topics returns the handlers of neighbours' messages.
func (x *Exchange) Topics() map[string]peering.Handler {
	return map[string]peering.Handler{topicUpdate: x.handleUpdate, topicRefresh: x.handleRefresh}
}

// sweepInterval is how often the table is swept and the own gateways are checked for changes. After a change is sent, later
// ones are held back for gatewaysInterval: every own gateway sends each change to every linked gateway of the neighbours, so
// flapping links between own gateways would otherwise flood all partners with updates.
const (
	sweepInterval    = 100 * time.Millisecond
	gatewaysInterval = 500 * time.Millisecond
)

// maintain sweeps the table and advertises changes of the own gateways until Close.
func (x *Exchange) maintain() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	gateways := x.options.OwnGateways()
	var advertisedAt time.Time
	for {
		select {
		case <-x.ctx.Done():
			return
		case <-tick.C:
		}
		x.options.Table.Sweep()
		if current := x.options.OwnGateways(); !slices.Equal(current, gateways) && time.Since(advertisedAt) >= gatewaysInterval {
			gateways, advertisedAt = current, time.Now()
			x.mu.Lock()
			x.ownGateways = current
			x.mu.Unlock()
			x.Advertise()
		}
	}
}

// Advertise triggers updates to all neighbours after this partner's gateways or rules have changed.
func (x *Exchange) Advertise() {
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.changed)
	x.changed = make(chan struct{})
}

// LinkUp starts sending updates over a new link until the link ends. Repeated calls for a link have no effect.
func (x *Exchange) LinkUp(link *peering.Link) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inbound[link] != nil || x.ctx.Err() != nil {
		return
	}
	in := &inboundState{source: Source{link.Peer.Partner, link.Peer.Name, link.Peer.Incarnation}, digests: map[ID]uint64{}}
	x.inbound[link] = in
	x.tasks.Go(func() {
		x.sendUpdates(link)
		x.mu.Lock()
		delete(x.inbound, link)
		delete(x.gatewaysValid, in.source.Partner)
		// Another link to the same incarnation may still use the same table.
		sameSource := false
		for _, other := range x.inbound {
			if other.source == in.source {
				sameSource = true
			}
		}
		x.mu.Unlock()
		if !sameSource {
			x.options.Table.PeerDown(in.source)
			x.options.GatewaysChanged()
		}
	})
}
