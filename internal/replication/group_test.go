package replication

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"damsontrestle/internal/peering"
)

// node is one replicator with its links.
type node struct {
	hub *peering.Hub
	c   *Replicator
}

// byName are custodians with links to one another over loopback.
type byName map[string]*node

type linksOf struct{ hub *peering.Hub }

func (l linksOf) To(name string) *peering.Link {
	return l.hub.To(peering.GatewayID{Partner: "p", Name: name})
}
func (l linksOf) All() []*peering.Link { return l.hub.Links("p") }

func group(tb testing.TB, n int, run Run) byName {
	all := byName{}
	var names []string
	begin := time.Now()
	for i := range n {
		names = append(names, fmt.Sprint("g", i))
	}
	for i, name := range names {
		k := &node{}
		self := peering.Peer{Partner: "p", Name: name, Incarnation: uint64(i + 1)}
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		replicas := func() (out []Gateway) {
			for i, m := range names {
				out = append(out, Gateway{Name: m, Incarnation: uint64(i + 1)})
			}
			return out
		}
		var topics map[string]peering.Handler
		options := Options{Self: Gateway{Name: name, Incarnation: self.Incarnation}, Group: replicas, Run: run, Step: func(*Record, []Intent, time.Duration) Step { return GiveUp },
			Heartbeat: 250 * time.Millisecond, Silence: time.Minute, Replicas: 3, Memory: 1 << 30, Retention: time.Second,
			RecoveryWindow: func() time.Duration { return time.Second }, MaxIntentAge: time.Minute, Now: func() time.Duration { return time.Since(begin) }, Log: log}
		links := &linksOf{}
		options.Links = links
		k.c = New(options)
		topics = k.c.Topics()
		var err error
		k.hub, err = peering.Open(peering.Options{Self: self, Listen: "127.0.0.1:0", Key: func(string) []byte { return []byte("key") }, Topics: topics, Silence: time.Minute, Log: log})
		if err != nil {
			tb.Fatal(err)
		}
		links.hub = k.hub
		all[name] = k
	}
	tb.Cleanup(func() {
		for _, k := range all {
			k.c.Close()
			k.hub.Close()
		}
	})
	for i, a := range names {
		for _, b := range names[i+1:] {
			all[a].hub.Keep(all[b].hub.Addr(), "p")
		}
	}
	for _, k := range all {
		for len(k.hub.Links("p")) < n-1 {
			time.Sleep(time.Millisecond)
		}
	}
	return all
}
