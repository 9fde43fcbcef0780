package engine

import (
	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// UpdateList applies an update of the endpoint list.
func (eng *Engine) UpdateList(update discovery.List) { eng.post(listUpdated{list: update}) }

// ListFailed reports that a watch of the endpoint list failed.
func (eng *Engine) ListFailed() { eng.post(listFailed{}) }

// RestoreList loads the last known list, which may be outdated. It must not be called after Run.
func (eng *Engine) RestoreList(last discovery.List) { eng.updateList(last, true) }

// updateList stores the listed servers and passes the list to the backend and to the balancer. A pushed list without
// changes, as received after discovery has moved, is not passed on: the balancer treats each list as a change and selects
// its subset again, which would migrate requests and open connections unnecessarily.
func (eng *Engine) updateList(update discovery.List, cached bool) {
	update = eng.starts.Localize(update, cached, eng.clock.Now(), eng.slowStartWindow)
	if !cached && eng.listsPushed && eng.isCurrent(update) {
		return
	}
	if update.Full {
		clear(eng.servers)
	}
	eng.listRevision = update.Rev
	list := balancer.ServerList{Full: update.Full, Cached: cached}
	for _, target := range update.Targets {
		list.Servers = append(list.Servers, target.Server)
		if target.State == balancer.Removed {
			delete(eng.servers, target.ID)
		} else {
			eng.servers[target.ID] = target
		}
	}
	eng.collector.retainListed(eng.servers)
	eng.backend.Servers(update.Targets, update.Full)
	eng.handleBalancerEvent(eng.clock.Now(), list)
	eng.ready.Store(eng.anyServerReady())
}

// anyServerReady reports whether a listed server is ready. The first one checked usually is, so an update of one server
// among thousands is cheap.
func (eng *Engine) anyServerReady() bool {
	for _, target := range eng.servers {
		if target.State == balancer.Ready {
			return true
		}
	}
	return false
}

// isCurrent reports whether an update changes nothing.
func (eng *Engine) isCurrent(update discovery.List) bool {
	known := 0
	for _, target := range update.Targets {
		listed, ok := eng.servers[target.ID]
		switch {
		case ok && listed != target:
			return false
		case ok:
			known++
		case target.State != balancer.Removed:
			return false
		}
	}
	return !update.Full || known == len(eng.servers)
}
