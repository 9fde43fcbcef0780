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
func (c *Config) BalancerSettings(pool Pool) balancer.Settings {
	settings := balancer.Settings{
		Balancers:        pool.Balancers.Count,
		Index:            pool.Balancers.Index,
		Tier:             pool.Tier,
		TotalWeight:      pool.Shedding.Total,
		ClassWeight:      pool.Shedding.WorstClass,
		PollChoices:      pool.LoadReports.PollChoices,
		MaxAttempts:      pool.MaxAttempts,
		MayCancel:        pool.MayCancel,
		Tick:             time.Duration(pool.Tick),
		MaxRetryAfter:    time.Duration(pool.MaxRetryAfter),
		SlowStartMinimum: pool.SlowStart.Minimum,
		SlowStartWindow:  time.Duration(pool.SlowStart.Window),
	}
	for _, class := range c.Classes {
		balancerClass := class.BalancerClass()
		if _, isPartner := PartnerOfPool(pool.Name); isPartner && balancerClass.Effect == balancer.Keyed {
			// It isn't known here which servers of a partner discard duplicates, so the partner is asked for the outcome
			// instead of repeating the request.
			balancerClass.Effect = balancer.Unsafe
		}
		settings.Classes = append(settings.Classes, balancerClass)
	}
	if pool.Registry != nil {
		settings.PollDiscovery = pool.Registry.Mode == Polled
		settings.PollInterval = time.Duration(pool.Registry.PollInterval)
	}
	return settings
}
