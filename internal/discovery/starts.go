package discovery

import (
	"maps"
	"time"

	"damsontrestle/internal/balancer"
)

// Starts tells when servers started by the node's own clock. A boot_ms was written by another machine's clock, so that it
// says that a server has started anew, and in what order servers did, but not how long ago: the two clocks may differ by an
// hour, and either may be stepped. How long ago is counted from when this process was told, which the monotonic clock does.
//
// Its zero value holds no server. It belongs to one goroutine.
type Starts struct {
	starts      map[string]serverStart // by uid; also some that are listed no more
	sawLiveList bool                   // a list has come that was not an earlier process's
}

// serverStart is the last start of a server: as listed, and by the node's clock.
type serverStart struct{ listedBoot, startedAt time.Duration }

// maxUnlistedPerListed is how many servers that are listed no more are kept for each one that a list names, and some beyond: one that
// is listed again as it was has not started anew.
const maxUnlistedPerListed = 2

// Local gives a list's servers their starts by the node's clock. A server that is listed for the first time, or with
// another boot_ms than before, starts now. Only the first lists of a process name servers that may have been running for
// long: there a server is as old as boot_ms tells against the reference. ramp is how long slow start takes; cached lists are
// those of an earlier process. The same list gives the same starts again.
func (s *Starts) Local(l List, cached bool, now, ramp time.Duration) List {
	first := cached || !s.sawLiveList
	s.sawLiveList = s.sawLiveList || !cached
	reference := now
	if first {
		reference = s.reference(l, now, ramp)
	}
	s.forget(l)
	out := List{Rev: l.Rev, Full: l.Full, Targets: make([]Target, len(l.Targets))}
	for i, t := range l.Targets {
		held, known := s.starts[t.ID]
		same := known && held.listedBoot == t.Boot
		at := max(now, held.startedAt+1)
		switch {
		case t.Boot == 0:
			at = 0 // long ago
		case same:
			at = held.startedAt
		case first:
			at = startBefore(now, reference-t.Boot)
		}
		s.starts[t.ID] = serverStart{t.Boot, at}
		t.Boot = at
		out.Targets[i] = t
	}
	return out
}

// startBefore is a time that long before now, and never 0, which stands for long ago.
func startBefore(now, age time.Duration) time.Duration { return max(1, now-max(0, age)) }

// reference is what the clock that wrote a first list's boot_ms shows at least: the newest of them. What is much older is
// warm, whatever the node's clock says, and the newest may have started this moment. Only where most servers started
// together, so that slow start would spare none of them, does the node's clock count as well: a fleet that was started as a
// whole is not cold again for each new node.
func (s *Starts) reference(l List, now, ramp time.Duration) time.Duration {
	var newest time.Duration
	for _, h := range s.starts {
		newest = max(newest, h.listedBoot)
	}
	for _, t := range l.Targets {
		newest = max(newest, t.Boot)
	}
	ready, young := 0, 0
	for _, t := range l.Targets {
		if t.State != balancer.Ready {
			continue
		}
		ready++
		if t.Boot > 0 && newest-t.Boot < ramp {
			young++
		}
	}
	if 2*young > ready {
		return max(newest, now)
	}
	return newest
}

// forget drops servers that are listed no more, once they are many.
func (s *Starts) forget(l List) {
	if s.starts == nil {
		s.starts = map[string]serverStart{}
	}
	if !l.Full || len(s.starts) <= maxUnlistedPerListed*len(l.Targets)+64 {
		return
	}
	named := make(map[string]bool, len(l.Targets))
	for _, t := range l.Targets {
		named[t.ID] = true
	}
	maps.DeleteFunc(s.starts, func(id string, _ serverStart) bool { return !named[id] })
}
