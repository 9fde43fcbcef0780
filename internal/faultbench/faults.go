package faultbench

import (
	"context"
	"slices"
	"sync"
	"time"

	"damsontrestle/internal/faultbench/experiment"
)

// waitUntil waits until a run time or the end of the context.
func (f *fleet) waitUntil(ctx context.Context, at time.Duration) {
	t := time.NewTimer(at - f.now())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// injectFaults starts and ends every fault when it is due. It returns once all started faults are over.
func (f *fleet) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	for _, ft := range f.experiment.Faults {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.waitUntil(ctx, ft.From)
			if ctx.Err() == nil {
				f.options.Log("%v %s: fault %s started", f.now().Round(time.Millisecond), ft.Name, ft.Kind)
				f.runFault(ctx, ft)
				f.options.Log("%v %s: fault ended", f.now().Round(time.Millisecond), ft.Name)
			}
		}()
	}
	wg.Wait()
}

// runFault runs one fault from start to end.
func (f *fleet) runFault(ctx context.Context, ft experiment.Fault) {
	switch ft.Kind.Target() {
	case experiment.TargetLinks:
		f.mu.Lock()
		f.linkFaults = append(f.linkFaults, ft)
		f.mu.Unlock()
		f.updateLinks()
		f.waitUntil(ctx, ft.To)
		f.mu.Lock()
		f.linkFaults = slices.DeleteFunc(f.linkFaults, func(o experiment.Fault) bool { return o.Name == ft.Name })
		f.mu.Unlock()
		f.updateLinks()
	case experiment.TargetRegistry:
		f.registry.setMuted(true)
		f.waitUntil(ctx, ft.To)
		f.registry.setMuted(false)
	case experiment.TargetServers:
		targets := f.experiment.Targets(ft)
		f.forEachTarget(ctx, ft, len(targets), func(k int) { f.hosts[targets[k]].applyFault(ft) })
		f.waitUntil(ctx, ft.To)
		for _, i := range targets {
			f.hosts[i].clearFault(ft)
		}
	case experiment.TargetNodes:
		targets := f.experiment.Targets(ft)
		f.forEachTarget(ctx, ft, len(targets), func(k int) { f.nodes[targets[k]].applyFault(ctx, ft) })
	}
}

// forEachTarget calls strike for n targets, spread over the fault's onset, and returns once all calls have returned.
func (f *fleet) forEachTarget(ctx context.Context, ft experiment.Fault, n int, strike func(k int)) {
	var wg sync.WaitGroup
	for k := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.waitUntil(ctx, ft.From+ft.OnsetSpread*time.Duration(k)/time.Duration(n))
			if ctx.Err() == nil {
				strike(k)
			}
		}()
	}
	wg.Wait()
}
