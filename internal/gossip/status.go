package gossip

import (
	"time"

	"damsontrestle/internal/membership"
)

// Counts are numbers of datagrams since the start.
type Counts struct {
	Sent        int64 `json:"sent"`
	Bytes       int64 `json:"bytes"` // in the datagrams sent, without headers of UDP and IP
	Received    int64 `json:"received"`
	WrongKey    int64 `json:"strange"` // of another key
	Malformed   int64 `json:"malformed"`
	Unsupported int64 `json:"other"` // of another version, or zone state at a node without it
	QueueFull   int64 `json:"lost"`  // received and dropped, for the queue was full
	RateLimited int64 `json:"paced"` // not sent, for the send budget was spent
}

// Status is what a node knows of the others.
type Status struct {
	Incarnation   uint32           `json:"life"`
	Health        int              `json:"ill_health"` // local health score; 0: healthy, up to 8
	NameConflicts int              `json:"twins"`      // updates with later incarnations of this name than this process had
	Members       []Member         `json:"members"`
	Counts        Counts           `json:"datagrams"`
	ZoneState     *ZoneStateStatus `json:"facts,omitempty"`
}

// Member is the state of another node.
type Member struct {
	Name        string        `json:"name"`
	Addr        string        `json:"address"`
	Region      string        `json:"region,omitempty"`
	Zone        string        `json:"zone,omitempty"`
	Status      string        `json:"status"` // alive, suspect, dead, left
	Incarnation uint32        `json:"life"`
	SinceChange time.Duration `json:"for"`             // for how long it has had this status here
	SinceHeard  time.Duration `json:"heard,omitempty"` // time since its last message; negative: there was none
}

// publishMembers makes changes of the membership visible: to Living, and in the log.
func (t *Transport) publishMembers() {
	if t.loggedChanges == t.machine.Changes() {
		return
	}
	t.loggedChanges = t.machine.Changes()
	members := t.machine.Members()
	var active []membership.Peer
	for _, member := range members {
		if member.Status <= membership.Suspect {
			active = append(active, member.Peer)
		}
	}
	t.active.Store(&active)
	for _, member := range members {
		logged, known := t.loggedStatus[member.Name]
		if known && logged == member.Status {
			continue
		}
		t.loggedStatus[member.Name] = member.Status
		t.options.Log.Info("member", "name", member.Name, "status", member.Status, "life", member.Incarnation)
	}
}

// ActiveMembers returns the other members that are alive or suspect; none before Run. The caller must not change the slice.
func (t *Transport) ActiveMembers() []membership.Peer {
	if active := t.active.Load(); active != nil {
		return *active
	}
	return nil
}

// Status returns what the node knows of the others: nothing before Run and after its end. It waits for the loop of Run.
func (t *Transport) Status() Status {
	reply := make(chan Status, 1)
	select {
	case <-t.started:
	default:
		return Status{}
	}
	select {
	case t.statusRequests <- reply:
		return <-reply
	case <-t.done:
		return Status{}
	}
}

// memberStatus returns the Status; it runs in the loop of Run.
func (t *Transport) status() Status {
	now := t.options.Clock.Now()
	_, incarnation := t.machine.Self()
	s := Status{
		Incarnation:   incarnation,
		Health:        t.machine.HealthScore(),
		NameConflicts: t.machine.NameConflicts,
		Counts:        t.counts,
	}
	s.Counts.QueueFull = t.overruns.Load()
	if t.exchange != nil {
		s.ZoneState = t.exchange.status(now)
	}
	for _, member := range t.machine.Members() {
		m := Member{
			Name:        member.Name,
			Addr:        member.Addr.String(),
			Region:      member.Region,
			Zone:        member.Zone,
			Status:      member.Status.String(),
			Incarnation: member.Incarnation,
			SinceChange: now - member.StatusSince,
			SinceHeard:  -1,
		}
		if member.LastHeard > 0 {
			m.SinceHeard = now - member.LastHeard
		}
		s.Members = append(s.Members, m)
	}
	return s
}
