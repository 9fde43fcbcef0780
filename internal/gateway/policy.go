package gateway

import (
	"slices"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/quota"
	"damsontrestle/internal/routeexchange"
)

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

// callsAt is where partners' requests come in.
func requestAddress(cfg *config.Config) string {
	if cfg.Federation.Requests != "" {
		return cfg.Federation.Requests
	}
	l, _ := cfg.Listener(cfg.Federation.Listener)
	return l.Address
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
	g.checkLinks()
}
