package gossip

import (
	"damsontrestle/internal/membership"
	"damsontrestle/internal/zonestate"
)

// Load holds a node's own measurements.
type Load struct {
	Entries []zonestate.Entry
	Names   map[zonestate.Subject]string // names of the subjects of all entries, for Status
}

// zoneName is the name of a zone in its region.
type zoneName struct{ region, zone string }

// exchange is the zone state exchange of a Transport. Only the goroutine of Run accesses it.
type exchange struct {
	machine         *zonestate.Machine
	options         zonestate.Options
	zoneNames       map[zonestate.ZoneID]zoneName
	names           map[zonestate.Subject]string
	loggedFreshness map[zonestate.ZoneID]zonestate.Freshness // last logged freshness of each zone
	viewChanges     int                                      // value of the membership's Changes in the machine's view; -1: it has no view
	sent            [zonestate.Query + 1]int                 // number of messages, by kind
}

func newExchange(options Options, id membership.ID, seed uint64) (*exchange, error) {
	self := zonestate.Peer{ID: uint64(id), Addr: options.Self.Addr, ZoneID: zonestate.ZoneIDOf(options.Self.Region, options.Self.Zone)}
	machine, err := zonestate.New(options.Clock.Now(), self, *options.ZoneState, seed)
	if err != nil {
		return nil, err
	}
	return &exchange{
		machine:         machine,
		options:         *options.ZoneState,
		loggedFreshness: map[zonestate.ZoneID]zonestate.Freshness{},
		viewChanges:     -1,
	}, nil
}

// updateView updates the machine's view if the membership has changed.
func (t *Transport) updateView() {
	x := t.exchange
	if x == nil || x.viewChanges == t.machine.Changes() {
		return
	}
	x.viewChanges = t.machine.Changes()
	id, incarnation := t.machine.Self()
	self := t.options.Self
	zoneID := zonestate.ZoneIDOf(self.Region, self.Zone)
	peers := []zonestate.Peer{{ID: uint64(id), Addr: self.Addr, ZoneID: zoneID}}
	x.zoneNames = map[zonestate.ZoneID]zoneName{zoneID: {self.Region, self.Zone}}
	for _, member := range t.machine.Members() {
		zoneID := zonestate.ZoneIDOf(member.Region, member.Zone)
		x.zoneNames[zoneID] = zoneName{member.Region, member.Zone}
		peers = append(peers, zonestate.Peer{
			ID:       uint64(member.ID),
			Addr:     member.Addr,
			ZoneID:   zoneID,
			Suspect:  member.Status == membership.Suspect,
			Inactive: member.Status > membership.Suspect,
		})
	}
	x.machine.SetIncarnation(incarnation)
	x.machine.SetView(t.options.Clock.Now(), zonestate.NewView(peers))
}

// sendZoneState sends messages of the zone state protocol. It drops those that exceed the send budget.
func (t *Transport) sendZoneState(packets []zonestate.Packet) {
	for _, p := range packets {
		if t.write(membership.Seal(zonestate.Append(nil, p.Message), t.options.Key), p.To) {
			t.exchange.sent[p.Kind]++
		}
	}
}

// PublishLoad sets the node's current measurements. It never blocks: a later call replaces measurements that Run has not read yet.
func (t *Transport) PublishLoad(load Load) {
	select {
	case <-t.loads:
	default:
	}
	select {
	case t.loads <- load:
	default:
	}
}

// setLoad passes the node's measurements to the machine.
func (t *Transport) setLoad(load Load) {
	x := t.exchange
	if x == nil {
		return
	}
	x.names = load.Names
	entries := append(load.Entries, auditEntries()...)
	x.machine.SetOwnPart(t.options.Clock.Now(), zonestate.GroupByPage(entries))
}

// logZones logs each change of a zone's freshness.
func (t *Transport) logZones() {
	x := t.exchange
	clock := readAuditClock() // read before options.Clock, so that no row ages between the two
	now := t.options.Clock.Now()
	for _, z := range x.machine.Zones(now) {
		name := x.zoneNames[z.ID]
		if logged, known := x.loggedFreshness[z.ID]; !known || logged != z.Freshness {
			x.loggedFreshness[z.ID] = z.Freshness
			t.options.Log.Info("zone", "region", name.region, "zone", name.zone, "facts", z.Freshness, "from", z.PartCount, "of", z.ActiveNodes)
		}
		if excess := clock.underReported(x.machine.Read(now, z.ID, zonestate.MadeAt, 0)); excess > 0 {
			t.options.Log.Error("an age was under-reported", "zone", name.zone, "by", excess)
		}
	}
}
