package routeexchange

import (
	"context"
	"slices"
	"sync"
	"time"

	"damsontrestle/internal/peering"
)

// Options are what an Exchange is made of; all are required.
type Options struct {
	Table           *Table
	OwnGateways     func() []Gateway // this partner's gateways that are alive
	GatewaysChanged func()           // the gateways of some partner have changed; must not block
}

// Exchange sends neighbours this gateway's Adj-RIB-Out and takes their updates, with a task for each link.
type Exchange struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu             sync.Mutex
	inbound        map[*peering.Link]*inboundState
	cachedGateways map[string][]Gateway // by partner, what Gateways returned last
	gatewaysValid  map[string]bool      // partners whose cachedGateways still hold
	ownGateways    []Gateway            // this partner's, as it is sent to neighbours
	changed        chan struct{}        // closed when the own group has changed
}

// NewExchange returns an exchange without links. It sweeps its table until Close.
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

// Close ends all tasks and returns once they have ended.
func (x *Exchange) Close() {
	x.cancel()
	x.tasks.Wait()
}

// Topics returns the handlers by which neighbours reach the exchange.
func (x *Exchange) Topics() map[string]peering.Handler {
	return map[string]peering.Handler{topicUpdate: x.handleUpdate, topicRefresh: x.handleRefresh}
}

// sweepInterval is how often what is stale is looked at, and whether the own group has changed. Of changes of the group that come
// one upon another only the first is told at once: each is told to every neighbour's gateway here, by every gateway of the group,
// and a group whose links flap would have all partners busy with hearing of it.
const (
	sweepInterval    = 100 * time.Millisecond
	gatewaysInterval = 500 * time.Millisecond
)

// maintain sweeps the table and notes changes of the own group, until Close.
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

// Advertise has updates sent to neighbours: this partner's gateways, or its rules, have changed.
func (x *Exchange) Advertise() {
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.changed)
	x.changed = make(chan struct{})
}

// LinkUp starts to send updates over a link that has come up, until the link ends. More calls for one link do nothing.
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
		// Another link to the same incarnation may go on with the same table.
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
