package config

import (
	"math"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/route"
)

func (k *checker) pools() {
	if len(k.Pools) == 0 {
		k.fail("pool", "there is none; at least one must be defined")
	}
	checkNames(k, "pool", k.Pools, Pool.name)
	for _, p := range k.Pools {
		path := "pool." + p.Name
		checkEnum(k, path+".protocol", p.Protocol, HTTP1)
		k.number(path+".tier", p.Tier, 0, maxTier)
		k.number(path+".attempts", p.MaxAttempts, 1, maxAttempts)
		k.duration(path+".tick", p.Tick, time.Microsecond, maxTickLength)
		k.duration(path+".retry_after", p.MaxRetryAfter, 0, maxDeadline)
		k.number(path+".copies.count", p.Balancers.Count, 1, maxBalancers)
		k.number(path+".copies.index", p.Balancers.Index, 0, max(1, p.Balancers.Count)-1)
		k.float(path+".shedding.whole", p.Shedding.Total, 0, maxWeight)
		k.float(path+".shedding.worst_class", p.Shedding.WorstClass, 0, maxWeight)
		k.number(path+".connections.most", p.Connections.Max, 1, maxDescriptors)
		k.duration(path+".connections.idle", p.Connections.IdleTimeout, 10*time.Millisecond, 24*time.Hour)
		k.duration(path+".connections.connect_timeout", p.Connections.ConnectTimeout, time.Millisecond, time.Minute)
		k.float(path+".slow_start.from", p.SlowStart.Minimum, 0.01, 1)
		k.duration(path+".slow_start.over", p.SlowStart.Window, 0, time.Hour)
		if p.LoadReports != (LoadReports{}) {
			k.name(path+".load_reports.busy", p.LoadReports.BusyMetric)
			k.number(path+".load_reports.ask", p.LoadReports.PollChoices, 0, maxPollChoices)
			if at := p.LoadReports.PollPath; p.LoadReports.PollChoices == 1 {
				k.fail(path+".load_reports.ask", "found 1; allowed: 0, or 2 to %d: there is nothing to choose from one", maxPollChoices)
			} else if (at != "") != (p.LoadReports.PollChoices > 0) || at != "" && (at[0] != '/' || strings.ContainsFunc(at, func(c rune) bool { return c <= ' ' || c > '~' })) {
				k.fail(path+".load_reports.ask_path", "found %q; allowed: a path from \"/\" on of visible ASCII, and only with ask", at)
			}
		}
		k.servers(path, p)
		if !k.hasRoute(p.Name) {
			k.warn(path, "no route leads to it")
		}
	}
}

func (k *checker) hasRoute(pool string) bool {
	return slices.ContainsFunc(k.Routes, func(r route.Route) bool {
		return slices.ContainsFunc(r.To, func(t route.Target) bool { return t.Pool == pool })
	})
}

func (k *checker) servers(path string, p Pool) {
	switch {
	case p.Registry != nil && len(p.Servers) > 0:
		k.fail(path, "it has both a registry and servers of its own; allowed: one of them")
	case p.Registry == nil && len(p.Servers) == 0:
		k.fail(path, "it has no servers; allowed: server blocks, or a registry block that tells where their list is")
	}
	if r := p.Registry; r != nil {
		k.dialAddress(path+".registry.address", r.Address)
		checkEnum(k, path+".registry.mode", r.Mode, Pushed, Polled)
		if r.Mode == Polled {
			k.duration(path+".registry.ask_within", r.PollInterval, 100*time.Millisecond, time.Hour)
		} else if r.PollInterval != 0 {
			k.fail(path+".registry.ask_within", "found %v; it belongs to mode = \"asked\"", r.PollInterval)
		}
	}
	checkNames(k, path+".server", p.Servers, Server.name)
	for i, s := range p.Servers {
		sp := path + ".server." + s.Name
		k.dialAddress(sp+".address", s.Address)
		for _, o := range p.Servers[:i] {
			if o.Address == s.Address {
				k.fail(sp+".address", "found %q, which server %q has", s.Address, o.Name)
			}
		}
		if s.Zone != "" {
			k.name(sp+".zone", s.Zone)
		}
		k.number(sp+".cell", s.Cell, 0, math.MaxInt32)
		k.float(sp+".size", s.Size, 0.001, 1e6)
		checkEnum(k, sp+".state", s.State, Ready, Draining)
	}
}
