package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/membership"
	"damsontrestle/internal/peering"
	"damsontrestle/internal/quota"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/routeexchange"
)

// Options are what a Gateway is made of.
type Options struct {
	Config *config.Config    // with a federation block
	Key    []byte            // of this partner's own group
	Keys   map[string][]byte // by partner
	// Living returns the other gateways of the group that are alive.
	Living func() []membership.Peer
	// Calls takes the requests that go on to a pool.
	Calls *dispatch.Dispatcher
	// List notifies the pool of a partner of that partner's gateways.
	List  func(partner string, list discovery.List)
	Clock clock.Clock
	Log   *slog.Logger
}

// Gateway is a node's part in a federation. Its methods may be called by any goroutine.
type Gateway struct {
	options         Options
	self            peering.GatewayID
	incarnation     uint64
	hub             atomic.Pointer[peering.Hub] // nil until it is open: tasks of routes and replication begin before it
	replicator      *replication.Replicator
	routes          *routeexchange.Table
	exchange        *routeexchange.Exchange
	ctx             context.Context // ends with Close; tasks go on past the requests that began them
	cancel          context.CancelFunc
	tasks           sync.WaitGroup
	gatewaysChanged chan struct{} // has maintainLinks look at once
	policy          atomic.Pointer[policy]

	mu       sync.Mutex
	limiters map[string]*quota.Limiter // by quota
}

// Open opens the links. Requests come once the dispatcher has the gateway as its Interceptor. Close ends it.
func Open(options Options) (*Gateway, error) {
	federation := options.Config.Federation
	g := &Gateway{
		options:         options,
		self:            peering.GatewayID{Partner: federation.Partner, Name: options.Config.Node.Name},
		incarnation:     rand.Uint64()>>1 + 1,
		gatewaysChanged: make(chan struct{}, 1),
		limiters:        map[string]*quota.Limiter{},
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	p := newPolicy(options.Config)
	g.policy.Store(p)
	g.routes = routeexchange.NewTable(g.routePolicy(options.Config), time.Now)
	g.exchange = routeexchange.NewExchange(routeexchange.Options{Table: g.routes, Group: g.ownGateways, GatewaysChanged: g.checkLinks})
	g.replicator = replication.New(g.replicationOptions(federation))
	hub, err := peering.Open(g.peeringOptions(federation))
	if err != nil {
		g.cancel()
		g.exchange.Close()
		g.replicator.Close()
		return nil, fmt.Errorf("gateway: %w", err)
	}
	g.hub.Store(hub)
	g.setQuotas(p.quotas)
	g.tasks.Go(g.maintainLinks)
	return g, nil
}

// replicationOptions are those of the replicator of this gateway.
func (g *Gateway) replicationOptions(federation *config.Federation) replication.Options {
	silence := time.Duration(federation.LinkTimeout)
	return replication.Options{
		Self: replication.Gateway{
			Name:        g.self.Name,
			Zone:        g.options.Config.Node.Zone,
			Incarnation: g.incarnation,
		},
		Links:          groupLinks{g},
		Group:          g.groupMembers,
		Run:            g.resume,
		NextStep:       g.successorStep,
		Heartbeat:      heartbeat(federation),
		Silence:        silence,
		Replicas:       federation.Replicas,
		Memory:         int(federation.Memory),
		Retention:      time.Duration(federation.ResponseRetention),
		MaxIntentAge:   silence / 2,
		RecoveryWindow: func() time.Duration { return g.policy.Load().longestDeadline },
		Now:            g.options.Clock.Now,
		Log:            g.options.Log,
	}
}

// peeringOptions are those of the hub of this gateway, with the topics of all who use its links.
func (g *Gateway) peeringOptions(federation *config.Federation) peering.Options {
	topics := maps.Clone(g.replicator.Topics())
	maps.Copy(topics, g.exchange.Topics())
	maps.Copy(topics, quota.Topics(g.limiter))
	return peering.Options{
		Self: peering.Peer{
			Partner:     g.self.Partner,
			Name:        g.self.Name,
			Zone:        g.options.Config.Node.Zone,
			Incarnation: g.incarnation,
			Calls:       requestAddress(g.options.Config),
		},
		Listen:  g.options.Config.Node.Peers.Listen,
		Key:     g.key,
		Topics:  topics,
		Up:      g.linkUp,
		Changed: g.linkChanged,
		Beat:    heartbeat(federation),
		Silence: time.Duration(federation.LinkTimeout),
		Log:     g.options.Log,
	}
}

// heartbeat is the time between two heartbeats of a link.
func heartbeat(federation *config.Federation) time.Duration {
	return time.Duration(federation.LinkTimeout) / 4
}

// Close ends all links and tasks, and returns once they have ended.
func (g *Gateway) Close() {
	g.cancel()
	g.replicator.Close()
	g.tasks.Wait()
	g.mu.Lock()
	limiters := g.limiters
	g.limiters = map[string]*quota.Limiter{}
	g.mu.Unlock()
	for _, limiter := range limiters {
		limiter.Close()
	}
	g.exchange.Close()
	g.hub.Load().Close()
}

// HandOver gives the replicated requests that have no response yet to successors of the group: the gateway shuts down.
func (g *Gateway) HandOver() { g.replicator.HandOver() }

// key is what links and envelopes of a partner are keyed by; nil: it is no partner.
func (g *Gateway) key(partner string) []byte {
	if partner == g.self.Partner {
		return g.options.Key
	}
	if !g.policy.Load().partners[partner] {
		return nil
	}
	return g.options.Keys[partner]
}

// linkUp notifies replication of links to the group, and sends routes to partners' gateways.
func (g *Gateway) linkUp(link *peering.Link) {
	if link.Peer.Partner == g.self.Partner {
		g.replicator.LinkUp(link)
		return
	}
	g.exchange.Up(link)
}

// linkChanged notifies replication of links to the group that have ended.
func (g *Gateway) linkChanged(peer peering.Peer, up bool, _ error) {
	if !up && peer.Partner == g.self.Partner {
		g.replicator.PeerLost(peer)
	}
}
