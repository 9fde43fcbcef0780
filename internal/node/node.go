// Package node puts the parts of a node together from a configuration, starts them, changes them and ends
// them. It decides nothing: what is decided is the module's, and that of internal/route and internal/plan;
// what is spoken is the protocols' packages'.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/descriptors"
	"damsontrestle/internal/discovery"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/gateway"
	"damsontrestle/internal/gossip"
	"damsontrestle/internal/hotrestart"
	"damsontrestle/internal/http1"
	netlistener "damsontrestle/internal/listener"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/mgmt"
	"damsontrestle/internal/readiness"
)

// Node is one load balancer on sockets.
type Node struct {
	clock      clock.Clock
	log        *slog.Logger
	options    Options
	named      bool // pools are told apart in the log
	start      *initialState
	servers    *descriptors.Share // of the connections to servers
	metrics    metrics.Set
	management *mgmt.Server      // nil: none
	peers      *gossip.Transport // nil: the node knows of no other
	gateway    *gateway.Gateway  // nil: it is no gateway
	clients    *downstream.Set
	requests   *dispatch.Dispatcher

	incarnation context.Context // ends with the node
	stop        context.CancelFunc
	failed      chan error    // takes the first failure of a part
	draining    chan struct{} // closed when the end begins
	background  sync.WaitGroup

	mu                 sync.Mutex
	cfg                *config.Config // that runs; nil before the first
	sockets            map[string]*socket
	listeners          map[string]*listener
	pools              map[string]*pool
	retiringPools      map[*pool]bool
	retiringListeners  map[*listener]bool       // whose clients are being let go
	closingSockets     map[string]chan struct{} // by the keys of sockets that a change left behind, closed once they are
	change             *Change                  // under way
	serving            bool
	shuttingDown       bool
	readiness          readiness.Tracker
	closingConnections context.CancelFunc // ends the closing clients that Quiesce began; nil: none is under way
	hasSuccessor       bool               // another process of this node shares its limits
}

// initialState is what the first configuration's pools begin with.
type initialState struct {
	seed  uint64
	known discovery.List
}

// Options are what a node is given beside its configuration. The zero value will do.
type Options struct {
	Listen    func(network, address string) (net.Listener, error) // nil: net.Listen
	Limit     func(config.Limits)                                 // keeps the process within its limits; nil: nothing does
	Processes *hotrestart.Processes                               // of this node's processes; nil: this one is alone
	Start     context.Context                                     // once it ends, the start waits for no socket; nil: it does so for netlistener.Patience
	Fault     func(point string) error                            // for tests: an error has a step of a change fail
	shutdown  *shutdownSchedule                                   // for tests: instead of what follows from the configuration
	settle    *time.Duration                                      // for tests: instead of http1.DefaultSettle
	watch     func(*discovery.Watch)                              // for tests: changes a watch before it begins
	back      func(*http1.Back)                                   // for tests: the same of a pool's connections
	adopt     func()                                              // for tests: called just before and after a change's rules are adopted
}

// Starting is a context that ends when the start may no longer wait for sockets.
func (o Options) Starting() (context.Context, context.CancelFunc) {
	if o.Start == nil {
		o.Start = context.Background()
	}
	return context.WithTimeout(o.Start, netlistener.Patience)
}

// Limit keeps the process within its cores and its memory.
func Limit(l config.Limits) {
	runtime.GOMAXPROCS(l.Cores)
	debug.SetMemoryLimit(int64(l.Memory) * 3 / 4)
}

// NewPlatform puts a node together from the platform's configuration.
func NewPlatform(cfg *config.Config, start config.Start, log *slog.Logger, o Options) (*Node, error) {
	known, err := discovery.Parse(start.Known)
	if err != nil {
		log.Warn("the known list is dropped", "error", err)
		known = discovery.List{Full: true, Rev: -1}
	}
	return newNode(cfg, &initialState{start.Seed, known}, log, o)
}

// New puts a node together from a checked configuration and begins to listen. Nothing is served before Run.
func New(cfg *config.Config, log *slog.Logger, o Options) (*Node, error) {
	return newNode(cfg, nil, log, o)
}

func newNode(cfg *config.Config, start *initialState, log *slog.Logger, o Options) (*Node, error) {
	if o.Listen == nil {
		o.Listen = net.Listen
	}
	n := &Node{clock: clock.New(), log: log, options: o, named: start == nil, start: start, servers: descriptors.NewShare(0),
		failed: make(chan error, 1), draining: make(chan struct{}), sockets: map[string]*socket{},
		listeners: map[string]*listener{}, pools: map[string]*pool{}, retiringPools: map[*pool]bool{}, retiringListeners: map[*listener]bool{}, closingSockets: map[string]chan struct{}{}}
	n.incarnation, n.stop = context.WithCancel(context.Background())
	n.clients = downstream.New(n.clock, downstream.Share{}, n.servers.Used)
	if o.Processes != nil {
		n.hasSuccessor = !o.Processes.Seated()
	}
	n.resize(cfg)
	starting, cancel := o.Starting()
	defer cancel()
	c, err := n.Prepare(starting, cfg, 0)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	if err := c.Commit(); err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	if err := errors.Join(n.openManagement(starting, cfg.Node.Management), n.openPeers(starting, cfg.Node), n.openGateway(starting, cfg)); err != nil {
		n.close()
		return nil, fmt.Errorf("node: %w", err)
	}
	return n, nil
}

// resize shares the descriptors of a configuration out: half of what is not the node's own may be servers'
// connections, and clients have what servers leave. Two processes of one node have half of all each. The caller
// holds mu.
func (n *Node) resize(cfg *config.Config) {
	limits, room, spare := cfg.Node.Limits, cfg.Node.Limits.Descriptors-cfg.OwnDescriptors(), config.Reserved/2
	if n.hasSuccessor {
		limits.Memory, room, spare = limits.Memory/2, room/2, spare/2
	}
	n.servers.Resize(room / 2)
	n.clients.Resize(downstream.Share{Capacity: room, Minimum: room / 4, Spare: spare})
	if n.options.Limit != nil {
		n.options.Limit(limits)
	}
}

// fail ends the node for a part that can't go on.
func (n *Node) fail(err error) {
	select {
	case n.failed <- err:
	default:
	}
}

// Addr is where a listener listens.
func (n *Node) Addr(listener string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[listener]; l != nil {
		return l.socket.Addr().String()
	}
	return ""
}

// Config is the configuration that runs.
func (n *Node) Config() *config.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg
}

// Reload takes over what may change of the platform's configuration in a running node: where discovery is. The
// module, the clients and the connections to servers stay as they are.
func (n *Node) Reload(cfg *config.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.cfg
	for _, f := range []struct {
		name    string
		changed bool
	}{
		{"listen", old.Listeners[0].Address != cfg.Listeners[0].Address}, {"limits", old.Node.Limits != cfg.Node.Limits},
		{"settings", !reflect.DeepEqual(old.Settings(old.Pools[0]), cfg.Settings(cfg.Pools[0]))},
	} {
		if f.changed {
			n.log.Warn("a change in the configuration waits for the next start", "field", f.name)
		}
	}
	at := cfg.Pools[0].Registry.Address
	n.log.Info("the configuration is read again", "discovery", at)
	n.pools[config.PlatformPool].source.Load().watch.SetAddress(at)
}

// Run serves until ctx ends, and then until all that was taken is answered.
func (n *Node) Run(ctx context.Context) error {
	n.mu.Lock()
	n.serving = true
	for _, l := range n.listeners {
		l.socket.accept(l.front, n.fail)
	}
	n.mu.Unlock()
	defer n.close()
	if n.peers != nil {
		n.inBackground(func() { n.peers.Run(n.incarnation) })
		n.inBackground(func() { n.publishToPeers(n.incarnation, time.Duration(n.Config().Node.Peers.Fresh)) })
	}
	if n.options.Processes != nil {
		n.inBackground(func() { n.options.Processes.Watch(n.incarnation, n.shareLimits) })
	}
	select {
	case err := <-n.failed:
		return fmt.Errorf("node: %w", err)
	case <-ctx.Done():
	}
	n.log.Info("draining")
	if err := n.drain(); err != nil {
		return fmt.Errorf("node: drain: %w", err)
	}
	return nil
}

// close ends all parts; nothing is taken any more, and what was is answered.
// Close ends a node that was not run.
func (n *Node) Close() { n.close() }

func (n *Node) close() {
	n.mu.Lock()
	if !n.shuttingDown {
		n.shuttingDown = true
		close(n.draining)
	}
	sockets, pools := n.sockets, n.allPools()
	n.mu.Unlock()
	n.stop()
	if n.management != nil {
		n.management.Close()
	}
	if n.gateway != nil {
		n.gateway.Close()
	}
	if n.peers != nil {
		n.peers.Close()
	}
	for _, s := range sockets {
		s.shutdown()
	}
	for _, p := range pools {
		p.close()
	}
	n.background.Wait()
}

// allPools are those that run and those that are being retired. The caller holds mu.
func (n *Node) allPools() (all []*pool) {
	for _, p := range n.pools {
		all = append(all, p)
	}
	for p := range n.retiringPools {
		all = append(all, p)
	}
	return all
}

// Status is what a node holds.
type Status struct {
	Listeners map[string]ListenerStatus `json:"listeners"`
	Pools     map[string]PoolStatus     `json:"pools"`
	Draining  []string                  `json:"draining,omitempty"` // of earlier configurations, as "pool a"
	Clients   int                       `json:"callers"`            // connections
	Ready     bool                      `json:"ready"`
	Peers     *gossip.Status            `json:"peers,omitempty"` // what is known of other nodes
	Gateway   *gateway.Status           `json:"gateway,omitempty"`
}

// ListenerStatus is what a listener does.
type ListenerStatus struct {
	Address string `json:"address"` // that it listens at
}

// PoolStatus is what a pool holds.
type PoolStatus struct {
	Requests    engine.Status `json:"calls"`
	Connections int           `json:"connections"` // to servers
}

// Status tells what the node holds now.
func (n *Node) Status() Status {
	n.mu.Lock()
	s := Status{Listeners: map[string]ListenerStatus{}, Pools: map[string]PoolStatus{}, Clients: n.clients.Open(),
		Ready: n.requests.Snapshot().Ready() && n.readiness.At(n.clock.Now()).Ready}
	for name, l := range n.listeners {
		s.Listeners[name] = ListenerStatus{l.socket.Addr().String()}
	}
	s.Draining = n.retiringNames()
	pools := n.pools
	n.mu.Unlock()
	if n.peers != nil {
		st := n.peers.Status()
		s.Peers = &st
	}
	if n.gateway != nil {
		st := n.gateway.Status()
		s.Gateway = &st
	}
	for name, p := range pools {
		s.Pools[name] = PoolStatus{p.engine.Status(), p.back.Connections()}
	}
	return s
}
