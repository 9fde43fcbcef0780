package node

import (
	"context"
	"time"

	"woodpick/internal/clock"
	"woodpick/internal/engine"
	"woodpick/internal/facts"
	"woodpick/internal/peers"
)

// looks are how often a node looks at itself in the time for which facts are fresh: rates go over half of that.
const looks = 8

// glimpse is what the node's pools saw at a time.
type glimpse struct {
	at     time.Duration
	sights map[string]engine.Sight // by pool
	zone   string                  // the node's
	shared uint32                  // the number of what nodes' configurations have in common
}

// tellPeers tells the room what the node sees, until ctx ends.
func (n *Node) tellPeers(ctx context.Context, fresh time.Duration) {
	if fresh == 0 {
		return
	}
	var past []glimpse
	for ; ctx.Err() == nil; clock.Sleep(ctx, fresh/looks) {
		g := n.glimpse()
		if past = append(past, g); len(past) > looks/2+1 {
			past = past[1:]
		}
		n.peers.Tell(told(past[0], g))
	}
}

// glimpse looks at the pools.
func (n *Node) glimpse() glimpse {
	g := glimpse{at: n.clock.Now(), sights: map[string]engine.Sight{}}
	n.mu.Lock()
	g.shared, g.zone = n.cfg.Shared(), n.cfg.Node.Zone
	pools := n.pools
	n.mu.Unlock()
	for name, p := range pools {
		g.sights[name] = p.engine.Sight()
	}
	return g
}

// told is what is to be told of the time between two glimpses.
func told(was, is glimpse) peers.Seen {
	out := peers.Seen{Names: map[facts.Subject]string{}}
	seconds := (is.at - was.at).Seconds()
	subject := func(name string) facts.Subject {
		s := facts.SubjectOf(name)
		out.Names[s] = name
		return s
	}
	add := func(k facts.Kind, name string, v float64) {
		out.Entries = append(out.Entries, facts.Entry{Kind: k, Subject: subject(name), Value: v})
	}
	// A server that is listed anew is counted anew.
	rate := func(k facts.Kind, name string, from, to float64) {
		if seconds > 0 && to > from {
			add(k, name, (to-from)/seconds)
		}
	}
	version := func(name string, v int64) {
		add(facts.Newest, name, float64(v))
		add(facts.Oldest, name, float64(v))
	}
	version("configuration", int64(is.shared))
	for pool, s := range is.sights {
		p := was.sights[pool]
		if s.Rev > 0 {
			version("list of "+pool, s.Rev)
		}
		for name, c := range s.Classes {
			rate(facts.Demand, name, float64(p.Classes[name].Calls), float64(c.Calls))
			rate(facts.Refused, name, float64(p.Classes[name].Refused), float64(c.Refused))
			add(facts.Open, name, float64(c.Open))
		}
		for name, z := range s.Zones {
			o := p.Zones[name]
			rate(facts.Sent, name, float64(o.Ended), float64(z.Ended))
			rate(facts.Bad, name, float64(o.Bad), float64(z.Bad))
			rate(facts.Lag, name, o.Took.Seconds(), z.Took.Seconds())
			if _, lists := s.Zones[is.zone]; name == is.zone || !lists { // each zone's nodes tell of its own
				add(facts.Ready, name, float64(z.Ready))
				add(facts.Warm, name, float64(z.Warm))
			}
		}
		for name, x := range s.Servers {
			// Of servers only those are told of that are in trouble: the others are many, and alike.
			if bad := p.Servers[name].Bad; x.Bad > bad {
				rate(facts.Trouble, name, float64(bad), float64(x.Bad))
				add(facts.Held, name, float64(x.Held))
			}
		}
		for i, took := range s.Took {
			if d := took - p.Took[i]; d > 0 && seconds > 0 {
				out.Entries = append(out.Entries, facts.Entry{Kind: facts.Sketch, Subject: facts.Subject(i), Value: float64(d) / seconds})
			}
		}
	}
	return out
}
