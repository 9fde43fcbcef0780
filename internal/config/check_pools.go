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
	for _, pool := range k.Pools {
		path := "pool." + pool.Name
		checkEnum(k, path+".protocol", pool.Protocol, HTTP1)
		k.number(path+".tier", pool.Tier, 0, maxTier)
		k.number(path+".attempts", pool.MaxAttempts, 1, maxAttempts)
		k.duration(path+".tick", pool.Tick, time.Microsecond, maxTick)
		k.duration(path+".retry_after", pool.MaxRetryAfter, 0, maxDeadline)
		k.number(path+".copies.count", pool.Balancers.Count, 1, maxBalancers)
		k.number(path+".copies.index", pool.Balancers.Index, 0, max(1, pool.Balancers.Count)-1)
		k.float(path+".shedding.whole", pool.Shedding.Total, 0, maxWeight)
		k.float(path+".shedding.worst_class", pool.Shedding.WorstClass, 0, maxWeight)
		k.number(path+".connections.most", pool.Connections.Max, 1, maxDescriptors)
		k.duration(path+".connections.idle", pool.Connections.IdleTimeout, 10*time.Millisecond, 24*time.Hour)
		k.duration(path+".connections.connect_timeout", pool.Connections.ConnectTimeout, time.Millisecond, time.Minute)
		k.float(path+".slow_start.from", pool.SlowStart.Minimum, 0.01, 1)
		k.duration(path+".slow_start.over", pool.SlowStart.Window, 0, time.Hour)
		if pool.LoadReports != (LoadReports{}) {
			k.name(path+".load_reports.busy", pool.LoadReports.BusyMetric)
			k.number(path+".load_reports.ask", pool.LoadReports.PollChoices, 0, maxPollChoices)
			if pollPath := pool.LoadReports.PollPath; pool.LoadReports.PollChoices == 1 {
				k.fail(path+".load_reports.ask", "found 1; allowed: 0, or 2 to %d: polling one server leaves no choice", maxPollChoices)
			} else if (pollPath != "") != (pool.LoadReports.PollChoices > 0) || pollPath != "" && (pollPath[0] != '/' || strings.ContainsFunc(pollPath, func(c rune) bool { return c <= ' ' || c > '~' })) {
				k.fail(path+".load_reports.ask_path", "found %q; allowed: a path of visible ASCII that begins with \"/\", and only with ask", pollPath)
			}
		}
		k.servers(path, pool)
		if !k.hasRoute(pool.Name) {
			k.warn(path, "no route selects it")
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
		k.fail(path, "found both a registry block and server blocks; allowed: one of them")
	case p.Registry == nil && len(p.Servers) == 0:
		k.fail(path, "found no servers; allowed: server blocks, or a registry block with the address of their list")
	}
	if r := p.Registry; r != nil {
		k.dialAddress(path+".registry.address", r.Address)
		checkEnum(k, path+".registry.mode", r.Mode, Pushed, Polled)
		if r.Mode == Polled {
			k.duration(path+".registry.ask_within", r.PollInterval, 100*time.Millisecond, time.Hour)
		} else if r.PollInterval != 0 {
			k.fail(path+".registry.ask_within", "found %v; allowed only with mode = \"asked\"", r.PollInterval)
		}
	}
	checkNames(k, path+".server", p.Servers, Server.name)
	for i, s := range p.Servers {
		serverPath := path + ".server." + s.Name
		k.dialAddress(serverPath+".address", s.Address)
		for _, other := range p.Servers[:i] {
			if other.Address == s.Address {
				k.fail(serverPath+".address", "found %q, which is the address of server %q", s.Address, other.Name)
			}
		}
		if s.Zone != "" {
			k.name(serverPath+".zone", s.Zone)
		}
		k.number(serverPath+".cell", s.Cell, 0, math.MaxInt32)
		k.float(serverPath+".size", s.Size, 0.001, 1e6)
		checkEnum(k, serverPath+".state", s.State, Ready, Draining)
	}
}
