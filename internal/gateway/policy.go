package gateway

import (
	"slices"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/quota"
	"damsontrestle/internal/routeexchange"
)

// policy is what a configuration says of requests. It is not changed any more once it is made.
type policy struct {
	config          *config.Config
	classes         map[string]config.Class
	routedHeaders   []string // that routes match
	partnerListener string   // of partners' requests; empty: there is none
	quotas          []quota.Budget
	partners        map[string]bool
	longestDeadline time.Duration // of all classes: no repeat of a key comes later
}

// newPolicy is the policy of a configuration with a federation block.
func newPolicy(cfg *config.Config) *policy {
	p := &policy{
		config:          cfg,
		classes:         map[string]config.Class{},
		partnerListener: cfg.Federation.Listener,
		partners:        map[string]bool{},
	}
	for _, class := range cfg.Classes {
		p.classes[class.Name] = class
		p.longestDeadline = max(p.longestDeadline, time.Duration(class.Deadline))
	}
	for _, route := range cfg.Routes {
		for _, header := range route.Headers {
			if !slices.Contains(p.routedHeaders, header.Name) {
				p.routedHeaders = append(p.routedHeaders, header.Name)
			}
		}
	}
	for _, q := range cfg.Quotas {
		budget := quota.Budget{Terms: q.Terms(), Classes: q.Classes, Tenants: q.Tenants}
		for _, candidate := range q.Candidates {
			budget.Candidates = append(budget.Candidates, quota.ParseCandidate(candidate.Name))
		}
		p.quotas = append(p.quotas, budget)
	}
	for _, partner := range cfg.Partners {
		p.partners[partner.Name] = true
	}
	return p
}

// routePolicy is what a configuration says of routes: from whom they are imported, to whom they go in transit, and this partner's
// own exports.
func (g *Gateway) routePolicy(cfg *config.Config) routeexchange.Policy {
	p := routeexchange.Policy{
		Self:       cfg.Federation.Partner,
		Neighbours: map[string]routeexchange.Neighbour{},
		Stale:      time.Duration(cfg.Federation.StaleOfferLifetime),
		GroupSize:  1 + len(g.options.Living()),
	}
	replicated := isReplicated(cfg)
	for _, partner := range cfg.Partners {
		p.Neighbours[partner.Name] = routeexchange.Neighbour{
			Import: routeexchange.Import{
				Accept:     partner.Accept,
				Deny:       partner.Deny,
				Preference: partner.Preference,
				MaxRoutes:  partner.MaxRoutes,
			},
			Transit: routeexchange.Transit{To: partner.ReadvertiseTo, Cost: partner.Cost, Replicated: replicated},
		}
	}
	for i := range cfg.Exports {
		export := &cfg.Exports[i]
		p.Own = append(p.Own, advertisement(p.Self, export, replicated(export.Class)))
	}
	return p
}

// advertisement is what partners are told of an export.
func advertisement(self string, export *config.Export, replicated bool) routeexchange.Advertisement {
	a := routeexchange.Advertisement{
		ID:       routeexchange.ID{Origin: self, Name: export.Name},
		Class:    export.Class,
		Prefix:   export.Path,
		Cost:     export.Cost,
		Capacity: export.Capacity,
		Rules: routeexchange.Rules{
			All:       export.All,
			To:        export.To,
			NoTransit: !export.Transit,
			MaxHops:   export.MaxHops,
			Tenants:   export.Tenants,
			Excluded:  export.ExcludedTenants,
		},
	}
	a.Replicated = replicated
	effects := map[config.Effect]balancer.Effect{
		config.Safe:   balancer.Safe,
		config.Keyed:  balancer.Keyed,
		config.Unsafe: balancer.Unsafe,
	}
	for _, effect := range export.Effects {
		a.Rules.Effects |= routeexchange.Of(effects[effect])
	}
	if until, err := time.Parse(time.RFC3339, export.Expiry); err == nil {
		a.Rules.Until = until.Unix()
	}
	return a
}

// isReplicated says which classes a configuration has replicated.
func isReplicated(cfg *config.Config) func(class string) bool {
	return func(name string) bool {
		class, ok := cfg.Class(name)
		return ok && class.Replication != nil
	}
}

// requestAddress is where partners' requests come in; empty: nowhere.
func requestAddress(cfg *config.Config) string {
	if cfg.Federation.RequestAddress != "" {
		return cfg.Federation.RequestAddress
	}
	listener, _ := cfg.Listener(cfg.Federation.Listener)
	return listener.Address
}

// Adopt has requests go by another configuration from now on. It does not block: it is called while no request is dispatched,
// so that no request of a class, a quota or a partner of the one configuration goes by the rules of the other. A configuration
// without a federation block takes a restart, and changes nothing here.
func (g *Gateway) Adopt(cfg *config.Config) {
	if cfg.Federation == nil {
		return // that takes a restart
	}
	p := newPolicy(cfg)
	g.setQuotas(p.quotas)
	g.policy.Store(p)
	g.routes.SetPolicy(g.routePolicy(cfg))
}

// Announce advertises to partners what the configuration that was adopted has changed.
func (g *Gateway) Announce() {
	g.exchange.Advertise()
	g.exchange.RequestRefresh()
	g.checkLinks()
}
