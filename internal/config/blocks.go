package config

import (
	"time"

	"github.com/hashicorp/hcl/v2/hclsyntax"

	"damsontrestle/internal/route"
	"damsontrestle/internal/zonestate"
)

// config reads the top-level blocks of the file.
func (r *reader) config(b *hclsyntax.Body) *Config {
	cfg := &Config{}
	r.body(b, "", nil, []block{
		{kind: "node", labelled: true, required: true, single: true, read: func(b *hclsyntax.Body, path, label string) {
			cfg.Node = r.node(b, path, label)
		}},
		{kind: "class", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			cfg.Classes = append(cfg.Classes, r.class(b, path, label))
		}},
		{kind: "listener", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			cfg.Listeners = append(cfg.Listeners, r.listener(b, path, label))
		}},
		{kind: "pool", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			cfg.Pools = append(cfg.Pools, r.pool(b, path, label))
		}},
		{kind: "route", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			cfg.Routes = append(cfg.Routes, r.route(b, path, label))
		}},
		{kind: "federation", labelled: true, single: true, read: func(b *hclsyntax.Body, path, label string) {
			cfg.Federation = r.federation(b, path, label)
		}},
		{kind: "partner", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			cfg.Partners = append(cfg.Partners, r.partner(b, path, label))
		}},
		{kind: "export", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			cfg.Exports = append(cfg.Exports, r.export(b, path, label))
		}},
		{kind: "quota", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			cfg.Quotas = append(cfg.Quotas, r.quota(b, path, label))
		}},
	})
	return cfg
}

func (r *reader) node(b *hclsyntax.Body, path, name string) Node {
	node := Node{Name: name, Limits: Limits{Cores: 1}}
	r.body(b, path, []field{
		{"zone", false, text(&node.Zone)},
		{"state_folder", false, text(&node.StateFolder)},
		{"admin_socket", false, text(&node.AdminSocket)},
		{"management", false, text(&node.Management)},
	}, []block{
		{kind: "limits", required: true, single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"memory", true, size(&node.Limits.Memory)},
				{"descriptors", true, integer(&node.Limits.Descriptors)},
				{"cores", false, integer(&node.Limits.Cores)},
			}, nil)
		}},
		{kind: "peers", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			node.Peers.ProbeInterval, node.Peers.MaxDelay = Duration(time.Second), Duration(zonestate.DefaultDelay)
			r.body(b, path, []field{
				{"listen", true, text(&node.Peers.Listen)},
				{"advertise", false, text(&node.Peers.Advertise)},
				{"key_file", true, text(&node.Peers.KeyFile)},
				{"seeds", false, textList(&node.Peers.Seeds)},
				{"region", false, text(&node.Peers.Region)},
				{"period", false, duration(&node.Peers.ProbeInterval)},
				{"listen_only", false, boolean(&node.Peers.ListenOnly)},
				{"fresh", false, duration(&node.Peers.MaxZoneStateAge)},
				{"delay", false, duration(&node.Peers.MaxDelay)},
			}, nil)
		}},
	})
	return node
}

func (r *reader) class(b *hclsyntax.Body, path, name string) Class {
	class := Class{Name: name, PriorityWeight: 1}
	r.body(b, path, []field{
		{"effect", true, enumeration(&class.Effect)},
		{"key_scope", false, enumeration(&class.KeyScope)},
		{"window", false, duration(&class.Window)},
		{"aim", true, duration(&class.LatencyObjective)},
		{"deadline", true, duration(&class.Deadline)},
		{"late_share", false, decimal(&class.LateShare)},
		{"worth", false, decimal(&class.PriorityWeight)},
	}, []block{
		{kind: "custody", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			class.Replication = &Replication{}
			r.body(b, path, []field{{"when_alone", true, enumeration(&class.Replication.Fallback)}}, nil)
		}},
	})
	return class
}

func (r *reader) listener(b *hclsyntax.Body, path, name string) Listener {
	listener := Listener{Name: name, Protocol: HTTP1, Paths: StrictPaths}
	r.body(b, path, []field{
		{"address", true, text(&listener.Address)},
		{"protocol", false, enumeration(&listener.Protocol)},
		{"paths", false, enumeration(&listener.Paths)},
	}, nil)
	return listener
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
	pool := defaultPool(name)
	r.body(b, path, []field{
		{"protocol", false, enumeration(&pool.Protocol)},
		{"tier", false, integer(&pool.Tier)},
		{"attempts", false, integer(&pool.MaxAttempts)},
		{"cancel", false, boolean(&pool.MayCancel)},
		{"tick", false, duration(&pool.Tick)},
		{"retry_after", false, duration(&pool.MaxRetryAfter)},
	}, []block{
		{kind: "copies", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"count", true, integer(&pool.Balancers.Count)},
				{"index", true, integer(&pool.Balancers.Index)},
			}, nil)
		}},
		{kind: "shedding", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"whole", true, decimal(&pool.Shedding.Total)},
				{"worst_class", true, decimal(&pool.Shedding.WorstClass)},
			}, nil)
		}},
		{kind: "connections", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"most", false, integer(&pool.Connections.Max)},
				{"idle", false, duration(&pool.Connections.IdleTimeout)},
				{"connect_timeout", false, duration(&pool.Connections.ConnectTimeout)},
			}, nil)
		}},
		{kind: "slow_start", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"from", true, decimal(&pool.SlowStart.Minimum)},
				{"over", true, duration(&pool.SlowStart.Window)},
			}, nil)
		}},
		{kind: "load_reports", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"busy", true, text(&pool.LoadReports.BusyMetric)},
				{"ask", false, integer(&pool.LoadReports.PollChoices)},
				{"ask_path", false, text(&pool.LoadReports.PollPath)},
			}, nil)
			if pool.LoadReports.PollChoices > 0 && pool.LoadReports.PollPath == "" {
				pool.LoadReports.PollPath = "/stats"
			}
		}},
		{kind: "registry", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			pool.Registry = &Registry{Mode: Pushed}
			r.body(b, path, []field{
				{"address", true, text(&pool.Registry.Address)},
				{"mode", false, enumeration(&pool.Registry.Mode)},
				{"ask_within", false, duration(&pool.Registry.PollInterval)},
			}, nil)
		}},
		{kind: "server", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			pool.Servers = append(pool.Servers, r.server(b, path, label))
		}},
	})
	return pool
}

func (r *reader) server(b *hclsyntax.Body, path, name string) Server {
	server := Server{Name: name, Size: 1, State: Ready}
	r.body(b, path, []field{
		{"address", true, text(&server.Address)},
		{"zone", false, text(&server.Zone)},
		{"cell", false, integer(&server.Cell)},
		{"size", false, decimal(&server.Size)},
		{"state", false, enumeration(&server.State)},
	}, nil)
	return server
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
