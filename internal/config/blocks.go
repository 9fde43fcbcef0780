package config

import (
	"time"

	"github.com/hashicorp/hcl/v2/hclsyntax"

	"damsontrestle/internal/route"
	"damsontrestle/internal/zonestate"
)

// config reads the top-level blocks of the file.
func (r *reader) config(b *hclsyntax.Body) *Config {
	c := &Config{}
	r.body(b, "", nil, []block{
		{kind: "node", labelled: true, required: true, single: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Node = r.node(b, path, label)
		}},
		{kind: "class", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Classes = append(c.Classes, r.class(b, path, label))
		}},
		{kind: "listener", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Listeners = append(c.Listeners, r.listener(b, path, label))
		}},
		{kind: "pool", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Pools = append(c.Pools, r.pool(b, path, label))
		}},
		{kind: "route", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Routes = append(c.Routes, r.route(b, path, label))
		}},
		{kind: "federation", labelled: true, single: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Federation = r.federation(b, path, label)
		}},
		{kind: "partner", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Partners = append(c.Partners, r.partner(b, path, label))
		}},
		{kind: "export", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Exports = append(c.Exports, r.export(b, path, label))
		}},
		{kind: "quota", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Quotas = append(c.Quotas, r.quota(b, path, label))
		}},
	})
	return c
}

func (r *reader) node(b *hclsyntax.Body, path, name string) Node {
	n := Node{Name: name, Limits: Limits{Cores: 1}}
	r.body(b, path, []field{
		{"zone", false, text(&n.Zone)},
		{"state_folder", false, text(&n.StateFolder)},
		{"admin_socket", false, text(&n.AdminSocket)},
		{"management", false, text(&n.Management)},
	}, []block{
		{kind: "limits", required: true, single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"memory", true, size(&n.Limits.Memory)},
				{"descriptors", true, integer(&n.Limits.Descriptors)},
				{"cores", false, integer(&n.Limits.Cores)},
			}, nil)
		}},
		{kind: "peers", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			n.Peers.ProbeInterval, n.Peers.MaxDelay = Duration(time.Second), Duration(zonestate.DefaultDelay)
			r.body(b, path, []field{
				{"listen", true, text(&n.Peers.Listen)},
				{"advertise", false, text(&n.Peers.Advertise)},
				{"key_file", true, text(&n.Peers.KeyFile)},
				{"seeds", false, textList(&n.Peers.Seeds)},
				{"region", false, text(&n.Peers.Region)},
				{"period", false, duration(&n.Peers.ProbeInterval)},
				{"listen_only", false, boolean(&n.Peers.ListenOnly)},
				{"fresh", false, duration(&n.Peers.MaxZoneStateAge)},
				{"delay", false, duration(&n.Peers.MaxDelay)},
			}, nil)
		}},
	})
	return n
}

func (r *reader) class(b *hclsyntax.Body, path, name string) Class {
	c := Class{Name: name, PriorityWeight: 1}
	r.body(b, path, []field{
		{"effect", true, enumeration(&c.Effect)},
		{"key_scope", false, enumeration(&c.KeyScope)},
		{"window", false, duration(&c.Window)},
		{"aim", true, duration(&c.LatencyObjective)},
		{"deadline", true, duration(&c.Deadline)},
		{"late_share", false, decimal(&c.LateShare)},
		{"worth", false, decimal(&c.PriorityWeight)},
	}, []block{
		{kind: "custody", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			c.Replication = &Replication{}
			r.body(b, path, []field{{"when_alone", true, enumeration(&c.Replication.Fallback)}}, nil)
		}},
	})
	return c
}

func (r *reader) listener(b *hclsyntax.Body, path, name string) Listener {
	l := Listener{Name: name, Protocol: HTTP1, Paths: StrictPaths}
	r.body(b, path, []field{
		{"address", true, text(&l.Address)},
		{"protocol", false, enumeration(&l.Protocol)},
		{"paths", false, enumeration(&l.Paths)},
	}, nil)
	return l
}

// defaultPool returns a pool in which every optional setting has its default.
func defaultPool(name string) Pool {
	return Pool{
		Name:          name,
		Protocol:      HTTP1,
		MaxAttempts:   3,
		MayCancel:     true,
		Tick:          Duration(time.Millisecond),
		MaxRetryAfter: Duration(2 * time.Second),
		Balancers:     Balancers{Count: 1},
		Shedding:      Shedding{Total: 0.75, WorstClass: 0.25},
		Connections: Connections{
			Max:            64,
			IdleTimeout:    Duration(time.Minute),
			ConnectTimeout: Duration(time.Second),
		},
		SlowStart: SlowStart{Minimum: 1},
	}
}

func (r *reader) pool(b *hclsyntax.Body, path, name string) Pool {
	p := defaultPool(name)
	r.body(b, path, []field{
		{"protocol", false, enumeration(&p.Protocol)},
		{"tier", false, integer(&p.Tier)},
		{"attempts", false, integer(&p.MaxAttempts)},
		{"cancel", false, boolean(&p.MayCancel)},
		{"tick", false, duration(&p.Tick)},
		{"retry_after", false, duration(&p.MaxRetryAfter)},
	}, []block{
		{kind: "copies", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"count", true, integer(&p.Balancers.Count)},
				{"index", true, integer(&p.Balancers.Index)},
			}, nil)
		}},
		{kind: "shedding", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"whole", true, decimal(&p.Shedding.Total)},
				{"worst_class", true, decimal(&p.Shedding.WorstClass)},
			}, nil)
		}},
		{kind: "connections", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"most", false, integer(&p.Connections.Max)},
				{"idle", false, duration(&p.Connections.IdleTimeout)},
				{"connect_timeout", false, duration(&p.Connections.ConnectTimeout)},
			}, nil)
		}},
		{kind: "slow_start", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"from", true, decimal(&p.SlowStart.Minimum)},
				{"over", true, duration(&p.SlowStart.Window)},
			}, nil)
		}},
		{kind: "load_reports", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"busy", true, text(&p.LoadReports.BusyMetric)},
				{"ask", false, integer(&p.LoadReports.PollChoices)},
				{"ask_path", false, text(&p.LoadReports.PollPath)},
			}, nil)
			if p.LoadReports.PollChoices > 0 && p.LoadReports.PollPath == "" {
				p.LoadReports.PollPath = "/stats"
			}
		}},
		{kind: "registry", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			p.Registry = &Registry{Mode: Pushed}
			r.body(b, path, []field{
				{"address", true, text(&p.Registry.Address)},
				{"mode", false, enumeration(&p.Registry.Mode)},
				{"ask_within", false, duration(&p.Registry.PollInterval)},
			}, nil)
		}},
		{kind: "server", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			p.Servers = append(p.Servers, r.server(b, path, label))
		}},
	})
	return p
}

func (r *reader) server(b *hclsyntax.Body, path, name string) Server {
	s := Server{Name: name, Size: 1, State: Ready}
	r.body(b, path, []field{
		{"address", true, text(&s.Address)},
		{"zone", false, text(&s.Zone)},
		{"cell", false, integer(&s.Cell)},
		{"size", false, decimal(&s.Size)},
		{"state", false, enumeration(&s.State)},
	}, nil)
	return s
}

func (r *reader) route(b *hclsyntax.Body, path, name string) route.Route {
	out := route.Route{Name: name}
	pool := ""
	r.body(b, path, []field{
		{"default", false, boolean(&out.Default)},
		{"listeners", false, textList(&out.Listeners)},
		{"classes", false, textList(&out.Classes)},
		{"hosts", false, textList(&out.Hosts)},
		{"paths", false, textList(&out.Paths)},
		{"pool", false, text(&pool)},
	}, []block{
		{kind: "header", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			h := route.Header{Name: label}
			var equals string
			r.body(b, path, []field{{"equals", false, text(&equals)}}, nil)
			if b.Attributes["equals"] != nil {
				h.Equals = &equals
			}
			out.Headers = append(out.Headers, h)
		}},
		{kind: "to", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			t := route.Target{Pool: label}
			r.body(b, path, []field{{"weight", true, integer(&t.Weight)}}, nil)
			out.To = append(out.To, t)
		}},
	})
	r.setListRange(path+".headers", b.Blocks, "header")
	r.setListRange(path+".to", b.Blocks, "to")
	switch {
	case pool != "" && len(out.To) > 0:
		r.fail(r.ranges[path+".pool"], path, "found both pool = %q and to blocks; allowed: one of them", pool)
	case pool != "":
		out.To = []route.Target{{Pool: pool, Weight: 1}}
		r.ranges[path+".to"] = r.ranges[path+".pool"]
	case len(out.To) == 0:
		r.unread[path+".to"] = true
		if b.Attributes["pool"] == nil {
			r.fail(r.ranges[path], path, "the route has no pool; allowed: pool = \"name\", or to \"name\" { weight = 1 } for each of several")
		}
	}
	return out
}

// setListRange records the range of the first block of a kind as that of the list which the Config builds from these blocks.
func (r *reader) setListRange(path string, blocks hclsyntax.Blocks, kind string) {
	for _, b := range blocks {
		if b.Type == kind {
			r.ranges[path] = b.DefRange()
			return
		}
	}
}
