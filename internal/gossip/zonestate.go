package gossip

import (
	"damsontrestle/internal/membership"
	"damsontrestle/internal/zonestate"
)

// Seen is what a node sees itself, for the exchange, and the names of what it is about.
type Seen struct {
	Entries []zonestate.Entry
	Names   map[zonestate.Subject]string
}

// exchange is a Room's part in facts.
type exchange struct {
	machine *zonestate.Machine
	options zonestate.Options
	places  map[zonestate.Place][2]string // region and zone
	names   map[zonestate.Subject]string
	logged  map[zonestate.Place]zonestate.Freshness // as were logged last
	changes int                                     // of the membership, that the machine has seen
	sent    [zonestate.Query + 1]int
}

func newExchange(o Options, id membership.ID, seed uint64) (*exchange, error) {
	self := zonestate.Peer{ID: uint64(id), Addr: o.Self.Addr, Place: zonestate.PlaceOf(o.Self.Region, o.Self.Zone)}
	m, err := zonestate.New(o.Clock.Now(), self, *o.ZoneState, seed)
	if err != nil {
		return nil, err
	}
	x := &exchange{machine: m, options: *o.ZoneState, logged: map[zonestate.Place]zonestate.Freshness{}, changes: -1}
	return x, nil
}

// updateView has the machine see the membership as it is now.
func (t *Transport) updateView() {
	x := t.exchange
	if x == nil || x.changes == t.machine.Changes() {
		return
	}
	x.changes = t.machine.Changes()
	id, incarnation := t.machine.Self()
	self := t.options.Self
	at := zonestate.PlaceOf(self.Region, self.Zone)
	all := []zonestate.Peer{{ID: uint64(id), Addr: self.Addr, Place: at}}
	x.places = map[zonestate.Place][2]string{at: {self.Region, self.Zone}}
	for _, k := range t.machine.Members() {
		at := zonestate.PlaceOf(k.Region, k.Zone)
		x.places[at] = [2]string{k.Region, k.Zone}
		all = append(all, zonestate.Peer{ID: uint64(k.ID), Addr: k.Addr, Place: at, Suspect: k.Status == membership.Suspect, Gone: k.Status > membership.Suspect})
	}
	x.machine.SetIncarnation(incarnation)
	x.machine.SetView(t.options.Clock.Now(), zonestate.NewView(all))
}

// sendZoneState sends what the exchange has to say, within the room's send budget.
func (t *Transport) sendZoneState(packets []zonestate.Packet) {
	for _, p := range packets {
		if t.write(membership.Seal(zonestate.Append(nil, p.Message), t.options.Key), p.To) {
			t.exchange.sent[p.Kind]++
		}
	}
}

// PublishLoad hands in what the node sees now. It never blocks; of two that wait, the later holds.
func (t *Transport) PublishLoad(s Seen) {
	select {
	case <-t.loads:
	default:
	}
	select {
	case t.loads <- s:
	default:
	}
}

// setLoad takes what the node sees.
func (t *Transport) setLoad(s Seen) {
	if x := t.exchange; x != nil {
		x.names = s.Names
		x.machine.Set(t.options.Clock.Now(), zonestate.Sort(append(s.Entries, truthEntries()...)))
	}
}

// logZones logs each change of what is known of a zone.
func (t *Transport) logZones() {
	x := t.exchange
	truth := readTruth() // before the clock: nothing gets older between
	now := t.options.Clock.Now()
	for _, z := range x.machine.Zones(now) {
		if was, told := x.logged[z.Place]; !told || was != z.Freshness {
			x.logged[z.Place] = z.Freshness
			t.options.Log.Info("zone", "region", x.places[z.Place][0], "zone", x.places[z.Place][1], "facts", z.Freshness, "from", z.From, "of", z.Of)
		}
		if short := truth.underReported(x.machine.Read(now, z.Place, zonestate.Made, 0)); short > 0 {
			t.options.Log.Error("an age was under-reported", "zone", x.places[z.Place][1], "by", short)
		}
	}
}
