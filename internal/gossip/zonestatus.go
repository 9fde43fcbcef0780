package gossip

import (
	"fmt"
	"time"

	"damsontrestle/internal/zonestate"
)

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
