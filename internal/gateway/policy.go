package gateway

import (
	"slices"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/quota"
	"damsontrestle/internal/routeexchange"
)

// policy holds the parts of a configuration that apply to requests. It is immutable.
type policy struct {
	config          *config.Config
	classes         map[string]config.Class
	routedHeaders   []string // names of the headers that routes match
	partnerListener string   // listener of partners' requests; empty: there is none
	quotas          []quota.Budget
	partners        map[string]bool
	longestDeadline time.Duration // of all classes; no duplicate of a key arrives after it
}

// newPolicy returns the policy of a configuration, which must have a federation block.
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

// routePolicy returns the route exchange policy of a configuration: import and transit rules for each partner, and this partner's
// own exports.
func (g *Gateway) routePolicy(cfg *config.Config) routeexchange.Policy {
	p := routeexchange.Policy{
		Self:         cfg.Federation.Partner,
		Neighbours:   map[string]routeexchange.Neighbour{},
		StaleTime:    time.Duration(cfg.Federation.StaleOfferLifetime),
		GatewayCount: 1 + len(g.options.ActiveMembers()),
	}
	replicated := replicatedClasses(cfg)
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

// advertisement returns the advertisement of an export.
func advertisement(self string, export *config.Export, replicated bool) routeexchange.Advertisement {
	a := routeexchange.Advertisement{
		ID:       routeexchange.ID{Origin: self, Name: export.Name},
		Class:    export.Class,
		Prefix:   export.Path,
		Cost:     export.Cost,
		Capacity: export.Capacity,
		Rules: routeexchange.Rules{
			AnyPartner:      export.All,
			Partners:        export.To,
			NoTransit:       !export.Transit,
			MaxHops:         export.MaxHops,
			Tenants:         export.Tenants,
			ExcludedTenants: export.ExcludedTenants,
		},
	}
	a.Replicated = replicated
	effects := map[config.Effect]balancer.Effect{
		config.Safe:   balancer.Safe,
		config.Keyed:  balancer.Keyed,
		config.Unsafe: balancer.Unsafe,
	}
	for _, effect := range export.Effects {
		a.Rules.Effects |= routeexchange.EffectsOf(effects[effect])
	}
	if until, err := time.Parse(time.RFC3339, export.Expiry); err == nil {
		a.Rules.Until = until.Unix()
	}
	return a
}

// replicatedClasses returns a function that reports whether a class is replicated in a configuration.
func replicatedClasses(cfg *config.Config) func(class string) bool {
	return func(name string) bool {
		class, ok := cfg.Class(name)
		return ok && class.Replication != nil
	}
}

// requestAddress returns the address for partners' requests, or an empty string if there is none.
func requestAddress(cfg *config.Config) string {
	if cfg.Federation.RequestAddress != "" {
		return cfg.Federation.RequestAddress
	}
	listener, _ := cfg.Listener(cfg.Federation.Listener)
	return listener.Address
}

// SetConfig applies another configuration to later requests. It must be called while no request is dispatched, so that no request of
// a class, quota or partner of one configuration is handled by the rules of the other, and therefore does not block. It ignores a
// configuration without a federation block: that change takes effect at a restart.
func (g *Gateway) SetConfig(cfg *config.Config) {
	if cfg.Federation == nil {
		return // needs a restart
	}
	p := newPolicy(cfg)
	g.setQuotas(p.quotas)
	g.policy.Store(p)
	g.routes.SetPolicy(g.routePolicy(cfg))
}

// AdvertiseChanges sends partners the changes of the configuration that SetConfig applied.
func (g *Gateway) AdvertiseChanges() {
	g.exchange.Advertise()
	g.exchange.RequestRefresh()
	g.triggerLinkCheck()
}
