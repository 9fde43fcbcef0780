// Package gateway makes a node one of a federation: it holds the links to the others of its group and to partners, and takes
// a request's way through quota, replication and offers to the engine of a pool or to a partner. What is decided there is theirs;
// this package puts them one after another, the same for a request that has just come and for one that is taken over.
//
// What it promises:
//
//   - A request draws once from each budget that it matches, at the gateway that it came to first: what was drawn goes with it,
//     into replication and to partners.
//   - A request of a partner's is taken only with that partner's tag over it, by the rules of now.
//   - Every request that it takes has one answer within its client's time.
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
	Config *config.Config
	Key    []byte                                    // of the own group
	Keys   map[string][]byte                         // of partners
	Living func() []membership.Peer                  // the others of the group that live
	Calls  *dispatch.Dispatcher                      // that requests go on by
	List   func(partner string, list discovery.List) // takes a partner's gateways
	Clock  clock.Clock
	Log    *slog.Logger
}

// Gateway is a node's part in a federation.
type Gateway struct {
	options         Options
	self            peering.GatewayID
	incarnation     uint64
	hub             atomic.Pointer[peering.Hub] // nil until it is open: the tasks of advertisements and replication begin before it
	replicator      *replication.Replicator
	routes          *routeexchange.Table
	exchange        *routeexchange.Exchange
	ctx             context.Context
	cancel          context.CancelFunc
	tasks           sync.WaitGroup
	gatewaysChanged chan struct{} // a partner's gateways have changed
	policy          atomic.Pointer[policy]

	mu       sync.Mutex
	limiters map[string]*quota.Limiter
}

// Open opens the links. Requests come once the dispatcher has it as its Guard.
func Open(options Options) (*Gateway, error) {
	federation := options.Config.Federation
	g := &Gateway{options: options, self: peering.GatewayID{Partner: federation.Partner, Name: options.Config.Node.Name}, incarnation: rand.Uint64()>>1 + 1, gatewaysChanged: make(chan struct{}, 1),
		limiters: map[string]*quota.Limiter{}}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	p := newPolicy(options.Config)
	g.policy.Store(p)
	g.routes = routeexchange.NewTable(g.routePolicy(options.Config), time.Now)
	g.exchange = routeexchange.NewExchange(routeexchange.Options{Table: g.routes, Group: g.ownGateways, Heard: g.checkLinks})
	g.replicator = replication.New(replication.Options{Self: replication.Gateway{Name: g.self.Name, Zone: options.Config.Node.Zone, Incarnation: g.incarnation}, Links: groupLinks{g}, Group: g.groupMembers,
		Run: g.resume, Step: g.successorStep, Heartbeat: heartbeat(federation), Silence: time.Duration(federation.Silence), Replicas: federation.Holders, Memory: int(federation.Memory), Retention: time.Duration(federation.Keep), MaxIntentAge: time.Duration(federation.Silence) / 2, RecoveryWindow: func() time.Duration { return g.policy.Load().longestDeadline }, Now: options.Clock.Now, Log: options.Log})
	topics := maps.Clone(g.replicator.Topics())
	maps.Copy(topics, g.exchange.Topics())
	maps.Copy(topics, quota.Topics(g.limiter))
	silence := time.Duration(federation.Silence)
	hub, err := peering.Open(peering.Options{Self: peering.Peer{Partner: g.self.Partner, Name: g.self.Name, Zone: options.Config.Node.Zone, Incarnation: g.incarnation, Calls: requestAddress(options.Config)},
		Listen: options.Config.Node.Peers.Listen, Key: g.key, Topics: topics, Up: g.linkUp, Changed: g.linkChanged, Beat: heartbeat(federation), Silence: silence, Log: options.Log})
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

// beat is the time between two heartbeats of a link.
func heartbeat(federation *config.Federation) time.Duration {
	return time.Duration(federation.Silence) / 4
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

// HandOver gives the requests replicated that are not answered yet to others of the group: this gateway ends.
func (g *Gateway) HandOver() { g.replicator.HandOver() }

// key is what links with a partner's gateways are keyed by.
func (g *Gateway) key(partner string) []byte {
	if partner == g.self.Partner {
		return g.options.Key
	}
	if !g.policy.Load().partners[partner] {
		return nil
	}
	return g.options.Keys[partner]
}

// up has a partner's gateway told of advertisements.
func (g *Gateway) linkUp(link *peering.Link) {
	if link.Peer.Partner != g.self.Partner {
		g.exchange.Up(link)
	} else {
		g.replicator.Linked(link)
	}
}

func (g *Gateway) linkChanged(p peering.Peer, up bool, _ error) {
	if !up && p.Partner == g.self.Partner {
		g.replicator.PeerLost(p)
	}
}
