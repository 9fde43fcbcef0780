package node

import (
	"context"
	"fmt"
	"reflect"
	"sync/atomic"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/upstream"
)

// pool is a Balancer with its engine, its backend and the source of its endpoint list. It runs while configurations name
// it, and then until its open requests are answered.
type pool struct {
	name    string
	engine  *engine.Engine
	backend *upstream.Pool
	source  atomic.Pointer[source] // nil: the endpoint list is in the configuration
	cancel  context.CancelFunc     // stops the engine and the backend

	// From the running configuration; guarded by Node.mu.
	cfg      config.Pool
	settings balancer.Settings
	static   map[string]discovery.Target // the endpoint list in the configuration, by server name
}

// limitsOf returns the limits on a pool's connections to servers.
func (n *Node) limitsOf(c *config.Config, p config.Pool) upstream.Limits {
	settle := upstream.DefaultSettleDelay
	if n.options.settle != nil {
		settle = *n.options.settle
	}
	return upstream.Limits{
		MaxConnections: p.Connections.Max,
		ConnectTimeout: time.Duration(p.Connections.ConnectTimeout),
		IdleTimeout:    time.Duration(p.Connections.IdleTimeout),
		SettleDelay:    settle,
		LoadField:      p.LoadReports.BusyMetric,
		PollPath:       p.LoadReports.PollPath,
		LocalIP:        c.LocalIP(p),
	}
}

// newPool creates a pool that begins with the known list, or with the endpoint list in its configuration. It runs nothing
// before start.
func (n *Node) newPool(cfg *config.Config, p config.Pool, seed uint64, known discovery.List) (*pool, error) {
	created := &pool{name: p.Name, cfg: p, settings: cfg.BalancerSettings(p), backend: upstream.NewPool(n.clock, n.serverDescriptors, &n.metrics, n.limitsOf(cfg, p))}
	if n.options.configureBackend != nil {
		n.options.configureBackend(created.backend)
	}
	log := n.log
	if n.logPoolNames {
		log = log.With("pool", p.Name)
	}
	created.backend.SetLogger(log)
	var err error
	created.engine, err = engine.New(engine.Options{
		Settings:     created.settings,
		Seed:         seed,
		Clock:        n.clock,
		Backend:      created.backend,
		Subscribe:    created.subscribe,
		ListsPushed:  !created.settings.PollDiscovery,
		Log:          log,
		CollectStats: cfg.Node.Peers.MaxZoneStateAge > 0,
		LogAttrs:     func() []any { return append(n.clients.Report(), "servers", created.backend.Connections()) },
	})
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", p.Name, err)
	}
	if p.Registry == nil {
		list := staticList(p, nil, 0)
		created.static = targetsOf(list)
		created.engine.RestoreList(list)
		return created, nil
	}
	// Only a polled registry is asked for the changes since the known revision. An agent that pushes sends its full
	// snapshot at once and at no cost, and the known revision may come from another agent.
	rev := int64(-1)
	if known.Full && created.settings.PollDiscovery {
		rev = known.Rev
	}
	s := n.newSource(*p.Registry, rev, log)
	s.relay.attach(created.engine)
	created.source.Store(s)
	created.engine.RestoreList(discovery.List{Full: true, Targets: known.Targets})
	return created, nil
}

// subscribe subscribes the registry watch, if there is one. It never blocks.
func (p *pool) subscribe() {
	if s := p.source.Load(); s != nil {
		s.watch.Subscribe()
	}
}

// start runs the pool until close.
func (p *pool) start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.engine.Run(ctx)
	go p.backend.Sweep(ctx)
	if s := p.source.Load(); s != nil {
		s.start()
	}
}

// close stops the pool at once and cancels the attempts in flight.
func (p *pool) close() {
	if s := p.source.Load(); s != nil {
		s.stop()
	}
	p.cancel()
	<-p.engine.Done()
	p.backend.Close()
}

// retire closes the pool once all its open requests are answered.
func (p *pool) retire() {
	p.engine.Retire()
	<-p.engine.Done()
	p.close()
}

// update is the prepared update of an existing pool.
type update struct {
	pool     *pool
	cfg      config.Pool
	settings balancer.Settings
	source   *source // new watch, already running; nil: the old one stays, or the endpoint list is in the configuration
}

// registryChanged reports whether the endpoint list comes from another registry than before.
func (u update) registryChanged() bool {
	return !reflect.DeepEqual(u.pool.cfg.Registry, u.cfg.Registry)
}

// commit applies the new configuration to the pool: first the balancer's settings, then the endpoint list. It returns the
// replaced source, which the caller stops, or nil if none was replaced.
func (u update) commit(now time.Duration) (old *source) {
	p := u.pool
	if !reflect.DeepEqual(p.settings, u.settings) {
		p.engine.Reconfigure(u.settings, !u.settings.PollDiscovery)
	}
	if u.registryChanged() {
		if old = p.source.Load(); old != nil {
			old.relay.close()
		}
		p.source.Store(u.source)
		if u.source != nil {
			u.source.relay.attach(p.engine)
		}
	}
	if u.cfg.Registry == nil && (u.registryChanged() || !reflect.DeepEqual(p.cfg.Servers, u.cfg.Servers)) {
		list := staticList(u.cfg, p.static, now)
		p.static = targetsOf(list)
		p.engine.UpdateList(list)
	}
	if u.cfg.Registry != nil {
		p.static = nil // a later list in a configuration does not continue the registry's list
	}
	p.cfg, p.settings = u.cfg, u.settings
	return old
}
