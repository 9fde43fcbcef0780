package faultbench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/link"
)

// list is the registry: every node asks an agent of its own, which knows of each change after the node's lag.
type registry struct {
	fleet *fleet

	mu         sync.Mutex
	rev        int
	removedIDs []string
	changed    chan struct{}
	muted      bool
	history    []registryVersion // the latest last
}

// version is the list as it was told at a time.
type registryVersion struct {
	at      time.Time
	rev     int
	targets []target
}

// target is an entry, in the registry's form but for its address, which each zone sees at one of its own.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	Boot     float64 `json:"boot_ms"`

	place int
}

var stateNames = map[balancer.ServerState]string{balancer.Ready: "in_service", balancer.Draining: "terminating"}

func newRegistry(f *fleet) *registry {
	return &registry{fleet: f, changed: make(chan struct{})}
}

// gone notes that an id is of no server any more.
func (l *registry) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removedIDs = append(l.removedIDs, id)
}

// news puts the servers as they are now on the list.
func (l *registry) publish() {
	var targets []target
	for _, h := range l.fleet.hosts {
		h.mu.Lock()
		t := target{UID: h.server.ID, Zone: h.server.Zone, Model: h.server.Spec.Name, State: stateNames[h.state], Size: h.server.Spec.Size, place: h.place}
		if h.server.SlowStartAt >= 0 {
			t.Boot = float64(l.fleet.startTime.Load().Add(h.server.SlowStartAt).UnixMilli())
		}
		h.mu.Unlock()
		targets = append(targets, t)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev++
	for _, id := range l.removedIDs {
		targets = append(targets, target{UID: id, State: "terminated"})
	}
	l.history = append(l.history, registryVersion{time.Now(), l.rev, targets})
	l.wake()
}

// wake tells those that wait. The caller holds mu.
func (l *registry) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// mute has agents say nothing, or speak again.
func (l *registry) setMuted(is bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.muted = is
	l.wake()
}

// known is the newest version that a node with a lag may hear of, and when the next one is due for it.
func (l *registry) visibleVersion(lag time.Duration) (v registryVersion, next time.Time, changed <-chan struct{}, muted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, o := range l.history {
		if o.rev > 1 && o.at.Add(lag).After(now) { // the first is there from the start
			return v, o.at.Add(lag), l.changed, l.muted
		}
		v = o
	}
	return v, time.Time{}, l.changed, l.muted
}

// serve is a node's agent.
func (l *registry) serve(n *node, c *link.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		v, ok := l.waitForVersion(n, c, from, time.Duration(hold)*time.Millisecond)
		if !ok {
			return
		}
		if !l.writeSnapshot(n, c, v, v.rev == from) {
			return
		}
	}
}

// wait is for something newer than a version, or for the time to be up. false: the node has left.
func (l *registry) waitForVersion(n *node, c *link.Conn, from int, hold time.Duration) (registryVersion, bool) {
	over := time.Now().Add(hold)
	for {
		v, next, changed, muted := l.visibleVersion(n.registryLag)
		if !muted && (v.rev != from || !time.Now().Before(over)) {
			return v, true
		}
		wait := time.Until(over)
		if !next.IsZero() {
			wait = min(wait, time.Until(next))
		}
		t := time.NewTimer(max(wait, time.Millisecond))
		if muted {
			t.Stop()
		}
		select {
		case <-t.C:
		case <-changed:
		case <-c.CloseDelivered():
			t.Stop()
			return v, false
		}
		t.Stop()
		if muted { // what was asked while the agent was silent is lost
			<-c.CloseDelivered()
			return v, false
		}
	}
}

// tell writes a version to a node, as a full snapshot.
func (l *registry) writeSnapshot(n *node, c *link.Conn, v registryVersion, nothing bool) bool {
	f := l.fleet
	out := struct {
		Rev     int      `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}{v.rev, !nothing, []target{}}
	var leaving []string
	if !nothing {
		for _, t := range v.targets {
			if t.State != "in_service" {
				leaving = append(leaving, t.UID)
			}
			if t.State == "terminated" {
				continue
			}
			t.Endpoint = f.hosts[t.place].relays[n.zoneIndex()].Addr()
			out.Targets = append(out.Targets, t)
		}
	}
	text, err := json.Marshal(out)
	if err != nil {
		f.fail(fmt.Errorf("list: %w", err))
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(text))
	return c.Send(append([]byte(head), text...), func(at time.Time) {
		for _, id := range leaving {
			f.audit.RecordRemoval(n.index, id, f.runTime(at))
		}
	}) == nil
}
