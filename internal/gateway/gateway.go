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

// Options are the parameters of a Gateway.
type Options struct {
	Config      *config.Config    // must have a federation block
	GroupKey    []byte            // key of this partner's own group
	PartnerKeys map[string][]byte // by partner
	// ActiveMembers returns the other gateways of the group that are alive or suspect.
	ActiveMembers func() []membership.Peer
	// Dispatcher receives the requests that go to a pool.
	Dispatcher *dispatch.Dispatcher
	// UpdateEndpoints sets the endpoint list of the pool of a partner.
	UpdateEndpoints func(partner string, list discovery.List)
	Clock           clock.Clock
	Log             *slog.Logger
}

// Gateway is a node's gateway in a federation. Its methods are safe for concurrent use.
type Gateway struct {
	options         Options
	self            peering.GatewayID
	incarnation     uint64
	hub             atomic.Pointer[peering.Hub] // nil until Open has opened it: goroutines of route exchange and replication start earlier
	replicator      *replication.Replicator
	routes          *routeexchange.Table
	exchange        *routeexchange.Exchange
	ctx             context.Context // cancelled by Close; tasks may outlive the requests that started them
	cancel          context.CancelFunc
	tasks           sync.WaitGroup
	gatewaysChanged chan struct{} // triggers a check in maintainLinks
	policy          atomic.Pointer[policy]

	mu       sync.Mutex
	limiters map[string]*quota.Limiter // by quota
}

// Open starts the gateway and its links. It receives requests once it is the dispatcher's Interceptor. The caller must call Close.
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
	g.exchange = routeexchange.NewExchange(routeexchange.Options{Table: g.routes, OwnGateways: g.ownGateways, GatewaysChanged: g.triggerLinkCheck})
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

// replicationOptions returns the options of the gateway's replicator.
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
		Heartbeat:      heartbeatInterval(federation),
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

// peeringOptions returns the options of the gateway's hub, with the topics of all packages that use its links.
func (g *Gateway) peeringOptions(federation *config.Federation) peering.Options {
	topics := maps.Clone(g.replicator.Topics())
	maps.Copy(topics, g.exchange.Topics())
	maps.Copy(topics, quota.Topics(g.quotaLimiter))
	return peering.Options{
		Self: peering.Peer{
			Partner:     g.self.Partner,
			Name:        g.self.Name,
			Zone:        g.options.Config.Node.Zone,
			Incarnation: g.incarnation,
			RequestAddr: requestAddress(g.options.Config),
		},
		Listen:            g.options.Config.Node.Peers.Listen,
		Key:               g.key,
		Topics:            topics,
		OnLinkUp:          g.linkUp,
		OnPeerChange:      g.linkChanged,
		HeartbeatInterval: heartbeatInterval(federation),
		HeartbeatTimeout:  time.Duration(federation.LinkTimeout),
		Log:               g.options.Log,
	}
}

// heartbeatInterval returns the interval between heartbeats of a link.
func heartbeatInterval(federation *config.Federation) time.Duration {
	return time.Duration(federation.LinkTimeout) / 4
}

// Close closes all links and returns once all tasks have ended.
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

// HandOver hands over the replicated requests without a response to successors in the group, before a shutdown.
func (g *Gateway) HandOver() { g.replicator.HandOver() }

// key returns the key for links and envelopes of a partner, or nil if there is no such partner.
func (g *Gateway) key(partner string) []byte {
	if partner == g.self.Partner {
		return g.options.GroupKey
	}
	if !g.policy.Load().partners[partner] {
		return nil
	}
	return g.options.PartnerKeys[partner]
}

// linkUp notifies replication of a link to the group, or route exchange, which sends routes, of a link to a partner.
func (g *Gateway) linkUp(link *peering.Link) {
	if link.Peer.Partner == g.self.Partner {
		g.replicator.LinkUp(link)
		return
	}
	g.exchange.LinkUp(link)
}

// linkChanged notifies replication when the last link to a gateway of the group has ended.
func (g *Gateway) linkChanged(peer peering.Peer, up bool, _ error) {
	if !up && peer.Partner == g.self.Partner {
		g.replicator.PeerLost(peer)
	}
}
