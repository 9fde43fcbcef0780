package gossip

import (
	"fmt"
	"time"

	"damsontrestle/internal/membership"
	"damsontrestle/internal/zonestate"
)

// Seen is what a node sees itself, for the exchange, and the names of what it is about.
type Seen struct {
	Entries []zonestate.Entry
	Names   map[zonestate.Subject]string
}

// ZoneStateStatus is what a Room knows of zones.
type ZoneStateStatus struct {
	Fresh   time.Duration     `json:"fresh"` // that the file asks for
	Alone   bool              `json:"alone"` // nothing fresh is known of anybody else
	Zones   []Zone            `json:"zones"`
	Rows    int               `json:"rows"` // that are held, children's parts among them
	Dropped zonestate.Dropped `json:"dropped"`
	Sent    map[string]int    `json:"sent"` // messages by kind
}

// Zone is what is known of one.
type Zone struct {
	Region string        `json:"region,omitempty"`
	Zone   string        `json:"zone"`
	Word   string        `json:"word"`          // fresh, stale, unknown
	For    time.Duration `json:"for"`           // how long that has been so; of unknown after stale, for how long it was not fresh
	Age    time.Duration `json:"age,omitempty"` // of the oldest part, at most
	From   int           `json:"from"`          // nodes whose parts are in it
	Of     int           `json:"of"`            // nodes that live there
	Told   []LoadReport  `json:"told,omitempty"`
}

// LoadReport is one figure.
type LoadReport struct {
	What   string        `json:"what"`
	Of     string        `json:"of"` // the subject's name, or its number where the node knows no name
	Amount float64       `json:"amount"`
	Age    time.Duration `json:"age"`
	From   int           `json:"from"`
}

// reportKinds name kinds for people.
var reportKinds = map[zonestate.Kind]string{zonestate.Demand: "demand", zonestate.Rejected: "refused", zonestate.Open: "open", zonestate.Ready: "ready", zonestate.Warm: "warm",
	zonestate.Newest: "newest", zonestate.Oldest: "oldest", zonestate.Made: "made", zonestate.Sent: "sent", zonestate.Bad: "bad", zonestate.Lag: "lag",
	zonestate.Failures: "trouble", zonestate.InFlight: "held", zonestate.Sketch: "sketch"}

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

// status tells what is known, by region and zone.
func (x *exchange) status(now time.Duration) *ZoneStateStatus {
	f := &ZoneStateStatus{Fresh: x.options.Fresh, Alone: x.machine.Alone(now), Rows: x.machine.Size(), Dropped: x.machine.Dropped, Sent: map[string]int{}}
	for kind, name := range map[zonestate.MessageKind]string{zonestate.Up: "parts", zonestate.Down: "rows", zonestate.Reply: "answers", zonestate.Query: "questions"} {
		f.Sent[name] = x.sent[kind]
	}
	for _, z := range x.machine.Zones(now) {
		out := Zone{Region: x.places[z.Place][0], Zone: x.places[z.Place][1], Word: z.Freshness.String(), For: now - z.Since, Age: z.Age, From: z.From, Of: z.Of}
		for _, page := range []zonestate.Kind{zonestate.Demand, zonestate.Sent, zonestate.Failures, zonestate.Sketch} {
			row, found := x.machine.Row(now, z.Place, page)
			for _, e := range row.Entries {
				what, known := reportKinds[e.Kind]
				if !known {
					what = fmt.Sprintf("kind %#x", uint8(e.Kind))
				}
				name, known := x.names[e.Subject]
				switch {
				case e.Kind == zonestate.Sketch:
					name = fmt.Sprintf("under %v", time.Duration(1<<min(uint(e.Subject), 40))*time.Microsecond)
				case !known:
					name = fmt.Sprintf("%#08x", uint32(e.Subject))
				}
				if found {
					out.Told = append(out.Told, LoadReport{what, name, e.Value, row.Age, row.From})
				}
			}
		}
		f.Zones = append(f.Zones, out)
	}
	return f
}
