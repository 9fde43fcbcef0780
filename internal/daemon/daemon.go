// Package daemon runs a node by a file of our own. It decides at a start which configuration runs, the file's or the
// recorded one, carries plans, rollbacks and reloads out in the steps that plan.Machine orders, and keeps the state
// folder's record in step with what runs: a record that diverged is written again until that succeeds. It serves the
// admin socket; requests are the node's.
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

// Options are what a daemon is started with.
type Options struct {
	File     string        // of our own
	FromFile bool          // the file runs, whatever the state folder holds
	Wait     time.Duration // of a reload for new endpoint lists; 0: admin.DefaultWait
	Log      *slog.Logger
	Node     node.Options

	StateFiles  state.Files   // for tests: the file system that the state folder is on; nil: the machine's
	repairDelay time.Duration // for tests: before the first attempt to repair the state folder; 0: firstRepairDelay
}

// Daemon is a node with its state folder and its admin socket. Changes are carried out one at a time, by the goroutine that
// asked for them; mu guards what they and Show share.
type Daemon struct {
	options     Options
	log         *slog.Logger
	node        *node.Node
	folder      *state.Folder // nil: nothing is recorded
	server      *admin.Server
	startConfig *config.Config  // that the process began with; fields that need a restart are still as it says
	name        string          // of this incarnation of the process
	startReason string          // which configuration the start found, and why that one
	incarnation context.Context // ends when the shutdown begins
	cancel      context.CancelFunc
	changes     sync.WaitGroup
	divergence  chan struct{} // signals that the state folder may hold another record than that of what runs
	writing     sync.Mutex    // held over each write to the state folder; taken before mu

	mu      sync.Mutex
	machine *plan.Machine
	record  *state.Record  // of what runs
	last    *admin.Outcome // of the last change; nil: there was none
}

// Start reads the file and the state folder, and begins to listen. Nothing is served before Run. The error has
// a line for each thing that is wrong.
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
	o.Node.StartContext = starting // the node and the admin socket wait within one time
	d := &Daemon{
		options:    o,
		divergence: make(chan struct{}, 1),
		name:       state.NewName(),
		log:        o.Log.With("node", cfg.Node.Name, "zone", cfg.Node.Zone),
	}
	fresh, err := d.choose(cfg)
	if err != nil {
		return nil, err
	}
	running := d.record.Running
	d.startConfig = running.Config
	d.log.Info("configuration", "serial", running.Serial, "fingerprint", plan.ShortFingerprint(running.Fingerprint), "why", d.startReason)
	if d.node, err = node.New(running.Config, d.log, o.Node); err != nil {
		if !fresh {
			err = fmt.Errorf("%w; this is the configuration that was applied last: a start with -from-file takes the file instead", err)
		}
		return nil, err
	}
	// Only a configuration that could be started is recorded: a file that could not is corrected, and then read again.
	kept, err := d.keepFirst(fresh)
	if err != nil {
		d.node.Close()
		return nil, err
	}
	d.machine = plan.NewMachine(d.running(), !kept)
	d.incarnation, d.cancel = context.WithCancel(context.Background())
	if err := d.openAdmin(starting, running.Config.Node.AdminSocket); err != nil {
		d.cancel()
		d.node.Close()
		return nil, err
	}
	return d, nil
}

// withDefaults fills in what was not given.
func (o Options) withDefaults() Options {
	if o.Wait == 0 {
		o.Wait = admin.DefaultWait
	}
	if o.StateFiles == nil {
		o.StateFiles = state.Disk{}
	}
	if o.repairDelay == 0 {
		o.repairDelay = firstRepairDelay
	}
	return o
}

// openAdmin serves the admin socket at a path; empty: there is none.
func (d *Daemon) openAdmin(starting context.Context, path string) error {
	if path == "" {
		return nil
	}
	ln, err := listener.Open(starting, d.log, func() (net.Listener, error) { return admin.Listen(path) })
	if err != nil {
		return err
	}
	d.server = admin.NewServer(ln, d, d.log)
	return nil
}

func now() time.Time { return time.Now().UTC().Truncate(time.Millisecond) }

// running identifies what runs. The caller holds mu, or is alone.
func (d *Daemon) running() plan.Running {
	return d.named(d.record.Running)
}

// named identifies an entry of the record.
func (d *Daemon) named(e state.Entry) plan.Running {
	return plan.Running{
		Node:        d.record.Node,
		Lineage:     d.record.Lineage,
		Incarnation: d.name,
		Serial:      e.Serial,
		Fingerprint: e.Fingerprint,
	}
}

// finalResponseTime is how long clients of the admin socket may take to read the outcome of a change at shutdown.
const finalResponseTime = time.Second

// Run serves until ctx ends, and then shuts down gracefully: all requests are answered, no change is begun any more, one
// under way is undone or, once it is in the state folder, finished, and a diverged record is repaired if that succeeds.
func (d *Daemon) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.endChanges)
	defer stop()
	mending, endMending := context.WithCancel(context.Background())
	mended := make(chan struct{})
	go func() {
		defer close(mended)
		d.repairOnDivergence(mending)
	}()
	err := d.node.Run(ctx)
	d.endChanges()
	d.changes.Wait()
	endMending()
	<-mended
	if d.server != nil {
		last, cancel := context.WithTimeout(context.Background(), finalResponseTime)
		defer cancel()
		if d.server.Shutdown(last) != nil {
			d.server.Close()
		}
	}
	return err
}

// endChanges lets no change begin any more; one under way no longer waits for endpoint lists.
func (d *Daemon) endChanges() {
	d.mu.Lock()
	d.machine.Shutdown()
	d.mu.Unlock()
	d.cancel()
}

// Addr is the address of a listener; empty: there is none of the name.
func (d *Daemon) Addr(listener string) string { return d.node.Addr(listener) }

// Show implements admin.Control.
func (d *Daemon) Show() admin.Show {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.record.Running
	s := admin.Show{
		Running:  d.running(),
		By:       r.By,
		Since:    r.At,
		Start:    d.startReason,
		Config:   r.Config,
		Status:   d.node.Status(),
		Needs:    r.Config.Needs(),
		Restart:  plan.RestartFields(plan.Diff(d.startConfig, r.Config)),
		Diverged: d.machine.Diverged(),
		Last:     d.last,
		Memory:   d.folder == nil,
	}
	if p := d.record.Previous; p != nil {
		before := d.named(*p)
		s.Previous = &before
		s.Before = p.Config
	}
	if d.machine.Busy() {
		s.UnderWay = d.machine.Phase()
	}
	return s
}
