package gossip

import (
	"time"

	"damsontrestle/internal/membership"
)

// Counts are of datagrams since the start.
type Counts struct {
	Sent      int64 `json:"sent"`
	Bytes     int64 `json:"bytes"` // of these, without the headers of UDP and IP
	Received  int64 `json:"received"`
	Strange   int64 `json:"strange"` // of another key
	Malformed int64 `json:"malformed"`
	Other     int64 `json:"other"` // of another version, or facts where none are taken
	Lost      int64 `json:"lost"`  // came faster than they were taken
	Paced     int64 `json:"paced"` // not sent, for too much went out
}

// Status is what a Room knows.
type Status struct {
	Incarnation uint32           `json:"life"`
	Health      int              `json:"ill_health"` // 0: well; up to 8
	Twins       int              `json:"twins"`      // words of lives under this name that were none of this process's
	Members     []Member         `json:"members"`
	Counts      Counts           `json:"datagrams"`
	ZoneState   *ZoneStateStatus `json:"facts,omitempty"`
}

// Member is what is known of another node.
type Member struct {
	Name        string        `json:"name"`
	Addr        string        `json:"address"`
	Region      string        `json:"region,omitempty"`
	Zone        string        `json:"zone,omitempty"`
	Status      string        `json:"status"` // alive, suspect, dead, left
	Incarnation uint32        `json:"life"`
	For         time.Duration `json:"for"`             // how long it has been of this status here
	Heard       time.Duration `json:"heard,omitempty"` // how long ago a message of its own came; negative: never
}

// publishMembers logs what has changed of other nodes.
func (t *Transport) publishMembers() {
	if t.loggedChanges == t.machine.Changes() {
		return
	}
	t.loggedChanges = t.machine.Changes()
	var living []membership.Peer
	for _, k := range t.machine.Members() {
		if k.Status <= membership.Suspect {
			living = append(living, k.Peer)
		}
	}
	t.active.Store(&living)
	for _, k := range t.machine.Members() {
		if was, known := t.loggedStatus[k.Name]; !known || was != k.Status {
			t.loggedStatus[k.Name] = k.Status
			t.options.Log.Info("member", "name", k.Name, "status", k.Status, "life", k.Incarnation)
		}
	}
}

// Living are the other members that are held for alive, or are only suspected not to be; none before Run.
func (t *Transport) Living() []membership.Peer {
	if l := t.active.Load(); l != nil {
		return *l
	}
	return nil
}

// Status tells what is known; nothing before Run and after its end.
func (t *Transport) Status() Status {
	to := make(chan Status, 1)
	select {
	case <-t.started:
	default:
		return Status{}
	}
	select {
	case t.statusRequests <- to:
		return <-to
	case <-t.done:
		return Status{}
	}
}

func (t *Transport) status() Status {
	now := t.options.Clock.Now()
	_, incarnation := t.machine.Self()
	s := Status{Incarnation: incarnation, Health: t.machine.Health(), Twins: t.machine.Twins, Counts: t.counts}
	s.Counts.Lost = t.overruns.Load()
	if t.exchange != nil {
		s.ZoneState = t.exchange.status(now)
	}
	for _, k := range t.machine.Members() {
		m := Member{Name: k.Name, Addr: k.Addr.String(), Region: k.Region, Zone: k.Zone, Status: k.Status.String(), Incarnation: k.Incarnation, For: now - k.Since, Heard: -1}
		if k.Heard > 0 {
			m.Heard = now - k.Heard
		}
		s.Members = append(s.Members, m)
	}
	return s
}
