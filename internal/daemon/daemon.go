// Package daemon runs a node by a file of our own: it decides at a start which configuration runs, keeps it in
// the state folder, and carries plans, rollbacks and reloads out in the steps that plan.Machine orders.
package daemon

import (
	"context"
	"errors"
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
	Wait     time.Duration // for a reload's new lists; 0: admin.DefaultWait
	Log      *slog.Logger
	Node     node.Options

	StateFiles  state.Files   // for tests: the file system that the state folder is on; nil: the machine's
	repairDelay time.Duration // for tests: before the first attempt to repair the state folder; 0: firstRepairDelay
}

// Daemon is a node with its state and its admin socket.
type Daemon struct {
	options     Options
	log         *slog.Logger
	node        *node.Node
	folder      *state.Folder // nil: nothing is kept
	server      *admin.Server
	startConfig *config.Config // that the process began with: what takes a restart is as it says
	name        string         // of this incarnation of the process
	startReason string         // which configuration the start found, and why that one
	incarnation context.Context
	cancel      context.CancelFunc
	changes     sync.WaitGroup
	divergence  chan struct{} // the state folder may have come to hold another record than that of what runs
	writing     sync.Mutex    // over each write to the state folder

	mu      sync.Mutex
	machine *plan.Machine
	record  *state.Record // of what runs
	last    *admin.Outcome
}

// Start reads the file and the state folder, and begins to listen. Nothing is served before Run. The error has
// a line for each thing that is wrong.
func Start(o Options) (*Daemon, error) {
	if o.Wait == 0 {
		o.Wait = admin.DefaultWait
	}
	if o.StateFiles == nil {
		o.StateFiles = state.Disk{}
	}
	if o.repairDelay == 0 {
		o.repairDelay = firstRepairDelay
	}
	cfg, problems := config.Load(o.File)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	for _, w := range problems.Warnings() {
		o.Log.Warn(w.Error())
	}
	starting, cancel := o.Node.Starting()
	defer cancel()
	o.Node.Start = starting // the node and the admin socket wait within one time
	d := &Daemon{options: o, divergence: make(chan struct{}, 1), name: state.NewName(), log: o.Log.With("node", cfg.Node.Name, "zone", cfg.Node.Zone)}
	fresh, err := d.choose(cfg)
	if err != nil {
		return nil, err
	}
	running := d.record.Running
	d.startConfig = running.Config
	d.log.Info("configuration", "serial", running.Serial, "fingerprint", plan.Short(running.Fingerprint), "why", d.startReason)
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
	if path := running.Config.Node.AdminSocket; path != "" {
		ln, err := listener.Open(starting, d.log, func() (net.Listener, error) { return admin.Listen(path) })
		if err != nil {
			d.cancel()
			d.node.Close()
			return nil, err
		}
		d.server = admin.NewServer(ln, d, d.log)
	}
	return d, nil
}

// How long a start tries to read the state folder's record, and the first wait between two tries.
const (
	maxReadTime    = 2 * time.Second
	firstReadDelay = 20 * time.Millisecond
)

// load reads the state folder's record, again for a while where that fails in a way that may pass.
func (d *Daemon) load(node string) (*state.Record, error) {
	begun := time.Now()
	for wait := firstReadDelay; ; wait *= 2 {
		held, err := d.folder.Load(node)
		if !state.IsTemporary(err) || time.Since(begun)+wait > maxReadTime {
			return held, err
		}
		time.Sleep(wait)
	}
}

// keepFirst has the state folder hold the record of a start. An error that may pass is reported and left to the mending:
// a node that can serve is not kept from it by a full disk.
func (d *Daemon) keepFirst(fresh bool) (kept bool, err error) {
	if d.folder == nil || !fresh && d.folder.Confirm() == nil {
		return true, nil
	}
	err = d.folder.Save(d.record)
	switch {
	case err == nil:
		return true, nil
	case fresh && !state.IsTemporary(err):
		return false, err
	}
	d.reportDivergence(err)
	return false, nil
}

// choose settles which configuration runs, the file's or the state folder's, and why. fresh: it is the file's,
// and the state folder does not hold it yet.
func (d *Daemon) choose(cfg *config.Config) (fresh bool, err error) {
	entry := state.Entry{Serial: 1, Fingerprint: cfg.Fingerprint(), By: "start", At: now(), Config: cfg}
	d.record = &state.Record{Node: cfg.Node.Name, Lineage: state.NewName(), Running: entry}
	if cfg.Node.StateFolder == "" {
		d.startReason = "the file: there is no state folder, and what is applied is lost with the process"
		return true, nil
	}
	if d.folder, err = state.OpenOn(d.options.StateFiles, cfg.Node.StateFolder); err != nil {
		return false, err
	}
	if err := d.folder.Sweep(); err != nil {
		d.log.Warn("files of writes that were cut short stay until the next write", "error", err)
	}
	held, err := d.load(cfg.Node.Name)
	switch {
	case errors.Is(err, state.ErrNone):
		d.startReason = "the file: the state folder holds none"
	case errors.Is(err, state.ErrDamaged):
		d.log.Error("the state folder's record can't be used", "error", err)
		d.startReason = "the file: " + err.Error()
	case state.IsTemporary(err):
		return false, fmt.Errorf("%w; it may hold what was applied, and the file does not run in its place", err)
	case err != nil:
		return false, fmt.Errorf("%w; give this node a folder of its own, or start the program that wrote it", err)
	case held.Running.Fingerprint == entry.Fingerprint:
		d.record = held
		d.startReason = fmt.Sprintf("serial %d as it was put in place by %s: the file says the same", held.Running.Serial, held.Running.By)
		return false, nil
	case !d.options.FromFile:
		d.record = held
		d.startReason = fmt.Sprintf("serial %d as it was put in place by %s; the file says something else, which plan and apply can bring, or a start with -from-file",
			held.Running.Serial, held.Running.By)
		d.log.Warn("the file differs from what was applied last, and is not taken", "file", d.options.File, "running", plan.Short(held.Running.Fingerprint))
		return false, nil
	default:
		entry.Serial = held.Running.Serial + 1
		before := held.Running
		d.record = &state.Record{Node: held.Node, Lineage: held.Lineage, Running: entry, Previous: &before}
		d.startReason = fmt.Sprintf("the file, as the start was told: the state folder holds serial %d, which it is not", before.Serial)
	}
	return true, nil
}

func now() time.Time { return time.Now().UTC().Truncate(time.Millisecond) }

// running names what runs. The caller holds mu, or is alone.
func (d *Daemon) running() plan.Running {
	return d.named(d.record.Running)
}

// named names an entry of the record.
func (d *Daemon) named(e state.Entry) plan.Running {
	return plan.Running{Node: d.record.Node, Lineage: d.record.Lineage, Incarnation: d.name, Serial: e.Serial, Fingerprint: e.Fingerprint}
}

// finalResponseTime is how long clients may take to read what came of a change when the daemon ends.
const finalResponseTime = time.Second

// Run serves until ctx ends, and then until all that was taken is answered. No change is begun any more then,
// and one under way is undone or, once it is in the state folder, finished.
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

// endChanges has no change begin any more, and those under way not wait.
func (d *Daemon) endChanges() {
	d.mu.Lock()
	d.machine.Shutdown()
	d.mu.Unlock()
	d.cancel()
}

// Addr is where a listener listens.
func (d *Daemon) Addr(listener string) string { return d.node.Addr(listener) }

// Show tells what runs and what it does.
func (d *Daemon) Show() admin.Show {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.record.Running
	s := admin.Show{Running: d.running(), By: r.By, Since: r.At, Start: d.startReason, Config: r.Config, Status: d.node.Status(),
		Needs: r.Config.Needs(), Restart: plan.Restarts(plan.Diff(d.startConfig, r.Config)), Diverged: d.machine.Diverged(),
		Last: d.last, Memory: d.folder == nil}
	if p := d.record.Previous; p != nil {
		before := d.named(*p)
		s.Previous = &before
		s.Before = p.Config
	}
	if phase := d.machine.Phase(); phase != "idle" {
		s.UnderWay = phase
	}
	return s
}

// Apply implements admin.Control.
func (d *Daemon) Apply(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
	p, err := plan.Decode(text)
	if err != nil {
		return d.reject("apply", err)
	}
	return d.change(plan.Proposal{By: "apply", Plan: p, Config: p.Config, Base: p.Base}, wait, step)
}

// Rollback implements admin.Control.
func (d *Daemon) Rollback(base plan.Running, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
	d.mu.Lock()
	previous := d.record.Previous
	d.mu.Unlock()
	if previous == nil {
		return d.reject("rollback", &admin.Error{Code: admin.CodeNothing, Message: "there is no configuration before this one"})
	}
	return d.change(plan.Proposal{By: "rollback", Config: previous.Config, Base: base}, wait, step)
}

// Reload reads the file again and puts it in place, as a plan made and applied at once would.
func (d *Daemon) Reload() {
	cfg, problems := config.Reload(d.options.File)
	if err := problems.Err(); err != nil {
		d.log.Error("the file is not taken over; what runs stays", "error", err)
		return
	}
	d.mu.Lock()
	base := d.running()
	d.mu.Unlock()
	if base.Fingerprint == cfg.Fingerprint() {
		d.log.Info("the file is read again and says what runs")
		return
	}
	if _, err := d.change(plan.Proposal{By: "reload", Config: cfg, Base: base}, d.options.Wait, func(string, time.Duration) {}); err != nil {
		d.log.Error("the file is not taken over; what runs stays", "error", err)
	}
}

// reject logs and words a refusal.
func (d *Daemon) reject(by string, err error) (plan.Running, error) {
	d.log.Warn("a change is refused", "by", by, "error", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running(), coded(err)
}

// coded gives an error the code that clients know it by.
func coded(err error) error {
	var already *admin.Error
	if errors.As(err, &already) {
		return err
	}
	for is, code := range map[error]string{plan.ErrUnreadable: admin.CodeUnreadable, plan.ErrNewer: admin.CodeNewer,
		plan.ErrOtherNode: admin.CodeOtherNode, plan.ErrInvalid: admin.CodeInvalid, plan.ErrStale: admin.CodeStale,
		plan.ErrBusy: admin.CodeBusy, plan.ErrShuttingDown: admin.CodeEnding, node.ErrShuttingDown: admin.CodeEnding} {
		if errors.Is(err, is) {
			return &admin.Error{Code: code, Message: err.Error()}
		}
	}
	return &admin.Error{Code: admin.CodeFailed, Message: err.Error()}
}

var stepNames = map[plan.Step]string{plan.Repair: "repair", plan.Prepare: "prepare", plan.Persist: "persist", plan.Commit: "commit",
	plan.Restore: "restore", plan.Undo: "undo", plan.Retire: "retire"}

// change carries a proposal out, one step after another, to its end.
func (d *Daemon) change(o plan.Proposal, wait time.Duration, told func(string, time.Duration)) (plan.Running, error) {
	d.mu.Lock()
	step, err := d.machine.Propose(o)
	if err == nil {
		d.changes.Add(1)
	}
	d.mu.Unlock()
	if err != nil {
		return d.reject(o.By, err)
	}
	defer d.changes.Done()
	var c *node.Change
	var next *state.Record
	for step != plan.Nothing {
		begin := time.Now()
		switch step {
		case plan.Repair, plan.Restore:
			err = d.save(d.record)
		case plan.Prepare:
			c, err = d.node.Prepare(d.incarnation, o.Config, wait)
		case plan.Persist:
			next = d.nextRecord(o)
			err = d.save(next)
		case plan.Commit:
			if err = c.Commit(); err == nil {
				d.mu.Lock()
				d.record = next
				d.mu.Unlock()
			}
		case plan.Undo:
			c.Undo()
			err = nil
		case plan.Retire:
			err = nil // the node sees to it, behind
		}
		told(stepNames[step], time.Since(begin))
		d.mu.Lock()
		step = d.machine.Done(err)
		d.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	err = d.machine.Err()
	d.last = &admin.Outcome{By: o.By, At: now()}
	if err != nil {
		d.last.Error = err.Error()
		if d.machine.Diverged() {
			d.reportDivergence(err)
		}
		d.log.Error("a change failed; what ran before runs on", "by", o.By, "serial", d.record.Running.Serial, "error", err)
		return d.running(), coded(err)
	}
	d.log.Info("configuration", "serial", d.record.Running.Serial, "fingerprint", plan.Short(d.record.Running.Fingerprint), "why", "put in place by "+o.By)
	return d.running(), nil
}

func (d *Daemon) save(r *state.Record) error {
	if d.folder == nil {
		return nil
	}
	d.writing.Lock()
	defer d.writing.Unlock()
	err := d.folder.Save(r)
	var write *state.WriteError
	if errors.As(err, &write) && write.Untouched {
		return &plan.UntouchedError{Err: err}
	}
	return err
}

// nextRecord is what the state folder holds once the proposal is in place.
func (d *Daemon) nextRecord(o plan.Proposal) *state.Record {
	before := d.record.Running
	return &state.Record{Node: d.record.Node, Lineage: d.record.Lineage, Previous: &before,
		Running: state.Entry{Serial: before.Serial + 1, Fingerprint: o.Config.Fingerprint(), By: o.By, At: now(), Config: o.Config}}
}
