package faultbench

import (
	"context"
	"slices"
	"sync"
	"time"

	"damsontrestle/internal/faultbench/experiment"
)

// await waits until a time of the run.
func (f *fleet) await(ctx context.Context, at time.Duration) {
	t := time.NewTimer(at - f.now())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// timetable has every fault begin and end when it is due. It returns once all that it began is over.
func (f *fleet) timetable(ctx context.Context) {
	var all sync.WaitGroup
	for _, ft := range f.e.Faults {
		all.Add(1)
		go func() {
			defer all.Done()
			f.await(ctx, ft.From)
			if ctx.Err() == nil {
				f.o.Log("%v %s: %s begins", f.now().Round(time.Millisecond), ft.Name, ft.Kind)
				f.run(ctx, ft)
				f.o.Log("%v %s: over", f.now().Round(time.Millisecond), ft.Name)
			}
		}()
	}
	all.Wait()
}

// run plays one fault from its beginning to its end.
func (f *fleet) run(ctx context.Context, ft experiment.Fault) {
	switch ft.Kind.Target() {
	case experiment.TargetLinks:
		f.mu.Lock()
		f.faults = append(f.faults, ft)
		f.mu.Unlock()
		f.reshape()
		f.await(ctx, ft.To)
		f.mu.Lock()
		f.faults = slices.DeleteFunc(f.faults, func(o experiment.Fault) bool { return o.Name == ft.Name })
		f.mu.Unlock()
		f.reshape()
	case experiment.TargetRegistry:
		f.list.mute(true)
		f.await(ctx, ft.To)
		f.list.mute(false)
	case experiment.TargetServers:
		struck := f.e.Targets(ft)
		f.each(ctx, ft, len(struck), func(k int) { f.hosts[struck[k]].strike(ft) })
		f.await(ctx, ft.To)
		for _, i := range struck {
			f.hosts[i].heal(ft)
		}
	case experiment.TargetNodes:
		struck := f.e.Targets(ft)
		f.each(ctx, ft, len(struck), func(k int) { f.nodes[struck[k]].strike(ctx, ft) })
	}
}

// each strikes n things, spread over the fault's onset, and returns once the last has been.
func (f *fleet) each(ctx context.Context, ft experiment.Fault, n int, strike func(k int)) {
	var all sync.WaitGroup
	for k := range n {
		all.Add(1)
		go func() {
			defer all.Done()
			f.await(ctx, ft.From+ft.OnsetSpread*time.Duration(k)/time.Duration(n))
			if ctx.Err() == nil {
				strike(k)
			}
		}()
	}
	all.Wait()
}
