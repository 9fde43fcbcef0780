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

// sample holds the stats of the pools at one time.
type sample struct {
	at     time.Duration
	stats  map[string]engine.Stats // by pool
	zone   string                  // the node's
	shared uint32                  // the number of the part of the configuration that nodes share
}

// publishToPeers publishes the load of this node to its peers until ctx ends.
func (n *Node) publishToPeers(ctx context.Context, fresh time.Duration) {
	if fresh == 0 {
		return
	}
	var past []sample
	for ; ctx.Err() == nil; clock.Sleep(ctx, fresh/samplesPerWindow) {
		g := n.takeSample()
		if past = append(past, g); len(past) > samplesPerWindow/2+1 {
			past = past[1:]
		}
		n.peers.PublishLoad(loadBetween(past[0], g))
	}
}

// takeSample reads the stats of the running pools.
func (n *Node) takeSample() sample {
	g := sample{at: n.clock.Now(), stats: map[string]engine.Stats{}}
	n.mu.Lock()
	g.shared, g.zone = n.cfg.SharedDigest(), n.cfg.Node.Zone
	pools := n.pools
	n.mu.Unlock()
	for name, p := range pools {
		g.stats[name] = p.engine.Stats()
	}
	return g
}

// loadBetween is the load to publish for the time between two samples.
func loadBetween(was, is sample) gossip.Load {
	out := gossip.Load{Names: map[zonestate.Subject]string{}}
	seconds := (is.at - was.at).Seconds()
	subject := func(name string) zonestate.Subject {
		s := zonestate.SubjectOf(name)
		out.Names[s] = name
		return s
	}
	add := func(k zonestate.Kind, name string, v float64) {
		out.Entries = append(out.Entries, zonestate.Entry{Kind: k, Subject: subject(name), Value: v})
	}
	// A server that is listed anew is counted anew.
	rate := func(k zonestate.Kind, name string, from, to float64) {
		if seconds > 0 && to > from {
			add(k, name, (to-from)/seconds)
		}
	}
	version := func(name string, v int64) {
		add(zonestate.NewestVersion, name, float64(v))
		add(zonestate.OldestVersion, name, float64(v))
	}
	version("configuration", int64(is.shared))
	for pool, s := range is.stats {
		p := was.stats[pool]
		if s.ListRevision > 0 {
			version("list of "+pool, s.ListRevision)
		}
		for name, c := range s.Classes {
			rate(zonestate.Demand, name, float64(p.Classes[name].Requests), float64(c.Requests))
			rate(zonestate.Rejected, name, float64(p.Classes[name].Rejected), float64(c.Rejected))
			add(zonestate.OpenRequests, name, float64(c.InFlight))
		}
		for name, z := range s.Zones {
			o := p.Zones[name]
			rate(zonestate.Attempts, name, float64(o.Ended), float64(z.Ended))
			rate(zonestate.FailedAttempts, name, float64(o.Failures), float64(z.Failures))
			rate(zonestate.AttemptTime, name, o.TotalLatency.Seconds(), z.TotalLatency.Seconds())
			if _, lists := s.Zones[is.zone]; name == is.zone || !lists { // the nodes of a zone publish its servers
				add(zonestate.ReadyServers, name, float64(z.Ready))
				add(zonestate.WarmServers, name, float64(z.WarmedUp))
			}
		}
		for name, x := range s.Servers {
			// Only servers with failures are published: the others are many, and alike.
			if bad := p.Servers[name].Failures; x.Failures > bad {
				rate(zonestate.ServerFailures, name, float64(bad), float64(x.Failures))
				add(zonestate.ServerInFlight, name, float64(x.InFlight))
			}
		}
		for i, took := range s.LatencyHistogram {
			if d := took - p.LatencyHistogram[i]; d > 0 && seconds > 0 {
				out.Entries = append(out.Entries, zonestate.Entry{Kind: zonestate.LatencyHistogram, Subject: zonestate.Subject(i), Value: float64(d) / seconds})
			}
		}
	}
	return out
}
