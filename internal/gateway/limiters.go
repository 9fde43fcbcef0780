package gateway

import "damsontrestle/internal/quota"

// setQuotas creates a limiter for each quota. A limiter whose candidates have not changed is kept and updated; the others are closed
// in the background.
func (g *Gateway) setQuotas(budgets []quota.Budget) {
	g.mu.Lock()
	var removed []*quota.Limiter
	next := map[string]*quota.Limiter{}
	for _, budget := range budgets {
		if old := g.limiters[budget.Name]; old != nil && old.SameCandidates(budget) {
			old.SetBudget(budget)
			next[budget.Name] = old
			continue
		}
		next[budget.Name] = quota.New(quota.Options{
			Budget: budget,
			Self:   g.self,
			LinkTo: g.hub.Load().Link,
			Now:    g.options.Clock.Now,
			Log:    g.options.Log,
		})
	}
	for name, old := range g.limiters {
		if next[name] != old {
			removed = append(removed, old)
		}
	}
	g.limiters = next
	g.mu.Unlock()
	for _, limiter := range removed {
		g.tasks.Go(limiter.Close)
	}
}

// quotaLimiter returns the limiter of a quota, or nil if there is none.
func (g *Gateway) quotaLimiter(name string) *quota.Limiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiters[name]
}
