package faultbench

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/child"
	"damsontrestle/internal/faultbench/experiment"
)

// Times of node faults.
const (
	killDelay             = 700 * time.Millisecond // from the longest deadline after SIGTERM to SIGKILL (platform protocol)
	frontEndDelay         = 300 * time.Millisecond // for which new connections go on coming after SIGTERM (the same)
	reloadInterval        = 500 * time.Millisecond
	idleClientRedialDelay = 200 * time.Millisecond
)

// applyFault applies a node fault and returns once the node runs without interruption again.
func (n *node) applyFault(ctx context.Context, ft experiment.Fault) {
	f := n.fleet
	from := f.now()
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return
	}
	restart := func(skew time.Duration) {
		f.fail(n.start(ctx, skew))
		f.audit.RecordOutage(audit.Outage{Node: n.index, From: from, To: f.now()})
	}
	switch ft.Kind {
	case experiment.Kill, experiment.ClockSkew:
		f.audit.RecordOutage(audit.Outage{Node: n.index, From: from, To: ft.To})
		f.recordStrike(Strike{ft.Name, n.index, from, ft.To})
		n.stop(syscall.SIGKILL, 0)
		if ft.Kind == experiment.ClockSkew {
			restart(ft.Offset)
			return
		}
		f.waitUntil(ctx, ft.To)
		if ctx.Err() == nil {
			restart(0)
		}
	case experiment.Stop:
		f.audit.RecordOutage(audit.Outage{Node: n.index, From: from, To: ft.To + 100*time.Millisecond})
		f.recordStrike(Strike{ft.Name, n.index, from, ft.To})
		f.fail(p.Signal(syscall.SIGSTOP))
		f.waitUntil(ctx, ft.To)
		f.fail(p.Signal(syscall.SIGCONT))
	case experiment.Restart:
		n.stop(syscall.SIGTERM, 15*time.Second)
		f.audit.RecordOutage(audit.Outage{Node: n.index, From: f.now() - 100*time.Millisecond, To: f.now()})
		from = f.now()
		restart(0)
	case experiment.Terminate:
		n.terminate(ctx, ft)
		if err := n.start(ctx, 0); ctx.Err() == nil { // otherwise the run has ended
			f.fail(err)
		}
	case experiment.Reload:
		for f.now() < ft.To && ctx.Err() == nil {
			f.fail(p.Signal(syscall.SIGHUP))
			f.waitUntil(ctx, f.now()+reloadInterval)
		}
	case experiment.Hold:
		n.hold(ctx, ft, p)
	case experiment.SlowClients:
		n.setSlowClients(&ft)
		f.waitUntil(ctx, ft.To)
		n.setSlowClients(nil)
	case experiment.IdleClients:
		n.holdIdleClients(ctx, ft)
	case experiment.ChangeNodeCount:
		n.copies = ft.Count
		text, err := n.configText()
		if err == nil {
			err = n.file.Rewrite(text)
		}
		if err == nil {
			err = p.Signal(syscall.SIGHUP)
		}
		f.fail(err)
	}
}

// terminate ends the process as the platform does at a planned restart, with further signals while it drains: SIGTERM, and
// SIGKILL once the longest deadline and killDelay have passed. It is no outage: a request that the process took must be answered.
func (n *node) terminate(ctx context.Context, ft experiment.Fault) {
	f := n.fleet
	n.mu.Lock()
	p := n.process
	n.terminatedAt = time.Now()
	n.mu.Unlock()
	longest := time.Duration(0)
	for _, class := range f.experiment.Classes {
		longest = max(longest, class.Deadline)
	}
	go func() {
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			f.waitUntil(ctx, f.now()+f.random.DurationUpTo(longest/2))
			p.Signal(sig)
		}
	}()
	n.stop(syscall.SIGTERM, longest+killDelay)
	f.audit.RecordProcessEnd(n.index, f.now())
}

// hold stops the process again and again, for up to ft.Delay each time, and lets it run for four times as long on average.
func (n *node) hold(ctx context.Context, ft experiment.Fault, p *child.Process) {
	f := n.fleet
	for f.now() < ft.To && ctx.Err() == nil {
		f.fail(p.Signal(syscall.SIGSTOP))
		time.Sleep(f.random.DurationUpTo(ft.Delay))
		f.fail(p.Signal(syscall.SIGCONT))
		f.waitUntil(ctx, f.now()+f.random.DurationUpTo(8*ft.Delay))
	}
}

// holdIdleClients holds ft.Count idle client connections to the node open until ft.To. Connections that the node closes are opened again.
func (n *node) holdIdleClients(ctx context.Context, ft experiment.Fault) {
	n.setShortOfDescriptors(true)
	defer n.setShortOfDescriptors(false)
	var wg sync.WaitGroup
	for range ft.Count {
		wg.Go(func() { n.holdIdleConnection(ctx, ft.To) })
	}
	wg.Wait()
}

func (n *node) setShortOfDescriptors(shortOfDescriptors bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shortOfDescriptors = shortOfDescriptors
}

// holdIdleConnection keeps one connection to the node open until a run time.
func (n *node) holdIdleConnection(ctx context.Context, until time.Duration) {
	f := n.fleet
	for f.now() < until && ctx.Err() == nil {
		if conn, err := net.DialTimeout("tcp4", n.listen, time.Second); err == nil {
			conn.SetReadDeadline(time.Now().Add(until - f.now()))
			conn.Read(make([]byte, 1)) // until the node closes it
			conn.Close()
		}
		f.waitUntil(ctx, f.now()+idleClientRedialDelay)
	}
}
