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
	o           Options
	self        peering.GatewayID
	incarnation uint64
	hub         atomic.Pointer[peering.Hub] // nil until it is open: the tasks of advertisements and replication begin before it
	replicator  *replication.Replicator
	table       *routeexchange.Table
	offers      *routeexchange.Exchange
	ctx         context.Context
	end         context.CancelFunc
	tasks       sync.WaitGroup
	heard       chan struct{} // a partner's gateways have changed
	policy      atomic.Pointer[policy]

	mu       sync.Mutex
	limiters map[string]*quota.Limiter
}

// policy is what a configuration says of requests.
type policy struct {
	cfg      *config.Config
	classes  map[string]config.Class
	headers  []string // that routes look at
	listener string   // of partners' requests
	budgets  []quota.Budget
	partners map[string]bool
	longest  time.Duration // that a client may wait over all its tries
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
func Open(o Options) (*Gateway, error) {
	f := o.Config.Federation
	g := &Gateway{o: o, self: peering.GatewayID{Partner: f.Partner, Name: o.Config.Node.Name}, incarnation: rand.Uint64()>>1 + 1, heard: make(chan struct{}, 1),
		limiters: map[string]*quota.Limiter{}}
	g.ctx, g.end = context.WithCancel(context.Background())
	p := newPolicy(o.Config)
	g.policy.Store(p)
	g.table = routeexchange.NewTable(g.offerPolicy(o.Config), time.Now)
	g.offers = routeexchange.NewExchange(routeexchange.Options{Table: g.table, Group: g.group, Heard: g.listen})
	g.replicator = replication.New(replication.Options{Self: replication.Gateway{Name: g.self.Name, Zone: o.Config.Node.Zone, Incarnation: g.incarnation}, Links: links{g}, Group: g.holders,
		Run: g.resume, Step: g.step, Heartbeat: beat(f), Silence: time.Duration(f.Silence), Replicas: f.Holders, Memory: int(f.Memory), Retention: time.Duration(f.Keep), MaxIntentAge: time.Duration(f.Silence) / 2, RecoveryWindow: func() time.Duration { return g.policy.Load().longest }, Now: o.Clock.Now, Log: o.Log})
	topics := maps.Clone(g.replicator.Topics())
	maps.Copy(topics, g.offers.Topics())
	maps.Copy(topics, quota.Topics(g.limiter))
	silence := time.Duration(f.Silence)
	hub, err := peering.Open(peering.Options{Self: peering.Peer{Partner: g.self.Partner, Name: g.self.Name, Zone: o.Config.Node.Zone, Incarnation: g.incarnation, Calls: callsAt(o.Config)},
		Listen: o.Config.Node.Peers.Listen, Key: g.key, Topics: topics, Up: g.up, Changed: g.changed, Beat: beat(f), Silence: silence, Log: o.Log})
	if err != nil {
		g.end()
		g.offers.Close()
		g.replicator.Close()
		return nil, fmt.Errorf("gateway: %w", err)
	}
	g.hub.Store(hub)
	g.setBudgets(p.budgets)
	g.tasks.Go(g.connect)
	return g, nil
}

// beat is the time between two heartbeats of a link.
func beat(f *config.Federation) time.Duration { return time.Duration(f.Silence) / 4 }

// Close ends all links and tasks, and returns once they have ended.
func (g *Gateway) Close() {
	g.end()
	g.replicator.Close()
	g.tasks.Wait()
	g.mu.Lock()
	limiters := g.limiters
	g.limiters = map[string]*quota.Limiter{}
	g.mu.Unlock()
	for _, p := range limiters {
		p.Close()
	}
	g.offers.Close()
	g.hub.Load().Close()
}

// HandOver gives the requests replicated that are not answered yet to others of the group: this gateway ends.
func (g *Gateway) HandOver() { g.replicator.HandOver() }

func newPolicy(c *config.Config) *policy {
	p := &policy{cfg: c, classes: map[string]config.Class{}, listener: c.Federation.Listener, partners: map[string]bool{}}
	for _, class := range c.Classes {
		p.classes[class.Name] = class
		p.longest = max(p.longest, time.Duration(class.Deadline))
	}
	for _, r := range c.Routes {
		for _, h := range r.Headers {
			if !slices.Contains(p.headers, h.Name) {
				p.headers = append(p.headers, h.Name)
			}
		}
	}
	for _, q := range c.Quotas {
		b := quota.Budget{Terms: q.Terms(), Classes: q.Classes, Tenants: q.Tenants}
		for _, k := range q.Candidates {
			b.Candidates = append(b.Candidates, quota.ParseCandidate(k.Name))
		}
		p.budgets = append(p.budgets, b)
	}
	for _, n := range c.Partners {
		p.partners[n.Name] = true
	}
	return p
}

// offerPolicy is a configuration's part in offers.
func (g *Gateway) offerPolicy(c *config.Config) routeexchange.Policy {
	p := routeexchange.Policy{Self: c.Federation.Partner, Neighbours: map[string]routeexchange.Neighbour{}, Stale: time.Duration(c.Federation.Stale), Share: 1 + len(g.o.Living())}
	for _, n := range c.Partners {
		p.Neighbours[n.Name] = routeexchange.Neighbour{Import: routeexchange.Import{Accept: n.Accept, Deny: n.Deny, Preference: n.Preference, MaxRoutes: n.MaxRoutes},
			Transit: routeexchange.Transit{To: n.PassOnTo, Cost: n.Cost, Replicated: isReplicated(c)}}
	}
	effects := map[config.Effect]balancer.Effect{config.Safe: balancer.Safe, config.Keyed: balancer.Keyed, config.Unsafe: balancer.Unsafe}
	for _, e := range c.Exports {
		o := routeexchange.Advertisement{ID: routeexchange.ID{Origin: p.Self, Name: e.Name}, Class: e.Class, Prefix: e.Path, Cost: e.Cost, Capacity: e.Capacity,
			Rules: routeexchange.Rules{All: e.All, To: e.To, NoTransit: !e.Transit, MaxHops: e.MaxHops, Tenants: e.Tenants, Excluded: e.Excluded}}
		o.Replicated = isReplicated(c)(e.Class)
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
func isReplicated(c *config.Config) func(class string) bool {
	return func(name string) bool {
		class, ok := c.Class(name)
		return ok && class.Replication != nil
	}
}

// Adopt has requests go by another configuration from now on. It does not block: it is called while no request is handed over, so that
// no request of a class, a quota or a partner of the one configuration goes by the rules of the other.
func (g *Gateway) Adopt(c *config.Config) {
	if c.Federation == nil {
		return // that takes a restart
	}
	p := newPolicy(c)
	g.setBudgets(p.budgets)
	g.policy.Store(p)
	g.table.SetPolicy(g.offerPolicy(c))
}

// Announce tells partners what the configuration that was adopted has changed.
func (g *Gateway) Announce() {
	g.offers.Advertise()
	g.offers.Ask()
	g.listen()
}

// setBudgets has a limiter for each budget. One whose quota candidates stay goes on.
func (g *Gateway) setBudgets(budgets []quota.Budget) {
	g.mu.Lock()
	var gone []*quota.Limiter
	next := map[string]*quota.Limiter{}
	for _, b := range budgets {
		if old := g.limiters[b.Name]; old != nil && old.SameCandidates(b) {
			old.Change(b)
			next[b.Name] = old
			continue
		}
		next[b.Name] = quota.New(quota.Options{Budget: b, Self: g.self, To: g.hub.Load().To, Now: g.o.Clock.Now, Log: g.o.Log})
	}
	for name, old := range g.limiters {
		if next[name] != old {
			gone = append(gone, old)
		}
	}
	g.limiters = next
	g.mu.Unlock()
	for _, p := range gone {
		g.tasks.Go(p.Close)
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
		return g.o.Key
	}
	if !g.policy.Load().partners[partner] {
		return nil
	}
	return g.o.Keys[partner]
}

// up has a partner's gateway told of advertisements.
func (g *Gateway) up(l *peering.Link) {
	if l.Peer.Partner != g.self.Partner {
		g.offers.Up(l)
	} else {
		g.replicator.Linked(l)
	}
}

func (g *Gateway) changed(p peering.Peer, up bool, _ error) {
	if !up && p.Partner == g.self.Partner {
		g.replicator.PeerLost(p)
	}
}

// links are those of the own group, as replication has them.
type links struct{ *Gateway }

// To implements replication.Links.
func (l links) To(name string) *peering.Link {
	hub := l.hub.Load()
	if hub == nil {
		return nil
	}
	return hub.To(peering.GatewayID{Partner: l.self.Partner, Name: name})
}

// All implements replication.Links.
func (l links) All() []*peering.Link {
	hub := l.hub.Load()
	if hub == nil {
		return nil
	}
	return hub.Links(l.self.Partner)
}

// holders are the gateways of the own group that live, in the order of their names.
func (g *Gateway) holders() []replication.Gateway {
	out := []replication.Gateway{{Name: g.self.Name, Zone: g.o.Config.Node.Zone, Incarnation: g.incarnation}}
	for _, m := range g.o.Living() {
		h := replication.Gateway{Name: m.Name, Zone: m.Zone}
		if l := (links{g}).To(m.Name); l != nil {
			h.Incarnation = l.Peer.Incarnation
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b replication.Gateway) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// callsAt is where partners' requests come in.
func callsAt(c *config.Config) string {
	if c.Federation.Requests != "" {
		return c.Federation.Requests
	}
	l, _ := c.Listener(c.Federation.Listener)
	return l.Address
}

// group is what partners are told of: this gateway and those of its group that it has links to, as far as they take requests.
func (g *Gateway) group() (out []routeexchange.Gateway) {
	if at := callsAt(g.o.Config); at != "" {
		out = append(out, routeexchange.Gateway{Name: g.self.Name, Calls: at, Zone: g.o.Config.Node.Zone})
	}
	for _, l := range (links{g}).All() {
		if l.Peer.Calls != "" {
			out = append(out, routeexchange.Gateway{Name: l.Peer.Name, Calls: l.Peer.Calls, Zone: l.Peer.Zone})
		}
	}
	slices.SortFunc(out, func(a, b routeexchange.Gateway) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// listen has the lists of partners' gateways looked at.
func (g *Gateway) listen() {
	select {
	case g.heard <- struct{}{}:
	default:
	}
}

// Times of connecting.
const (
	connectEvery = 100 * time.Millisecond
	gather       = 5 * time.Millisecond
	otherAfter   = 2 // times the silence that ends a link, after which another of a partner's gateways is tried
)

// connect holds links to those of the group whose names come later, to as many gateways of each partner as the file says, and
// to quota candidates; and gives partners' gateways to their pools.
func (g *Gateway) connect() {
	tick := time.NewTicker(connectEvery)
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
			for _, n := range p.cfg.Partners {
				orders[n.Name] = g.order(n.Gateways)
			}
		}
		want := map[string]string{}
		living := g.o.Living()
		g.table.SetShare(1 + len(living))
		for _, m := range living {
			if m.Name > g.self.Name {
				want[m.Addr.String()] = g.self.Partner
			}
		}
		for _, n := range p.cfg.Partners {
			order := orders[n.Name]
			for i := range min(n.Links, len(order)) {
				at := order[(first[n.Name]+i)%len(order)]
				if g.hub.Load().Down(at) > otherAfter*time.Duration(p.cfg.Federation.Silence) && len(order) > n.Links {
					first[n.Name] += n.Links
					break
				}
				want[at] = n.Name
			}
		}
		for _, q := range p.cfg.Quotas {
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
		for _, n := range p.cfg.Partners {
			now := g.offers.Gateways(n.Name)
			if !slices.Equal(now, given[n.Name]) {
				given[n.Name] = now
				g.o.List(n.Name, listOf(now))
			}
		}
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		case <-g.heard:
			clock.Sleep(g.ctx, gather) // of many that change, as when a fleet starts, one look is enough
		}
	}
}

// order is the order in which this gateway tries a partner's, another one for each gateway.
func (g *Gateway) order(addresses []string) []string {
	out := slices.Clone(addresses)
	self := g.self.String()
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(splitmix.Of(self, a), splitmix.Of(self, b)), cmp.Compare(a, b))
	})
	return out
}

// listOf are a partner's gateways as a pool has its servers.
func listOf(gateways []routeexchange.Gateway) discovery.List {
	l := discovery.List{Full: true}
	for _, w := range gateways {
		l.Targets = append(l.Targets, discovery.Target{Endpoint: w.Calls, Server: balancer.Server{ID: w.Name, Zone: w.Zone}})
	}
	return l
}

// Status is what the gateway holds now.
func (g *Gateway) Status() Status {
	s := Status{Partner: g.self.Partner, Incarnation: g.incarnation, Stats: g.hub.Load().Stats(), Replication: g.replicator.Status(), Routes: g.table.Status(), Quotas: map[string]quota.Status{}}
	for _, l := range g.hub.Load().Links("") {
		s.Links = append(s.Links, LinkStatus{l.Peer.ID().String(), l.Peer.Zone, l.Peer.Incarnation, l.RTT()})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, p := range g.limiters {
		s.Quotas[name] = p.Status()
	}
	return s
}
