package config

import (
	"time"

	"damsontrestle/internal/balancer"
)

var effects = map[Effect]balancer.Effect{
	Unsafe: balancer.Unsafe,
	Keyed:  balancer.Keyed,
	Safe:   balancer.Safe,
}

var scopes = map[Scope]balancer.Scope{
	CellScope: balancer.ScopeCell,
	ZoneScope: balancer.ScopeZone,
	AllScope:  balancer.ScopeAll,
}

// BalancerClass returns the class as the balancer represents it.
func (c Class) BalancerClass() balancer.Class {
	return balancer.Class{
		Name:             c.Name,
		Effect:           effects[c.Effect],
		Scope:            scopes[c.KeyScope],
		Window:           time.Duration(c.Window),
		LatencyObjective: time.Duration(c.LatencyObjective),
		Deadline:         time.Duration(c.Deadline),
		LateShare:        c.LateShare,
		PriorityWeight:   c.PriorityWeight,
	}
}

// BalancerSettings returns the settings of the Balancer of a pool.
func (c *Config) BalancerSettings(p Pool) balancer.Settings {
	s := balancer.Settings{
		Balancers:        p.Balancers.Count,
		Index:            p.Balancers.Index,
		Tier:             p.Tier,
		TotalWeight:      p.Shedding.Total,
		ClassWeight:      p.Shedding.WorstClass,
		PollChoices:      p.LoadReports.PollChoices,
		MaxAttempts:      p.MaxAttempts,
		MayCancel:        p.MayCancel,
		Tick:             time.Duration(p.Tick),
		MaxRetryAfter:    time.Duration(p.MaxRetryAfter),
		SlowStartMinimum: p.SlowStart.Minimum,
		SlowStartWindow:  time.Duration(p.SlowStart.Window),
	}
	for _, class := range c.Classes {
		balancerClass := class.BalancerClass()
		if _, isPartner := PartnerOfPool(p.Name); isPartner && balancerClass.Effect == balancer.Keyed {
			// It isn't known here which servers of a partner discard duplicates, so the partner is asked for the outcome
			// instead of repeating the request.
			balancerClass.Effect = balancer.Unsafe
		}
		s.Classes = append(s.Classes, balancerClass)
	}
	if p.Registry != nil {
		s.PollDiscovery = p.Registry.Mode == Polled
		s.PollInterval = time.Duration(p.Registry.PollInterval)
	}
	return s
}
