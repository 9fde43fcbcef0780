package node

import (
	"context"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/gossip"
	"damsontrestle/internal/zonestate"
)

// samplesPerWindow is the number of samples taken while zone state is fresh; rates are computed over half of them.
const samplesPerWindow = 8

// sample holds the stats of all pools at one time.
type sample struct {
	at           time.Duration
	stats        map[string]engine.Stats // by pool name
	zone         string                  // of the node
	sharedConfig uint32                  // identifies the part of the configuration that nodes share
}

// publishToPeers publishes the load of this node to its peers until ctx is done.
func (n *Node) publishToPeers(ctx context.Context, fresh time.Duration) {
	if fresh == 0 {
		return
	}
	var samples []sample
	for ; ctx.Err() == nil; clock.Sleep(ctx, fresh/samplesPerWindow) {
		current := n.takeSample()
		if samples = append(samples, current); len(samples) > samplesPerWindow/2+1 {
			samples = samples[1:]
		}
		n.peers.PublishLoad(loadBetween(samples[0], current))
	}
}

// takeSample reads the stats of the running pools.
func (n *Node) takeSample() sample {
	current := sample{at: n.clock.Now(), stats: map[string]engine.Stats{}}
	n.mu.Lock()
	current.sharedConfig, current.zone = n.cfg.SharedDigest(), n.cfg.Node.Zone
	pools := n.pools
	n.mu.Unlock()
	for name, p := range pools {
		current.stats[name] = p.engine.Stats()
	}
	return current
}

// loadBetween returns the load to publish for the time between two samples.
func loadBetween(previous, current sample) gossip.Load {
	load := gossip.Load{Names: map[zonestate.Subject]string{}}
	seconds := (current.at - previous.at).Seconds()
	subject := func(name string) zonestate.Subject {
		id := zonestate.SubjectOf(name)
		load.Names[id] = name
		return id
	}
	add := func(kind zonestate.Kind, name string, value float64) {
		load.Entries = append(load.Entries, zonestate.Entry{Kind: kind, Subject: subject(name), Value: value})
	}
	// Counters restart at 0 when a server is listed again; a decreased total adds no rate.
	rate := func(kind zonestate.Kind, name string, from, to float64) {
		if seconds > 0 && to > from {
			add(kind, name, (to-from)/seconds)
		}
	}
	version := func(name string, number int64) {
		add(zonestate.NewestVersion, name, float64(number))
		add(zonestate.OldestVersion, name, float64(number))
	}
	version("configuration", int64(current.sharedConfig))
	for pool, s := range current.stats {
		before := previous.stats[pool]
		if s.ListRevision > 0 {
			version("list of "+pool, s.ListRevision)
		}
		for name, class := range s.Classes {
			rate(zonestate.Demand, name, float64(before.Classes[name].Requests), float64(class.Requests))
			rate(zonestate.Rejected, name, float64(before.Classes[name].Rejected), float64(class.Rejected))
			add(zonestate.OpenRequests, name, float64(class.InFlight))
		}
		for name, zone := range s.Zones {
			zoneBefore := before.Zones[name]
			rate(zonestate.Attempts, name, float64(zoneBefore.Ended), float64(zone.Ended))
			rate(zonestate.FailedAttempts, name, float64(zoneBefore.Failures), float64(zone.Failures))
			rate(zonestate.AttemptTime, name, zoneBefore.TotalLatency.Seconds(), zone.TotalLatency.Seconds())
			if _, listsOwn := s.Zones[current.zone]; name == current.zone || !listsOwn { // the nodes of a zone publish its servers
				add(zonestate.ReadyServers, name, float64(zone.Ready))
				add(zonestate.WarmServers, name, float64(zone.WarmedUp))
			}
		}
		for name, server := range s.Servers {
			// Only servers with new failures are published: the others are many and do not differ.
			if failuresBefore := before.Servers[name].Failures; server.Failures > failuresBefore {
				rate(zonestate.ServerFailures, name, float64(failuresBefore), float64(server.Failures))
				add(zonestate.ServerInFlight, name, float64(server.InFlight))
			}
		}
		for bucket, count := range s.LatencyHistogram {
			if added := count - before.LatencyHistogram[bucket]; added > 0 && seconds > 0 {
				load.Entries = append(load.Entries, zonestate.Entry{Kind: zonestate.LatencyHistogram, Subject: zonestate.Subject(bucket), Value: float64(added) / seconds})
			}
		}
	}
	return load
}
