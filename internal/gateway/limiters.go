package gateway

import "damsontrestle/internal/quota"

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
