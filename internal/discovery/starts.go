package discovery

import (
	"maps"
	"time"

	"damsontrestle/internal/balancer"
)

// Starts gives servers start times by the node's own clock. A boot_ms was written by another machine's clock: it says that a
// server has started anew, and in what order servers did, but not how long ago, for the two clocks may differ by an hour, and
// either may be stepped. How long ago is counted from when this process heard of the start, by the monotonic clock.
//
// Its zero value knows no server. It belongs to one goroutine.
type Starts struct {
	starts      map[string]serverStart // by server id; also of some servers that are no longer listed
	sawLiveList bool                   // a list has come that is not cached from an earlier process
}

// serverStart is the last start of a server.
type serverStart struct {
	listedBoot time.Duration // as listed, by another machine's clock
	startedAt  time.Duration // by the node's clock
}

// Servers that are no longer listed are kept for a while: one that is listed again as it was has not started anew. Kept are
// so many for each server that a list names, and some beyond.
const (
	maxUnlistedPerListed = 2
	minStartsKept        = 64
)

// longAgo is the start time of servers that started long ago, by any clock.
const longAgo = 0

// Local gives the servers of a list their start times by the node's clock. A server that is listed for the first time, or
// with another boot_ms than before, starts now. Only the first lists of a process name servers that may have been running
// for long: there a server's age is the distance of its boot_ms from a reference. cached lists are those of an earlier
// process, now is clock time, and slowStart is how long slow start takes. The same list gives the same start times again.
func (s *Starts) Local(list List, cached bool, now, slowStart time.Duration) List {
	first := cached || !s.sawLiveList
	s.sawLiveList = s.sawLiveList || !cached
	reference := now
	if first {
		reference = s.reference(list, now, slowStart)
	}
	s.forgetUnlisted(list)
	local := List{Rev: list.Rev, Full: list.Full, Targets: make([]Target, len(list.Targets))}
	for i, target := range list.Targets {
		known, isKnown := s.starts[target.ID]
		startedAt := max(now, known.startedAt+1)
		switch {
		case target.Boot == longAgo:
			startedAt = longAgo
		case isKnown && known.listedBoot == target.Boot:
			startedAt = known.startedAt
		case first:
			startedAt = startBefore(now, reference-target.Boot)
		}
		s.starts[target.ID] = serverStart{listedBoot: target.Boot, startedAt: startedAt}
		target.Boot = startedAt
		local.Targets[i] = target
	}
	return local
}

// startBefore returns the time at an age before now, and never longAgo.
func startBefore(now, age time.Duration) time.Duration { return max(1, now-max(0, age)) }

// reference returns what the clock that wrote the boot_ms of a first list shows at least: the newest of them. A server that
// is much older than that is warmed up, whatever the node's clock says, and the newest may have started this moment. Only
// where most servers started together, so that slow start would spare none of them, does the node's clock count as well:
// servers that were all started at once are not in slow start again for each new node.
func (s *Starts) reference(list List, now, slowStart time.Duration) time.Duration {
	newest := s.newestBoot(list)
	ready, young := 0, 0
	for _, target := range list.Targets {
		if target.State != balancer.Ready {
			continue
		}
		ready++
		if target.Boot > longAgo && newest-target.Boot < slowStart {
			young++
		}
	}
	if 2*young > ready {
		return max(newest, now)
	}
	return newest
}

// newestBoot is the latest boot_ms that is known or listed.
func (s *Starts) newestBoot(list List) time.Duration {
	var newest time.Duration
	for _, known := range s.starts {
		newest = max(newest, known.listedBoot)
	}
	for _, target := range list.Targets {
		newest = max(newest, target.Boot)
	}
	return newest
}

// forgetUnlisted drops servers that are no longer listed, once they are many.
func (s *Starts) forgetUnlisted(list List) {
	if s.starts == nil {
		s.starts = map[string]serverStart{}
	}
	if !list.Full || len(s.starts) <= maxUnlistedPerListed*len(list.Targets)+minStartsKept {
		return
	}
	listed := make(map[string]bool, len(list.Targets))
	for _, target := range list.Targets {
		listed[target.ID] = true
	}
	maps.DeleteFunc(s.starts, func(id string, _ serverStart) bool { return !listed[id] })
}
