package gossip

import (
	"time"

	"damsontrestle/internal/membership"
)

// Counts are datagram counts since the start.
type Counts struct {
	Sent        int64 `json:"sent"`
	Bytes       int64 `json:"bytes"` // sent, without UDP and IP headers
	Received    int64 `json:"received"`
	WrongKey    int64 `json:"strange"` // received with a tag of another key
	Malformed   int64 `json:"malformed"`
	Unsupported int64 `json:"other"` // received with another version, or with zone state while that is disabled
	QueueFull   int64 `json:"lost"`  // received and dropped because the queue was full
	RateLimited int64 `json:"paced"` // not sent because the send budget was exhausted
}

// Status is the state of the gossip at a node.
type Status struct {
	Incarnation   uint32           `json:"life"`
	Health        int              `json:"ill_health"` // local health score; 0: healthy, up to 8
	NameConflicts int              `json:"twins"`      // updates about this name with a later incarnation than this process had
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
	SinceChange time.Duration `json:"for"`             // time since the status changed at this node
	SinceHeard  time.Duration `json:"heard,omitempty"` // time since its last message; negative: none was received
}

// publishMembers publishes changes of the membership to ActiveMembers and logs them.
func (t *Transport) publishMembers() {
	if t.publishedChanges == t.machine.Changes() {
		return
	}
	t.publishedChanges = t.machine.Changes()
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

// ActiveMembers returns the other members that are alive or suspect. It returns none before Run. Callers must not modify the slice.
func (t *Transport) ActiveMembers() []membership.Peer {
	if active := t.active.Load(); active != nil {
		return *active
	}
	return nil
}

// Status returns the status of the gossip. It is zero before Run has started and after it has ended. Status waits for the loop of Run.
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

// status returns the Status. It must be called in the loop of Run.
func (t *Transport) status() Status {
	now := t.options.Clock.Now()
	_, incarnation := t.machine.Self()
	s := Status{
		Incarnation:   incarnation,
		Health:        t.machine.HealthScore(),
		NameConflicts: t.machine.NameConflicts,
		Counts:        t.counts,
	}
	s.Counts.QueueFull = t.queueFull.Load()
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
