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

// pool is one Balancer with its engine, its back end and the source of its endpoint list. It runs for as long as
// configurations name it, and then until its open requests are answered.
type pool struct {
	name   string
	engine *engine.Engine
	back   *upstream.Pool
	source atomic.Pointer[source] // nil: the configuration holds the list
	cancel context.CancelFunc     // ends the engine and the back end

	// Of the running configuration; guarded by Node.mu.
	cfg      config.Pool
	settings balancer.Settings
	static   map[string]discovery.Target // the list that the configuration holds
}

// limitsOf are the limits on a pool's connections to servers.
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

// newPool makes a pool that begins with the known list, or the one that its configuration holds. Nothing runs before
// start.
func (n *Node) newPool(cfg *config.Config, p config.Pool, seed uint64, known discovery.List) (*pool, error) {
	out := &pool{name: p.Name, cfg: p, settings: cfg.BalancerSettings(p), back: upstream.NewPool(n.clock, n.servers, &n.metrics, n.limitsOf(cfg, p))}
	if n.options.back != nil {
		n.options.back(out.back)
	}
	log := n.log
	if n.named {
		log = log.With("pool", p.Name)
	}
	var err error
	out.engine, err = engine.New(engine.Options{
		Settings:     out.settings,
		Seed:         seed,
		Clock:        n.clock,
		Backend:      out.back,
		Subscribe:    out.subscribe,
		ListsPushed:  !out.settings.PollDiscovery,
		Log:          log,
		CollectStats: cfg.Node.Peers.MaxZoneStateAge > 0,
		LogAttrs:     func() []any { return append(n.clients.Report(), "servers", out.back.Connections()) },
	})
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", p.Name, err)
	}
	if p.Registry == nil {
		list := staticList(p, nil, 0)
		out.static = targetsOf(list)
		out.engine.RestoreList(list)
		return out, nil
	}
	// An agent sends its full snapshot at once and at no cost, and the known revision may be another agent's: only a
	// registry that is polled is asked for what came after it.
	rev := int64(-1)
	if known.Full && out.settings.PollDiscovery {
		rev = known.Rev
	}
	s := n.newSource(*p.Registry, rev, log)
	s.relay.attach(out.engine)
	out.source.Store(s)
	out.engine.RestoreList(discovery.List{Full: true, Targets: known.Targets})
	return out, nil
}

// subscribe has the registry watched. It never blocks.
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
	go p.back.Sweep(ctx)
	if s := p.source.Load(); s != nil {
		s.start()
	}
}

// close ends the pool at once; attempts in flight are cancelled.
func (p *pool) close() {
	if s := p.source.Load(); s != nil {
		s.stop()
	}
	p.cancel()
	<-p.engine.Done()
	p.back.Close()
}

// retire closes the pool once all its open requests are answered.
func (p *pool) retire() {
	p.engine.Retire()
	<-p.engine.Done()
	p.close()
}

// update is what becomes of a pool that stays.
type update struct {
	pool     *pool
	cfg      config.Pool
	settings balancer.Settings
	source   *source // a watch that has been tried; nil: the old one stays, or the configuration holds the list
}

// registryChanged says that the list comes from elsewhere than before.
func (u update) registryChanged() bool {
	return !reflect.DeepEqual(u.pool.cfg.Registry, u.cfg.Registry)
}

// commit has the pool follow the new configuration: the balancer's settings first, then the list. It returns the source
// that was replaced, which the caller stops; nil: none was.
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
		p.static = nil // a later list of the configuration does not follow on the registry's
	}
	p.cfg, p.settings = u.cfg, u.settings
	return old
}
