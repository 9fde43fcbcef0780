// Package node builds the parts of a load balancer node from a configuration, starts them, reconfigures them while
// requests are served, and shuts them down gracefully.
//
// It owns the listening sockets, the front ends, the pools with their engines and backends, and the goroutines of all
// of them: Node.Run returns only when these have ended. Prepare and Commit replace the running configuration atomically
// for all requests; replaced parts are retired in the background. The package makes no decisions on requests, which
// internal/balancer and internal/route do, and does not order the steps of a change, which internal/plan does.
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
	"damsontrestle/internal/gateway"
	"damsontrestle/internal/gossip"
	"damsontrestle/internal/hotrestart"
	netlistener "damsontrestle/internal/listener"
	"damsontrestle/internal/metrics"
	"damsontrestle/internal/mgmt"
	"damsontrestle/internal/readiness"
	"damsontrestle/internal/requestids"
	"damsontrestle/internal/upstream"
)

// Node is one load balancer node.
type Node struct {
	clock             clock.Clock
	log               *slog.Logger
	options           Options
	logPoolNames      bool               // adds the name of a pool to its log messages
	initial           *initialState      // nil: pools start with a random seed and no list
	serverDescriptors *descriptors.Share // descriptors for connections to servers
	metrics           metrics.Recorder
	management        *mgmt.Server      // nil: none
	peers             *gossip.Transport // nil: the node has no peers
	gateway           *gateway.Gateway  // nil: the node is not a gateway
	clients           *downstream.Set
	dispatcher        *dispatch.Dispatcher
	forwarded         *requestids.Set // shared with the node's other process, if there can be one

	incarnation context.Context // done once the node is closed
	stop        context.CancelFunc
	failed      chan error    // receives the first fatal error of a part
	draining    chan struct{} // closed when the shutdown begins
	background  sync.WaitGroup

	mu                 sync.Mutex
	cfg                *config.Config // running configuration; nil before the first commit
	sockets            map[string]*socket
	listeners          map[string]*listener
	pools              map[string]*pool
	retiringPools      map[*pool]bool
	retiringListeners  map[*listener]bool       // listeners whose client connections are being closed
	closingSockets     map[string]chan struct{} // by socket key; closed once the replaced socket is closed
	change             *Change                  // in progress; nil: none
	serving            bool
	shuttingDown       bool
	readiness          readiness.Tracker
	closingConnections context.CancelFunc // stops the closing of idle connections that Quiesce started; nil: not running
	sharesLimits       bool               // another process of this node uses half of its limits
}

// initialState holds the seed and the endpoint list that the pools of the initial configuration start with.
type initialState struct {
	seed  uint64
	known discovery.List
}

// Options are the settings of a node outside of its configuration. The zero value is usable.
type Options struct {
	Listen           func(network, address string) (net.Listener, error) // nil: net.Listen
	SetLimits        func(config.Limits)                                 // applies the limits to the process; nil: no limits are applied
	Processes        *hotrestart.Processes                               // the processes of this node; nil: this is the only one
	StartContext     context.Context                                     // once done, the start no longer waits for sockets; the wait is limited to netlistener.OpenTimeout in any case
	Fault            func(point string) error                            // for tests: an error makes a step of a change fail
	schedule         *shutdownSchedule                                   // for tests: replaces the schedule derived from the configuration
	settle           *time.Duration                                      // for tests: replaces upstream.DefaultSettleDelay
	configureWatch   func(*discovery.Watch)                              // for tests: called with each watch before it starts
	configureBackend func(*upstream.Pool)                                // for tests: called with each pool's backend before it starts
	aroundAdopt      func()                                              // for tests: called just before and after the gateway adopts a change's rules
}

// Starting returns a context that is done when the start must no longer wait for sockets.
func (o Options) Starting() (context.Context, context.CancelFunc) {
	if o.StartContext == nil {
		o.StartContext = context.Background()
	}
	return context.WithTimeout(o.StartContext, netlistener.OpenTimeout)
}

// SetProcessLimits applies limits on cores and memory to the Go runtime.
func SetProcessLimits(l config.Limits) {
	runtime.GOMAXPROCS(l.Cores)
	debug.SetMemoryLimit(int64(l.Memory) * 3 / 4)
}

// NewPlatform creates a node from the platform's configuration, like New. If the known endpoint list is invalid, it logs
// the error and starts without a list.
func NewPlatform(cfg *config.Config, start config.InitialState, log *slog.Logger, o Options) (*Node, error) {
	known, err := discovery.Parse(start.EndpointList)
	if err != nil {
		log.Warn("known endpoint list is invalid; starting without it", "error", err)
		known = discovery.List{Full: true, Rev: -1}
	}
	return newNode(cfg, &initialState{start.Seed, known}, log, o)
}

// New creates a node from a validated configuration and opens its listening sockets. It serves nothing before Run. A node
// that is never run must be closed with Close.
func New(cfg *config.Config, log *slog.Logger, o Options) (*Node, error) {
	return newNode(cfg, nil, log, o)
}

func newNode(cfg *config.Config, start *initialState, log *slog.Logger, options Options) (*Node, error) {
	if options.Listen == nil {
		options.Listen = net.Listen
	}
	n := &Node{
		clock:             clock.New(),
		log:               log,
		options:           options,
		logPoolNames:      start == nil,
		initial:           start,
		serverDescriptors: descriptors.NewShare(0),
		failed:            make(chan error, 1),
		draining:          make(chan struct{}),
		sockets:           map[string]*socket{},
		listeners:         map[string]*listener{},
		pools:             map[string]*pool{},
		retiringPools:     map[*pool]bool{},
		retiringListeners: map[*listener]bool{},
		closingSockets:    map[string]chan struct{}{},
	}
	n.incarnation, n.stop = context.WithCancel(context.Background())
	n.clients = downstream.New(n.clock, downstream.Limits{}, n.serverDescriptors.Used)
	if options.Processes != nil {
		n.sharesLimits = !options.Processes.TakePrimary()
	}
	n.forwarded = openForwarded(options.Processes, log)
	n.resize(cfg)
	starting, cancel := options.Starting()
	defer cancel()
	c, err := n.Prepare(starting, cfg, 0)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	if err := c.Commit(); err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	err = errors.Join(
		n.openManagement(starting, cfg.Node.Management),
		n.openPeers(starting, cfg.Node),
		n.openGateway(starting, cfg),
	)
	if err != nil {
		n.close()
		return nil, fmt.Errorf("node: %w", err)
	}
	return n, nil
}

// openForwarded returns the ids of forwarded requests that the processes of a node share or, if that fails or there can be no other
// process, those of this one.
func openForwarded(processes *hotrestart.Processes, log *slog.Logger) *requestids.Set {
	if processes == nil {
		return requestids.New()
	}
	file, err := processes.SharedFile()
	if err == nil {
		defer file.Close()
		var shared *requestids.Set
		if shared, err = requestids.Open(file); err == nil {
			return shared
		}
	}
	log.Warn("request ids can't be shared with the node's other process", "error", err)
	return requestids.New()
}

// inputMemoryDivisor is the part of the node's memory that heads and buffered bodies of requests may occupy. Twice as much is in use
// while bodies are written to servers.
const inputMemoryDivisor = 5

// resize divides the descriptors of a configuration. Connections to servers may use half of the descriptors that the node
// does not need itself, and clients may use what servers leave. If two processes of the node run, each has half of
// everything. The caller holds mu or has exclusive access.
func (n *Node) resize(cfg *config.Config) {
	limits := cfg.Node.Limits
	capacity := limits.Descriptors - cfg.InternalDescriptors()
	spare := config.ReservedDescriptors / 2
	if n.sharesLimits {
		limits.Memory /= 2
		capacity /= 2
		spare /= 2
	}
	n.serverDescriptors.Resize(capacity / 2)
	n.clients.Resize(downstream.Limits{Capacity: capacity, ServerMinimum: capacity / 4, Reserve: spare, InputBytes: int64(limits.Memory) / inputMemoryDivisor})
	if n.options.SetLimits != nil {
		n.options.SetLimits(limits)
	}
}

// fail makes Run return the error of a part that cannot continue. Only the first error is reported.
func (n *Node) fail(err error) {
	select {
	case n.failed <- err:
	default:
	}
}

// Addr returns the address of a listener, as "127.0.0.1:7070", or "" if there is no listener of that name.
func (n *Node) Addr(listener string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[listener]; l != nil {
		return l.socket.Addr().String()
	}
	return ""
}

// Config returns the running configuration.
func (n *Node) Config() *config.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg
}

// Reload applies the only change of the platform's configuration that a running node supports: the address of discovery.
// Other changes are logged and take effect at the next start. The balancer, clients and connections to servers are not
// affected.
func (n *Node) Reload(cfg *config.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.cfg
	needsRestart := func(field string) {
		n.log.Warn("configuration change takes effect at the next start", "field", field)
	}
	if old.Listeners[0].Address != cfg.Listeners[0].Address {
		needsRestart("listen")
	}
	if old.Node.Limits != cfg.Node.Limits {
		needsRestart("limits")
	}
	if !reflect.DeepEqual(old.BalancerSettings(old.Pools[0]), cfg.BalancerSettings(cfg.Pools[0])) {
		needsRestart("settings")
	}
	address := cfg.Pools[0].Registry.Address
	n.log.Info("configuration reloaded", "discovery", address)
	n.pools[config.PlatformPool].source.Load().watch.SetAddress(address)
}

// Run serves until ctx is done, and then shuts down gracefully: it returns once all requests are answered and all
// goroutines have ended. The error is that of a part that could not continue, or reports how many requests were left
// unanswered.
func (n *Node) Run(ctx context.Context) error {
	n.mu.Lock()
	n.serving = true
	for _, l := range n.listeners {
		l.socket.accept(l.frontend, n.fail)
	}
	n.mu.Unlock()
	defer n.close()
	if n.peers != nil {
		n.inBackground(func() { n.peers.Run(n.incarnation) })
		n.inBackground(func() { n.publishToPeers(n.incarnation, time.Duration(n.Config().Node.Peers.MaxZoneStateAge)) })
	}
	if n.options.Processes != nil {
		n.inBackground(func() { n.options.Processes.Watch(n.incarnation, n.setLimitsShared) })
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

// Close closes a node that was not run.
func (n *Node) Close() { n.close() }

// close stops all parts and waits for their goroutines. The caller has answered open requests before, by drain.
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

// allPools returns the running and the retiring pools. The caller holds mu.
func (n *Node) allPools() (all []*pool) {
	for _, p := range n.pools {
		all = append(all, p)
	}
	for p := range n.retiringPools {
		all = append(all, p)
	}
	return all
}
