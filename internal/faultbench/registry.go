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

// registry is the server registry. Each node polls its own agent, which sees every change after the node's lag.
type registry struct {
	fleet *fleet

	mu         sync.Mutex
	rev        int
	removedIDs []string
	changed    chan struct{}
	muted      bool
	history    []registryVersion // oldest first
}

// registryVersion is the list as published at a time.
type registryVersion struct {
	at      time.Time
	rev     int
	targets []target
}

// target is an entry in the registry's format. Its endpoint is set per zone, as each zone has its own relay address.
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

// remove records that an ID no longer belongs to a server.
func (l *registry) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removedIDs = append(l.removedIDs, id)
}

// publish appends a version with the servers' present state.
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

// wake notifies waiting polls. The caller holds mu.
func (l *registry) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// setMuted makes agents stop or resume answering.
func (l *registry) setMuted(is bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.muted = is
	l.wake()
}

// visibleVersion returns the newest version visible after a lag, and the time at which the next one becomes visible.
func (l *registry) visibleVersion(lag time.Duration) (v registryVersion, next time.Time, changed <-chan struct{}, muted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, o := range l.history {
		if o.rev > 1 && o.at.Add(lag).After(now) { // the first version is visible at once
			return v, o.at.Add(lag), l.changed, l.muted
		}
		v = o
	}
	return v, time.Time{}, l.changed, l.muted
}

// serve handles the polls of a node to its agent.
func (l *registry) serve(n *node, conn *link.Conn) {
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		from, _ := strconv.Atoi(request.URL.Query().Get("from"))
		hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
		v, ok := l.waitForVersion(n, conn, from, time.Duration(hold)*time.Millisecond)
		if !ok {
			return
		}
		if !l.writeSnapshot(n, conn, v, v.rev == from) {
			return
		}
	}
}

// waitForVersion waits for a version other than from, or until the hold time is over. It returns false if the node closed the
// connection or its poll was lost.
func (l *registry) waitForVersion(n *node, conn *link.Conn, from int, hold time.Duration) (registryVersion, bool) {
	end := time.Now().Add(hold)
	for {
		v, next, changed, muted := l.visibleVersion(n.registryLag)
		if !muted && (v.rev != from || !time.Now().Before(end)) {
			return v, true
		}
		wait := time.Until(end)
		if !next.IsZero() {
			wait = min(wait, time.Until(next))
		}
		timer := time.NewTimer(max(wait, time.Millisecond))
		if muted {
			timer.Stop()
		}
		select {
		case <-timer.C:
		case <-changed:
		case <-conn.CloseDelivered():
			timer.Stop()
			return v, false
		}
		timer.Stop()
		if muted { // polls to a muted agent are lost
			<-conn.CloseDelivered()
			return v, false
		}
	}
}

// writeSnapshot sends a version to a node as a full snapshot.
func (l *registry) writeSnapshot(n *node, conn *link.Conn, v registryVersion, unchanged bool) bool {
	f := l.fleet
	out := struct {
		Rev     int      `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}{v.rev, !unchanged, []target{}}
	var removed []string
	if !unchanged {
		for _, t := range v.targets {
			if t.State != "in_service" {
				removed = append(removed, t.UID)
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
		f.fail(fmt.Errorf("encode registry list: %w", err))
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(text))
	return conn.Send(append([]byte(head), text...), func(at time.Time) {
		for _, id := range removed {
			f.audit.RecordRemoval(n.index, id, f.runTime(at))
		}
	}) == nil
}
