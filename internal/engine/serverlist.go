package engine

import (
	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// UpdateList brings an update of the endpoint list.
func (eng *Engine) UpdateList(update discovery.List) { eng.post(listUpdated{list: update}) }

// ListFailed says that a watch of the endpoint list failed.
func (eng *Engine) ListFailed() { eng.post(listFailed{}) }

// RestoreList gives the list as it was last held, perhaps long ago. It must not be called after Run.
func (eng *Engine) RestoreList(last discovery.List) { eng.updateList(last, true) }

// updateList keeps where the servers listen and passes the list to the back end and to the balancer. Where lists are
// pushed, one that changes nothing, as after discovery has moved, is not passed on: the balancer takes each list for a
// change and draws its subset anew, which would migrate requests and open connections for nothing.
func (eng *Engine) updateList(update discovery.List, cached bool) {
	update = eng.starts.Local(update, cached, eng.clock.Now(), eng.slowStartWindow)
	if !cached && eng.pushed && eng.isCurrent(update) {
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
	eng.decide(eng.clock.Now(), list)
	eng.ready.Store(eng.anyServerReady())
}

// anyServerReady says that a listed server is in service. The first one that is looked at mostly is, so that an update of
// one server among thousands costs little.
func (eng *Engine) anyServerReady() bool {
	for _, target := range eng.servers {
		if target.State == balancer.Ready {
			return true
		}
	}
	return false
}

// isCurrent says that an update changes nothing.
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
