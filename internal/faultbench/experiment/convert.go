package experiment

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"

	"damsontrestle/internal/zonestate"
)

func (r *reader) experiment(f *file, top hcl.Range) *Experiment {
	exp := &Experiment{}
	if f.Experiment == nil || f.Callers == nil || len(f.Zones) == 0 || len(f.Nodes) == 0 || len(f.Servers) == 0 || len(f.Classes) == 0 {
		r.errorAt(top, "", "allowed: one experiment and one callers block, and at least one each of zone, nodes, servers and class")
		return exp
	}
	b := block{r, f.Experiment.Body, "experiment." + f.Experiment.Name}
	exp.Name, exp.Note, exp.Seed = f.Experiment.Name, f.Experiment.Note, f.Experiment.Seed
	exp.ProbeInterval = b.duration("peers", f.Experiment.Peers, 100*time.Millisecond, time.Minute)
	if exp.ZoneStateMaxAge = b.duration("fresh", f.Experiment.Fresh, zonestate.MinFreshAge(zonestate.DefaultDelay), time.Minute); exp.ZoneStateMaxAge > 0 && exp.ProbeInterval == 0 {
		b.errorf("fresh", "found %q; allowed: only if peers is set", f.Experiment.Fresh)
	}
	exp.WarmUp = b.duration("warm_up", f.Experiment.WarmUp, 0, maxDuration)
	exp.Measure = b.duration("measure", f.Experiment.Measure, 100*time.Millisecond, maxDuration)
	if !validName(exp.Name) {
		b.errorf("", "found the name %q; allowed: letters, digits, \"-\" and \"_\"", exp.Name)
	}
	if exp.Seed == 0 || exp.Measure == 0 && f.Experiment.Measure == "" {
		b.errorf("", "seed or measure is missing; allowed: a seed above 0 and a duration")
	}
	var zones []string
	for _, z := range f.Zones {
		zb := block{r, z.Body, "zone." + z.Name}
		if slices.Contains(zones, z.Name) || z.Name == "" || len(z.Name) > 16 || z.Name == RegistryZone {
			zb.errorf("", "invalid zone name: duplicate, empty, longer than 16 bytes, or %q", RegistryZone)
		}
		zones = append(zones, z.Name)
		exp.Zones = append(exp.Zones, Zone{z.Name, z.Region})
	}
	r.nodes(exp, f, zones)
	r.servers(exp, f, zones)
	r.classes(exp, f)
	c := block{r, f.Callers.Body, "callers"}
	exp.Clients = Clients{Rate: f.Callers.Rate, Utilisation: f.Callers.Utilisation, Retries: f.Callers.Retries,
		RetryDelay: c.duration("wait", f.Callers.Wait, 0, time.Minute), Patience: c.duration("patience", f.Callers.Patience, time.Millisecond, time.Hour)}
	c.inRange("rate", exp.Clients.Rate, 0, 1e4)
	c.inRange("utilisation", exp.Clients.Utilisation, 0, 10)
	c.inRange("retries", float64(exp.Clients.Retries), 0, 10)
	if (exp.Clients.Rate == 0) == (exp.Clients.Utilisation == 0) {
		c.errorf("rate", "allowed: exactly one of rate and utilisation, above 0")
	}
	for _, l := range f.Links {
		lb := block{r, l.Body, "link." + l.From + "." + l.To}
		lb.oneOf("", l.From, zones...)
		lb.oneOf("", l.To, zones...)
		exp.Links = append(exp.Links, Link{l.From, l.To, lb.duration("delay", l.Delay, 0, 10*time.Second), lb.duration("jitter", l.Jitter, 0, 10*time.Second)})
	}
	if f.Registry != nil {
		rb := block{r, f.Registry.Body, "registry"}
		exp.Registry.MinLag = rb.duration("lag", f.Registry.Lag, 0, time.Minute)
		exp.Registry.MaxLag = max(exp.Registry.MinLag, rb.duration("lag_most", f.Registry.LagMost, 0, time.Minute))
	}
	r.faults(exp, f, zones)
	return exp
}

func (r *reader) nodes(exp *Experiment, f *file, zones []string) {
	total := 0
	for i, decl := range f.Nodes {
		b := block{r, decl.Body, "nodes." + decl.Name}
		group := Nodes{Name: decl.Name, Count: decl.Count, Zones: b.zoneNames("zones", decl.Zones, zones), RateFactor: 1, PollChoices: decl.Asks}
		if decl.Times != nil {
			group.RateFactor = *decl.Times
		}
		b.inRange("count", float64(decl.Count), 1, maxProcesses)
		b.inRange("times", group.RateFactor, 0.001, 1e4)
		b.inRange("asks", float64(decl.Asks), 0, 16)
		if total += max(0, min(decl.Count, maxProcesses)); total > maxProcesses {
			b.errorf("count", "the experiment has more than %d nodes", maxProcesses)
		}
		if slices.ContainsFunc(f.Nodes[:i], func(o nodesBlock) bool { return o.Name == decl.Name }) {
			b.errorf("", "duplicate name")
		}
		exp.Nodes = append(exp.Nodes, group)
	}
}

func (r *reader) servers(exp *Experiment, f *file, zones []string) {
	total := 0
	for i, decl := range f.Servers {
		b := block{r, decl.Body, "servers." + decl.Name}
		group := Servers{Name: decl.Name, Count: decl.Count, Zones: b.zoneNames("zones", decl.Zones, zones), Slots: decl.Slots, Queue: decl.Queue,
			Service: b.duration("service", decl.Service, 100*time.Microsecond, time.Minute), ServiceDistribution: Distribution(decl.Draw), Size: decl.Size, ReportsLoad: decl.Reports, SlowStartMinimum: 1}
		if group.ServiceDistribution == "" {
			group.ServiceDistribution = Exponential
		}
		b.oneOf("draw", string(group.ServiceDistribution), string(Exponential), string(Uniform), string(Constant))
		b.inRange("count", float64(decl.Count), 1, maxServers)
		b.inRange("slots", float64(decl.Slots), 1, 1e4)
		b.inRange("queue", float64(decl.Queue), 0, 1e6)
		b.inRange("size", decl.Size, 0, 1e6)
		if decl.Cold != nil {
			cb := block{r, decl.Cold.Body, b.path + ".cold"}
			group.SlowStartMinimum, group.SlowStartWindow = decl.Cold.From, cb.duration("over", decl.Cold.Over, time.Millisecond, maxDuration)
			cb.inRange("from", decl.Cold.From, 0.01, 1)
		}
		if total += max(0, min(decl.Count, maxServers)); total > maxServers {
			b.errorf("count", "the experiment has more than %d servers", maxServers)
		}
		if slices.ContainsFunc(f.Servers[:i], func(o serversBlock) bool { return o.Name == decl.Name }) {
			b.errorf("", "duplicate name")
		}
		if group.Service == 0 {
			group.Service = time.Second // an invalid value was reported above; an empty one defaults to 1 s
		}
		exp.Servers = append(exp.Servers, group)
	}
}

func (r *reader) classes(exp *Experiment, f *file) {
	for i, decl := range f.Classes {
		b := block{r, decl.Body, "class." + decl.Name}
		class := Class{Name: decl.Name, Effect: decl.Effect, LatencyObjective: b.duration("aim", decl.Aim, time.Millisecond, time.Hour),
			Deadline: b.duration("deadline", decl.Deadline, time.Millisecond, time.Hour), Share: decl.Share, PriorityWeight: 1}
		if decl.Worth != nil {
			class.PriorityWeight = *decl.Worth
		}
		b.inRange("worth", class.PriorityWeight, 0, 1e6)
		b.oneOf("effect", decl.Effect, "safe", "unsafe")
		b.inRange("share", decl.Share, 0, 1e6)
		if class.LatencyObjective > class.Deadline {
			b.errorf("aim", "found %v; allowed: at most the deadline, %v", class.LatencyObjective, class.Deadline)
		}
		if slices.ContainsFunc(f.Classes[:i], func(o classBlock) bool { return o.Name == decl.Name }) {
			b.errorf("", "duplicate name")
		}
		exp.Classes = append(exp.Classes, class)
	}
}

func (r *reader) faults(exp *Experiment, f *file, zones []string) {
	var kinds, nodes, servers []string
	for k := range targets {
		kinds = append(kinds, string(k))
	}
	slices.Sort(kinds)
	for _, n := range exp.Nodes {
		nodes = append(nodes, n.Name)
	}
	for _, s := range exp.Servers {
		servers = append(servers, s.Name)
	}
	for i, decl := range f.Faults {
		b := block{r, decl.Body, "fault." + decl.Name}
		fault := Fault{Name: decl.Name, Kind: Kind(decl.Kind), From: b.duration("from", decl.From, 0, maxDuration), To: b.duration("to", decl.To, 0, maxDuration),
			OnsetSpread: b.duration("over", decl.Over, 0, maxDuration), NodeZones: b.zoneNames("near", decl.Near, zones), ServerZones: zones,
			BothDirections: decl.Both, Fraction: 1, Group: decl.Group, Count: decl.Count, Share: decl.Share, Factor: decl.Factor, Offset: b.duration("offset", decl.Offset, -24*time.Hour, 24*time.Hour),
			Delay: b.duration("delay", decl.Delay, 0, 10*time.Second), Jitter: b.duration("jitter", decl.Jitter, 0, 10*time.Second),
			Loss: decl.Loss, Duplicate: decl.Double, Reorder: decl.Reorder, Bandwidth: decl.Bandwidth}
		if len(decl.Far) > 0 {
			fault.ServerZones = b.zoneNames("far", decl.Far, append(slices.Clone(zones), RegistryZone))
		}
		if decl.Part != nil {
			fault.Fraction = *decl.Part
		}
		if decl.Both && (fault.Kind != Cut || slices.Contains(decl.Far, RegistryZone)) {
			b.errorf("both", "found with kind %s and far %v; allowed: only with cut between zones", fault.Kind, decl.Far)
		}
		b.oneOf("kind", decl.Kind, kinds...)
		b.inRange("part", fault.Fraction, 0, 1)
		b.inRange("loss", fault.Loss, 0, 1)
		b.inRange("double", fault.Duplicate, 0, 1)
		b.inRange("reorder", fault.Reorder, 0, 1)
		b.inRange("count", float64(fault.Count), 0, 1e6)
		b.inRange("bandwidth", float64(fault.Bandwidth), 0, 1e12)
		if fault.To < fault.From+fault.OnsetSpread {
			b.errorf("to", "found %v; allowed: from + over, %v, or later", fault.To, fault.From+fault.OnsetSpread)
		}
		if fault.Group != "" {
			switch fault.Kind.Target() {
			case TargetNodes:
				b.oneOf("group", fault.Group, nodes...)
			case TargetServers:
				b.oneOf("group", fault.Group, servers...)
			default:
				b.errorf("group", "found %q; allowed: only for faults of nodes or servers", fault.Group)
			}
		}
		if (fault.Factor != 0) != (fault.Kind == Slowdown) || fault.Kind == Slowdown && !(fault.Factor >= 0.01 && fault.Factor <= 1000) {
			b.errorf("factor", "found %v; allowed: 0.01 to 1000, only for drag", fault.Factor)
		}
		if fault.Kind == ChangeNodeCount && fault.Count == 0 {
			b.errorf("count", "missing; allowed: the node count to configure")
		}
		if fault.Kind == IdleClients && fault.Count == 0 {
			b.errorf("count", "missing; allowed: the number of idle connections at each node")
		}
		if (fault.Share > 0) != fault.Kind.SpoilsReplies() || fault.Share < 0 || fault.Share > 1 {
			b.errorf("share", "found %v; allowed: above 0 and at most 1, only for repeat, noise, truncate, long, stall, slow_reply, slow_read and slow_clients", fault.Share)
		}
		if fault.Kind.IsSlow() && fault.Bandwidth == 0 {
			b.errorf("bandwidth", "missing; allowed: the bytes per second of slow transfers")
		}
		if fault.Kind == Hold && (fault.Delay <= 0 || fault.Delay > time.Second) {
			b.errorf("delay", "found %v; allowed: above 0 and at most 1s, the longest hold", fault.Delay)
		}
		if slices.ContainsFunc(f.Faults[:i], func(o faultBlock) bool { return o.Name == decl.Name }) {
			b.errorf("", "duplicate name")
		}
		exp.Faults = append(exp.Faults, fault)
	}
	slices.SortStableFunc(exp.Faults, func(a, b Fault) int { return int(a.From - b.From) })
}
