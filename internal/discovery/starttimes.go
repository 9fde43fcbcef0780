package discovery

import (
	"maps"
	"time"

	"damsontrestle/internal/balancer"
)

// StartTimes converts the start times of servers to the node's own clock. A boot_ms was written by another machine's clock:
// it shows that a server restarted and in which order servers started, but not how long ago, because the two clocks may
// differ by an hour and either may be stepped. A server's age is therefore counted by the monotonic clock from when this
// process learned of the start.
//
// The zero value is ready to use. It must be used by one goroutine only.
type StartTimes struct {
	starts      map[string]serverStart // by server id; includes some servers that are no longer listed
	sawLiveList bool                   // whether a list other than the cached one of an earlier process was received
}

// serverStart is the most recent start of a server.
type serverStart struct {
	listedBoot time.Duration // from the list, by another machine's clock
	startedAt  time.Duration // by the node's clock
}

// Servers that are no longer listed are kept for a while, because one that is listed again with the same boot_ms has not
// restarted. They are evicted when there are more than maxEntriesPerListed entries per listed server plus minEntriesKept.
const (
	maxEntriesPerListed = 2
	minEntriesKept      = 64
)

// startedLongAgo is the start time, by any clock, of servers that started too long ago for slow start.
const startedLongAgo = 0

// Localize returns list with start times by the node's clock. A server that is listed for the first time, or with another
// boot_ms than before, gets the start time now. Only in the first lists of a process may servers have been running for
// long: there a server's age is a reference time minus its boot_ms. cached marks a list from an earlier process, now is the
// clock time, and slowStart is the duration of slow start. The same list yields the same start times again.
func (s *StartTimes) Localize(list List, cached bool, now, slowStart time.Duration) List {
	first := cached || !s.sawLiveList
	s.sawLiveList = s.sawLiveList || !cached
	reference := now
	if first {
		reference = s.referenceTime(list, now, slowStart)
	}
	s.evictUnlisted(list)
	local := List{Rev: list.Rev, Full: list.Full, Targets: make([]Target, len(list.Targets))}
	for i, target := range list.Targets {
		known, isKnown := s.starts[target.ID]
		startedAt := max(now, known.startedAt+1)
		switch {
		case target.Boot == startedLongAgo:
			startedAt = startedLongAgo
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

// startBefore returns the start time of a server of an age, and never startedLongAgo.
func startBefore(now, age time.Duration) time.Duration { return max(1, now-max(0, age)) }

// referenceTime returns a lower bound of the clock that wrote the boot_ms of a first list: the newest boot_ms. A server
// that is much older is past slow start, whatever the node's clock shows, and the newest one may have started just now. Only if
// most servers started together, so that slow start would apply to all of them, is the node's clock considered as well:
// servers that were all started at the same time do not repeat slow start for each new node.
func (s *StartTimes) referenceTime(list List, now, slowStart time.Duration) time.Duration {
	newest := s.newestBoot(list)
	ready, young := 0, 0
	for _, target := range list.Targets {
		if target.State != balancer.Ready {
			continue
		}
		ready++
		if target.Boot > startedLongAgo && newest-target.Boot < slowStart {
			young++
		}
	}
	if 2*young > ready {
		return max(newest, now)
	}
	return newest
}

// newestBoot returns the latest boot_ms that is known or listed.
func (s *StartTimes) newestBoot(list List) time.Duration {
	var newest time.Duration
	for _, known := range s.starts {
		newest = max(newest, known.listedBoot)
	}
	for _, target := range list.Targets {
		newest = max(newest, target.Boot)
	}
	return newest
}

// evictUnlisted removes servers that are no longer listed once a full list shows that there are too many entries.
func (s *StartTimes) evictUnlisted(list List) {
	if s.starts == nil {
		s.starts = map[string]serverStart{}
	}
	if !list.Full || len(s.starts) <= maxEntriesPerListed*len(list.Targets)+minEntriesKept {
		return
	}
	listed := make(map[string]bool, len(list.Targets))
	for _, target := range list.Targets {
		listed[target.ID] = true
	}
	maps.DeleteFunc(s.starts, func(id string, _ serverStart) bool { return !listed[id] })
}
