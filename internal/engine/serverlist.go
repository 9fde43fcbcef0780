package engine

import (
	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// UpdateList brings news of the servers.
func (eng *Engine) UpdateList(news discovery.List) { eng.post(listUpdated{news}) }

// ListFailed says that a subscription failed.
func (eng *Engine) ListFailed() { eng.post(listFailed{}) }

// RestoreList gives the list as it was last held, perhaps long ago. Only before Run.
func (eng *Engine) RestoreList(last discovery.List) { eng.updateList(last, true) }

// updateList keeps where the servers listen, and passes the list on. A list that changes nothing, as after
// discovery has moved, is not passed on where lists are pushed: the module takes each list for a change
// and cuts its pool anew, so telling it of nothing would move requests and open connections for nothing.
func (eng *Engine) updateList(news discovery.List, cached bool) {
	news = eng.starts.Local(news, cached, eng.clock.Now(), eng.slowStartWindow)
	if !cached && eng.pushed && eng.isCurrent(news) {
		return
	}
	if news.Full {
		clear(eng.servers)
	}
	eng.listRevision = news.Rev
	e := balancer.ServerList{Full: news.Full, Cached: cached}
	for _, t := range news.Targets {
		e.Servers = append(e.Servers, t.Server)
		if t.State == balancer.Removed {
			delete(eng.servers, t.ID)
		} else {
			eng.servers[t.ID] = t
		}
	}
	eng.collector.retainListed(eng.servers)
	eng.backend.Servers(news.Targets, news.Full)
	eng.handle(eng.clock.Now(), e)
	eng.ready.Store(eng.anyServerReady())
}

// anyServerReady says that a listed server is in service. Mostly the first one is, so that a change of one among thousands
// does not look at all.
func (eng *Engine) anyServerReady() bool {
	for _, t := range eng.servers {
		if t.State == balancer.Ready {
			return true
		}
	}
	return false
}

// isCurrent says that a list tells nothing new.
func (eng *Engine) isCurrent(news discovery.List) bool {
	named := 0
	for _, t := range news.Targets {
		held, ok := eng.servers[t.ID]
		if ok && held != t || !ok && t.State != balancer.Removed {
			return false
		}
		if ok {
			named++
		}
	}
	return !news.Full || named == len(eng.servers)
}
