// Package daemon runs a node from a configuration file in this program's own format. At a start it chooses between the file
// and the recorded configuration. It executes plans, rollbacks and reloads in the steps that plan.Machine orders, and keeps
// the state folder's record consistent with the running configuration: a record that diverged is rewritten until that
// succeeds. It serves the admin socket; package node serves the requests.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/config"
	"damsontrestle/internal/listener"
	"damsontrestle/internal/node"
	"damsontrestle/internal/plan"
	"damsontrestle/internal/state"
)

// Options configure a Daemon.
type Options struct {
	File     string        // path of the configuration file, in this program's own format
	FromFile bool          // start with the file, whatever the state folder holds
	Wait     time.Duration // how long a reload waits for new endpoint lists; 0: admin.DefaultWait
	Log      *slog.Logger
	Node     node.Options

	StateFileSystem state.FileSystem // file system of the state folder, set by tests; nil: state.Disk
	repairDelay     time.Duration    // delay before the first attempt to repair the state folder, set by tests; 0: firstRepairDelay
}

// Daemon is a node with its state folder and its admin socket. Changes are executed one at a time, by the goroutine that
// requested them; mu guards the state that they share with Show.
type Daemon struct {
	options       Options
	log           *slog.Logger
	node          *node.Node
	folder        *state.Folder // nil: the configuration is not recorded
	adminServer   *admin.Server
	startConfig   *config.Config  // configuration at the start; still in effect for the fields that need a restart
	incarnationID string          // random id of this process
	startReason   string          // which configuration the start chose, and why
	changesCtx    context.Context // cancelled when the shutdown begins
	cancelChanges context.CancelFunc
	changes       sync.WaitGroup
	divergence    chan struct{} // signals that the state folder may hold another record than that of the running configuration
	saveMu        sync.Mutex    // held during each write to the state folder; acquired before mu

	mu          sync.Mutex
	machine     *plan.Machine
	record      *state.Record  // of the running configuration
	lastOutcome *admin.Outcome // of the most recent change; nil: there was none
}

// Start reads the file and the state folder and opens the listeners. It serves no requests before Run. The error has a line
// for each problem of the file.
func Start(o Options) (*Daemon, error) {
	o = o.withDefaults()
	cfg, problems := config.Load(o.File)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	for _, w := range problems.Warnings() {
		o.Log.Warn(w.Error())
	}
	starting, cancel := o.Node.Starting()
	defer cancel()
	o.Node.StartContext = starting // one deadline for the sockets of the node and the admin socket
	d := &Daemon{
		options:       o,
		divergence:    make(chan struct{}, 1),
		incarnationID: state.NewID(),
		log:           o.Log.With("node", cfg.Node.Name, "zone", cfg.Node.Zone),
	}
	unrecorded, err := d.chooseConfig(cfg)
	if err != nil {
		return nil, err
	}
	running := d.record.Running
	d.startConfig = running.Config
	d.log.Info("configuration", "serial", running.Serial, "fingerprint", plan.ShortFingerprint(running.Fingerprint), "why", d.startReason)
	if d.node, err = node.New(running.Config, d.log, o.Node); err != nil {
		if !unrecorded {
			err = fmt.Errorf("%w; the start used the configuration that was applied last: a start with -from-file uses the file instead", err)
		}
		return nil, err
	}
	// Only a configuration that could be started is recorded, so that a file that can't be started may be corrected and
	// is read by the next start.
	recorded, err := d.recordStart(unrecorded)
	if err != nil {
		d.node.Close()
		return nil, err
	}
	d.machine = plan.NewMachine(d.running(), !recorded)
	d.changesCtx, d.cancelChanges = context.WithCancel(context.Background())
	if err := d.openAdmin(starting, running.Config.Node.AdminSocket); err != nil {
		d.cancelChanges()
		d.node.Close()
		return nil, err
	}
	return d, nil
}

// withDefaults returns o with defaults for the fields that are not set.
func (o Options) withDefaults() Options {
	if o.Wait == 0 {
		o.Wait = admin.DefaultWait
	}
	if o.StateFileSystem == nil {
		o.StateFileSystem = state.Disk{}
	}
	if o.repairDelay == 0 {
		o.repairDelay = firstRepairDelay
	}
	return o
}

// openAdmin starts to serve the admin socket at path; empty: there is none.
func (d *Daemon) openAdmin(starting context.Context, path string) error {
	if path == "" {
		return nil
	}
	ln, err := listener.Open(starting, d.log, func() (net.Listener, error) { return admin.Listen(path) })
	if err != nil {
		return err
	}
	d.adminServer = admin.NewServer(ln, d, d.log)
	return nil
}

func now() time.Time { return time.Now().UTC().Truncate(time.Millisecond) }

// running identifies the running configuration. The caller holds mu, unless no other goroutine uses d yet.
func (d *Daemon) running() plan.Running {
	return d.identify(d.record.Running)
}

// identify returns the identification of an entry of the record.
func (d *Daemon) identify(e state.Entry) plan.Running {
	return plan.Running{
		Node:        d.record.Node,
		Lineage:     d.record.Lineage,
		Incarnation: d.incarnationID,
		Serial:      e.Serial,
		Fingerprint: e.Fingerprint,
	}
}

// finalResponseTime is how long, at shutdown, clients of the admin socket may take to read the outcome of a change.
const finalResponseTime = time.Second

// Run serves until ctx ends and then shuts down gracefully: it completes all requests and starts no more changes. A change
// under way is undone or, once it is recorded in the state folder, finished. A diverged record is repaired if possible.
func (d *Daemon) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.stopChanges)
	defer stop()
	repairCtx, stopRepair := context.WithCancel(context.Background())
	repairDone := make(chan struct{})
	go func() {
		defer close(repairDone)
		d.repairOnDivergence(repairCtx)
	}()
	err := d.node.Run(ctx)
	d.stopChanges()
	d.changes.Wait()
	stopRepair()
	<-repairDone
	if d.adminServer != nil {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), finalResponseTime)
		defer cancel()
		if d.adminServer.Shutdown(shutdownCtx) != nil {
			d.adminServer.Close()
		}
	}
	return err
}

// stopChanges prevents new changes; a change under way stops waiting for endpoint lists.
func (d *Daemon) stopChanges() {
	d.mu.Lock()
	d.machine.Shutdown()
	d.mu.Unlock()
	d.cancelChanges()
}

// Addr returns the address of a listener, or "" if there is none of that name.
func (d *Daemon) Addr(listener string) string { return d.node.Addr(listener) }

// Show implements admin.Control.
func (d *Daemon) Show() admin.ShowResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.record.Running
	s := admin.ShowResponse{
		Running:      d.running(),
		By:           r.By,
		Since:        r.At,
		StartSource:  d.startReason,
		Config:       r.Config,
		Status:       d.node.Status(),
		Needs:        r.Config.Needs(),
		NeedsRestart: plan.RestartFields(plan.Diff(d.startConfig, r.Config)),
		Diverged:     d.machine.Diverged(),
		LastChange:   d.lastOutcome,
		InMemoryOnly: d.folder == nil,
	}
	if p := d.record.Previous; p != nil {
		before := d.identify(*p)
		s.Previous = &before
		s.PreviousConfig = p.Config
	}
	if d.machine.Busy() {
		s.CurrentStep = d.machine.Phase()
	}
	return s
}
