package experiment

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"

	"damsontrestle/internal/zonestate"
)

func (r *reader) experiment(f *file, top hcl.Range) *Experiment {
	e := &Experiment{}
	if f.Experiment == nil || f.Callers == nil || len(f.Zones) == 0 || len(f.Nodes) == 0 || len(f.Servers) == 0 || len(f.Classes) == 0 {
		r.errorAt(top, "", "allowed: one experiment and one callers block, and at least one each of zone, nodes, servers and class")
		return e
	}
	b := block{r, f.Experiment.Body, "experiment." + f.Experiment.Name}
	e.Name, e.Note, e.Seed = f.Experiment.Name, f.Experiment.Note, f.Experiment.Seed
	e.ProbeInterval = b.duration("peers", f.Experiment.Peers, 100*time.Millisecond, time.Minute)
	if e.ZoneStateMaxAge = b.duration("fresh", f.Experiment.Fresh, zonestate.MinFreshAge(zonestate.DefaultDelay), time.Minute); e.ZoneStateMaxAge > 0 && e.ProbeInterval == 0 {
		b.errorf("fresh", "found %q; allowed: only if peers is set", f.Experiment.Fresh)
	}
	e.WarmUp = b.duration("warm_up", f.Experiment.WarmUp, 0, maxDuration)
	e.Measure = b.duration("measure", f.Experiment.Measure, 100*time.Millisecond, maxDuration)
	if !validName(e.Name) {
		b.errorf("", "found the name %q; allowed: letters, digits, \"-\" and \"_\"", e.Name)
	}
	if e.Seed == 0 || e.Measure == 0 && f.Experiment.Measure == "" {
		b.errorf("", "seed or measure is missing; allowed: a seed above 0 and a duration")
	}
	var zones []string
	for _, z := range f.Zones {
		zb := block{r, z.Body, "zone." + z.Name}
		if slices.Contains(zones, z.Name) || z.Name == "" || len(z.Name) > 16 || z.Name == RegistryZone {
			zb.errorf("", "invalid zone name: duplicate, empty, longer than 16 bytes, or %q", RegistryZone)
		}
		zones = append(zones, z.Name)
		e.Zones = append(e.Zones, Zone{z.Name, z.Region})
	}
	r.nodes(e, f, zones)
	r.servers(e, f, zones)
	r.classes(e, f)
	c := block{r, f.Callers.Body, "callers"}
	e.Clients = Clients{Rate: f.Callers.Rate, Utilisation: f.Callers.Utilisation, Retries: f.Callers.Retries,
		RetryDelay: c.duration("wait", f.Callers.Wait, 0, time.Minute), Patience: c.duration("patience", f.Callers.Patience, time.Millisecond, time.Hour)}
	c.inRange("rate", e.Clients.Rate, 0, 1e4)
	c.inRange("utilisation", e.Clients.Utilisation, 0, 10)
	c.inRange("retries", float64(e.Clients.Retries), 0, 10)
	if (e.Clients.Rate == 0) == (e.Clients.Utilisation == 0) {
		c.errorf("rate", "allowed: exactly one of rate and utilisation, above 0")
	}
	for _, l := range f.Links {
		lb := block{r, l.Body, "link." + l.From + "." + l.To}
		lb.oneOf("", l.From, zones...)
		lb.oneOf("", l.To, zones...)
		e.Links = append(e.Links, Link{l.From, l.To, lb.duration("delay", l.Delay, 0, 10*time.Second), lb.duration("jitter", l.Jitter, 0, 10*time.Second)})
	}
	if f.Registry != nil {
		rb := block{r, f.Registry.Body, "registry"}
		e.Registry.MinLag = rb.duration("lag", f.Registry.Lag, 0, time.Minute)
		e.Registry.MaxLag = max(e.Registry.MinLag, rb.duration("lag_most", f.Registry.LagMost, 0, time.Minute))
	}
	r.faults(e, f, zones)
	return e
}

func (r *reader) nodes(e *Experiment, f *file, zones []string) {
	all := 0
	for i, n := range f.Nodes {
		b := block{r, n.Body, "nodes." + n.Name}
		g := Nodes{Name: n.Name, Count: n.Count, Zones: b.zoneNames("zones", n.Zones, zones), RateFactor: 1, PollChoices: n.Asks}
		if n.Times != nil {
			g.RateFactor = *n.Times
		}
		b.inRange("count", float64(n.Count), 1, maxProcesses)
		b.inRange("times", g.RateFactor, 0.001, 1e4)
		b.inRange("asks", float64(n.Asks), 0, 16)
		if all += max(0, min(n.Count, maxProcesses)); all > maxProcesses {
			b.errorf("count", "the experiment has more than %d nodes", maxProcesses)
		}
		if slices.ContainsFunc(f.Nodes[:i], func(o nodesBlock) bool { return o.Name == n.Name }) {
			b.errorf("", "duplicate name")
		}
		e.Nodes = append(e.Nodes, g)
	}
}

func (r *reader) servers(e *Experiment, f *file, zones []string) {
	all := 0
	for i, s := range f.Servers {
		b := block{r, s.Body, "servers." + s.Name}
		g := Servers{Name: s.Name, Count: s.Count, Zones: b.zoneNames("zones", s.Zones, zones), Slots: s.Slots, Queue: s.Queue,
			Service: b.duration("service", s.Service, 100*time.Microsecond, time.Minute), ServiceDistribution: Distribution(s.Draw), Size: s.Size, ReportsLoad: s.Reports, SlowStartMinimum: 1}
		if g.ServiceDistribution == "" {
			g.ServiceDistribution = Exponential
		}
		b.oneOf("draw", string(g.ServiceDistribution), string(Exponential), string(Uniform), string(Constant))
		b.inRange("count", float64(s.Count), 1, maxServers)
		b.inRange("slots", float64(s.Slots), 1, 1e4)
		b.inRange("queue", float64(s.Queue), 0, 1e6)
		b.inRange("size", s.Size, 0, 1e6)
		if s.Cold != nil {
			cb := block{r, s.Cold.Body, b.path + ".cold"}
			g.SlowStartMinimum, g.SlowStartWindow = s.Cold.From, cb.duration("over", s.Cold.Over, time.Millisecond, maxDuration)
			cb.inRange("from", s.Cold.From, 0.01, 1)
		}
		if all += max(0, min(s.Count, maxServers)); all > maxServers {
			b.errorf("count", "the experiment has more than %d servers", maxServers)
		}
		if slices.ContainsFunc(f.Servers[:i], func(o serversBlock) bool { return o.Name == s.Name }) {
			b.errorf("", "duplicate name")
		}
		if g.Service == 0 {
			g.Service = time.Second // an invalid value is reported above
		}
		e.Servers = append(e.Servers, g)
	}
}

func (r *reader) classes(e *Experiment, f *file) {
	for i, c := range f.Classes {
		b := block{r, c.Body, "class." + c.Name}
		k := Class{Name: c.Name, Effect: c.Effect, LatencyObjective: b.duration("aim", c.Aim, time.Millisecond, time.Hour),
			Deadline: b.duration("deadline", c.Deadline, time.Millisecond, time.Hour), Share: c.Share, PriorityWeight: 1}
		if c.Worth != nil {
			k.PriorityWeight = *c.Worth
		}
		b.inRange("worth", k.PriorityWeight, 0, 1e6)
		b.oneOf("effect", c.Effect, "safe", "unsafe")
		b.inRange("share", c.Share, 0, 1e6)
		if k.LatencyObjective > k.Deadline {
			b.errorf("aim", "found %v; allowed: at most the deadline, %v", k.LatencyObjective, k.Deadline)
		}
		if slices.ContainsFunc(f.Classes[:i], func(o classBlock) bool { return o.Name == c.Name }) {
			b.errorf("", "duplicate name")
		}
		e.Classes = append(e.Classes, k)
	}
}

func (r *reader) faults(e *Experiment, f *file, zones []string) {
	var kinds, nodes, servers []string
	for k := range targets {
		kinds = append(kinds, string(k))
	}
	slices.Sort(kinds)
	for _, n := range e.Nodes {
		nodes = append(nodes, n.Name)
	}
	for _, s := range e.Servers {
		servers = append(servers, s.Name)
	}
	for i, t := range f.Faults {
		b := block{r, t.Body, "fault." + t.Name}
		v := Fault{Name: t.Name, Kind: Kind(t.Kind), From: b.duration("from", t.From, 0, maxDuration), To: b.duration("to", t.To, 0, maxDuration),
			OnsetSpread: b.duration("over", t.Over, 0, maxDuration), NodeZones: b.zoneNames("near", t.Near, zones), ServerZones: zones,
			BothDirections: t.Both, Fraction: 1, Group: t.Group, Count: t.Count, Factor: t.Factor, Offset: b.duration("offset", t.Offset, -24*time.Hour, 24*time.Hour),
			Delay: b.duration("delay", t.Delay, 0, 10*time.Second), Jitter: b.duration("jitter", t.Jitter, 0, 10*time.Second),
			Loss: t.Loss, Duplicate: t.Double, Reorder: t.Reorder, Bandwidth: t.Bandwidth}
		if len(t.Far) > 0 {
			v.ServerZones = b.zoneNames("far", t.Far, append(slices.Clone(zones), RegistryZone))
		}
		if t.Part != nil {
			v.Fraction = *t.Part
		}
		if t.Both && (v.Kind != Cut || slices.Contains(t.Far, RegistryZone)) {
			b.errorf("both", "found with kind %s and far %v; allowed: only with cut between zones", v.Kind, t.Far)
		}
		b.oneOf("kind", t.Kind, kinds...)
		b.inRange("part", v.Fraction, 0, 1)
		b.inRange("loss", v.Loss, 0, 1)
		b.inRange("double", v.Duplicate, 0, 1)
		b.inRange("reorder", v.Reorder, 0, 1)
		b.inRange("count", float64(v.Count), 0, 1e6)
		b.inRange("bandwidth", float64(v.Bandwidth), 0, 1e12)
		if v.To < v.From+v.OnsetSpread {
			b.errorf("to", "found %v; allowed: from + over, %v, or later", v.To, v.From+v.OnsetSpread)
		}
		if v.Group != "" {
			switch v.Kind.Target() {
			case TargetNodes:
				b.oneOf("group", v.Group, nodes...)
			case TargetServers:
				b.oneOf("group", v.Group, servers...)
			default:
				b.errorf("group", "found %q; allowed: only for faults of nodes or servers", v.Group)
			}
		}
		if (v.Factor != 0) != (v.Kind == Slowdown) || v.Kind == Slowdown && !(v.Factor >= 0.01 && v.Factor <= 1000) {
			b.errorf("factor", "found %v; allowed: 0.01 to 1000, only for drag", v.Factor)
		}
		if v.Kind == ChangeNodeCount && v.Count == 0 {
			b.errorf("count", "missing; allowed: the node count to configure")
		}
		if slices.ContainsFunc(f.Faults[:i], func(o faultBlock) bool { return o.Name == t.Name }) {
			b.errorf("", "duplicate name")
		}
		e.Faults = append(e.Faults, v)
	}
	slices.SortStableFunc(e.Faults, func(a, b Fault) int { return int(a.From - b.From) })
}
