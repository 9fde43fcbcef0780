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
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/membership"
	"damsontrestle/internal/peering"
	"damsontrestle/internal/quota"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/routeexchange"
	"damsontrestle/internal/splitmix"
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

// policy is what a configuration says of requests.
type policy struct {
	config          *config.Config
	classes         map[string]config.Class
	routedHeaders   []string // that routes look at
	partnerListener string   // of partners' requests
	quotas          []quota.Budget
	partners        map[string]bool
	longestDeadline time.Duration // that a client may wait over all its tries
}

// Status is what a gateway holds now.
type Status struct {
	Partner     string                  `json:"partner"`
	Incarnation uint64                  `json:"life"`
	Links       []LinkStatus            `json:"links"`
	Stats       peering.Stats           `json:"link_stats"`
	Replication replication.Status      `json:"custody"`
	Routes      routeexchange.Status    `json:"offers"`
	Quotas      map[string]quota.Status `json:"quotas,omitempty"`
}

// LinkStatus is one link.
type LinkStatus struct {
	Gateway     string        `json:"gateway"`
	Zone        string        `json:"zone,omitempty"`
	Incarnation uint64        `json:"life"`
	RTT         time.Duration `json:"rtt"`
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
	g.exchange = routeexchange.NewExchange(routeexchange.Options{Table: g.routes, Group: g.ownGateways, Heard: g.wakeConnect})
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

func newPolicy(cfg *config.Config) *policy {
	p := &policy{config: cfg, classes: map[string]config.Class{}, partnerListener: cfg.Federation.Listener, partners: map[string]bool{}}
	for _, class := range cfg.Classes {
		p.classes[class.Name] = class
		p.longestDeadline = max(p.longestDeadline, time.Duration(class.Deadline))
	}
	for _, r := range cfg.Routes {
		for _, h := range r.Headers {
			if !slices.Contains(p.routedHeaders, h.Name) {
				p.routedHeaders = append(p.routedHeaders, h.Name)
			}
		}
	}
	for _, q := range cfg.Quotas {
		b := quota.Budget{Terms: q.Terms(), Classes: q.Classes, Tenants: q.Tenants}
		for _, k := range q.Candidates {
			b.Candidates = append(b.Candidates, quota.ParseCandidate(k.Name))
		}
		p.quotas = append(p.quotas, b)
	}
	for _, n := range cfg.Partners {
		p.partners[n.Name] = true
	}
	return p
}

// offerPolicy is a configuration's part in offers.
func (g *Gateway) routePolicy(cfg *config.Config) routeexchange.Policy {
	p := routeexchange.Policy{Self: cfg.Federation.Partner, Neighbours: map[string]routeexchange.Neighbour{}, Stale: time.Duration(cfg.Federation.Stale), Share: 1 + len(g.options.Living())}
	for _, n := range cfg.Partners {
		p.Neighbours[n.Name] = routeexchange.Neighbour{Import: routeexchange.Import{Accept: n.Accept, Deny: n.Deny, Preference: n.Preference, MaxRoutes: n.MaxRoutes},
			Transit: routeexchange.Transit{To: n.PassOnTo, Cost: n.Cost, Replicated: isReplicated(cfg)}}
	}
	effects := map[config.Effect]balancer.Effect{config.Safe: balancer.Safe, config.Keyed: balancer.Keyed, config.Unsafe: balancer.Unsafe}
	for _, e := range cfg.Exports {
		o := routeexchange.Advertisement{ID: routeexchange.ID{Origin: p.Self, Name: e.Name}, Class: e.Class, Prefix: e.Path, Cost: e.Cost, Capacity: e.Capacity,
			Rules: routeexchange.Rules{All: e.All, To: e.To, NoTransit: !e.Transit, MaxHops: e.MaxHops, Tenants: e.Tenants, Excluded: e.Excluded}}
		o.Replicated = isReplicated(cfg)(e.Class)
		for _, v := range e.Effects {
			o.Rules.Effects |= routeexchange.Of(effects[v])
		}
		if at, err := time.Parse(time.RFC3339, e.Until); err == nil {
			o.Rules.Until = at.Unix()
		}
		p.Own = append(p.Own, o)
	}
	return p
}

// isReplicated says which classes a configuration has replicated.
func isReplicated(cfg *config.Config) func(class string) bool {
	return func(name string) bool {
		class, ok := cfg.Class(name)
		return ok && class.Replication != nil
	}
}

// Adopt has requests go by another configuration from now on. It does not block: it is called while no request is handed over, so that
// no request of a class, a quota or a partner of the one configuration goes by the rules of the other.
func (g *Gateway) Adopt(cfg *config.Config) {
	if cfg.Federation == nil {
		return // that takes a restart
	}
	p := newPolicy(cfg)
	g.setQuotas(p.quotas)
	g.policy.Store(p)
	g.routes.SetPolicy(g.routePolicy(cfg))
}

// Announce tells partners what the configuration that was adopted has changed.
func (g *Gateway) Announce() {
	g.exchange.Advertise()
	g.exchange.Ask()
	g.wakeConnect()
}

// setBudgets has a limiter for each budget. One whose quota candidates stay goes on.
func (g *Gateway) setQuotas(budgets []quota.Budget) {
	g.mu.Lock()
	var gone []*quota.Limiter
	next := map[string]*quota.Limiter{}
	for _, b := range budgets {
		if old := g.limiters[b.Name]; old != nil && old.SameCandidates(b) {
			old.Change(b)
			next[b.Name] = old
			continue
		}
		next[b.Name] = quota.New(quota.Options{Budget: b, Self: g.self, To: g.hub.Load().To, Now: g.options.Clock.Now, Log: g.options.Log})
	}
	for name, old := range g.limiters {
		if next[name] != old {
			gone = append(gone, old)
		}
	}
	g.limiters = next
	g.mu.Unlock()
	for _, limiter := range gone {
		g.tasks.Go(limiter.Close)
	}
}

// limiter is the one of a budget; nil: there is none.
func (g *Gateway) limiter(name string) *quota.Limiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiters[name]
}

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

// links are those of the own group, as replication has them.
type groupLinks struct{ *Gateway }

// To implements replication.Links.
func (l groupLinks) To(name string) *peering.Link {
	hub := l.hub.Load()
	if hub == nil {
		return nil
	}
	return hub.To(peering.GatewayID{Partner: l.self.Partner, Name: name})
}

// All implements replication.Links.
func (l groupLinks) All() []*peering.Link {
	hub := l.hub.Load()
	if hub == nil {
		return nil
	}
	return hub.Links(l.self.Partner)
}

// holders are the gateways of the own group that live, in the order of their names.
func (g *Gateway) groupMembers() []replication.Gateway {
	out := []replication.Gateway{{Name: g.self.Name, Zone: g.options.Config.Node.Zone, Incarnation: g.incarnation}}
	for _, m := range g.options.Living() {
		h := replication.Gateway{Name: m.Name, Zone: m.Zone}
		if link := (groupLinks{g}).To(m.Name); link != nil {
			h.Incarnation = link.Peer.Incarnation
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b replication.Gateway) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// callsAt is where partners' requests come in.
func requestAddress(cfg *config.Config) string {
	if cfg.Federation.Requests != "" {
		return cfg.Federation.Requests
	}
	l, _ := cfg.Listener(cfg.Federation.Listener)
	return l.Address
}

// group is what partners are told of: this gateway and those of its group that it has links to, as far as they take requests.
func (g *Gateway) ownGateways() (out []routeexchange.Gateway) {
	if at := requestAddress(g.options.Config); at != "" {
		out = append(out, routeexchange.Gateway{Name: g.self.Name, Calls: at, Zone: g.options.Config.Node.Zone})
	}
	for _, link := range (groupLinks{g}).All() {
		if link.Peer.Calls != "" {
			out = append(out, routeexchange.Gateway{Name: link.Peer.Name, Calls: link.Peer.Calls, Zone: link.Peer.Zone})
		}
	}
	slices.SortFunc(out, func(a, b routeexchange.Gateway) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// listen has the lists of partners' gateways looked at.
func (g *Gateway) wakeConnect() {
	select {
	case g.gatewaysChanged <- struct{}{}:
	default:
	}
}

// Times of connecting.
const (
	linkCheckInterval  = 100 * time.Millisecond
	gatherDelay        = 5 * time.Millisecond
	otherAfterSilences = 2 // times the silence that ends a link, after which another of a partner's gateways is tried
)

// connect holds links to those of the group whose names come later, to as many gateways of each partner as the file says, and
// to quota candidates; and gives partners' gateways to their pools.
func (g *Gateway) maintainLinks() {
	tick := time.NewTicker(linkCheckInterval)
	defer tick.Stop()
	kept := map[string]string{}
	first := map[string]int{} // of a partner's gateways, in the order of this one
	given := map[string][]routeexchange.Gateway{}
	var of *policy                  // that
	orders := map[string][]string{} // is by: each partner's gateways as this one tries them
	for {
		p := g.policy.Load()
		if p != of {
			of = p
			for _, n := range p.config.Partners {
				orders[n.Name] = g.tryOrder(n.Gateways)
			}
		}
		want := map[string]string{}
		living := g.options.Living()
		g.routes.SetShare(1 + len(living))
		for _, m := range living {
			if m.Name > g.self.Name {
				want[m.Addr.String()] = g.self.Partner
			}
		}
		for _, n := range p.config.Partners {
			order := orders[n.Name]
			for i := range min(n.Links, len(order)) {
				at := order[(first[n.Name]+i)%len(order)]
				if g.hub.Load().Down(at) > otherAfterSilences*time.Duration(p.config.Federation.Silence) && len(order) > n.Links {
					first[n.Name] += n.Links
					break
				}
				want[at] = n.Name
			}
		}
		for _, q := range p.config.Quotas {
			for _, k := range q.Candidates {
				if who := quota.ParseCandidate(k.Name); who.Partner != g.self.Partner {
					want[k.Address] = who.Partner
				}
			}
		}
		for at, partner := range want {
			if kept[at] != partner {
				g.hub.Load().Drop(at)
				g.hub.Load().Keep(at, partner)
				kept[at] = partner
			}
		}
		for at := range kept {
			if want[at] == "" {
				g.hub.Load().Drop(at)
				delete(kept, at)
			}
		}
		for _, n := range p.config.Partners {
			now := g.exchange.Gateways(n.Name)
			if !slices.Equal(now, given[n.Name]) {
				given[n.Name] = now
				g.options.List(n.Name, serverList(now))
			}
		}
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		case <-g.gatewaysChanged:
			clock.Sleep(g.ctx, gatherDelay) // of many that change, as when a fleet starts, one look is enough
		}
	}
}

// order is the order in which this gateway tries a partner's, another one for each gateway.
func (g *Gateway) tryOrder(addresses []string) []string {
	out := slices.Clone(addresses)
	self := g.self.String()
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(splitmix.Of(self, a), splitmix.Of(self, b)), cmp.Compare(a, b))
	})
	return out
}

// listOf are a partner's gateways as a pool has its servers.
func serverList(gateways []routeexchange.Gateway) discovery.List {
	l := discovery.List{Full: true}
	for _, w := range gateways {
		l.Targets = append(l.Targets, discovery.Target{Endpoint: w.Calls, Server: balancer.Server{ID: w.Name, Zone: w.Zone}})
	}
	return l
}

// Status is what the gateway holds now.
func (g *Gateway) Status() Status {
	s := Status{Partner: g.self.Partner, Incarnation: g.incarnation, Stats: g.hub.Load().Stats(), Replication: g.replicator.Status(), Routes: g.routes.Status(), Quotas: map[string]quota.Status{}}
	for _, link := range g.hub.Load().Links("") {
		s.Links = append(s.Links, LinkStatus{link.Peer.ID().String(), link.Peer.Zone, link.Peer.Incarnation, link.RTT()})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, limiter := range g.limiters {
		s.Quotas[name] = limiter.Status()
	}
	return s
}
