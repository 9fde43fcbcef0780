package gossip

import (
	"fmt"
	"time"

	"damsontrestle/internal/zonestate"
)

// ZoneStateStatus is the zone state at a node.
type ZoneStateStatus struct {
	FreshAge   time.Duration     `json:"fresh"` // as configured
	Isolated   bool              `json:"alone"` // no fresh state of other nodes is available
	Zones      []Zone            `json:"zones"`
	StoredRows int               `json:"rows"` // number of stored rows and parts of children
	Dropped    zonestate.Dropped `json:"dropped"`
	Sent       map[string]int    `json:"sent"` // number of messages, by kind
}

// Zone is the state of one zone.
type Zone struct {
	Region      string        `json:"region,omitempty"`
	Zone        string        `json:"zone"`
	Freshness   string        `json:"word"`          // fresh, stale, unknown
	SinceChange time.Duration `json:"for"`           // time since Freshness changed; for unknown after stale, time since it was fresh
	Age         time.Duration `json:"age,omitempty"` // upper bound on the age of the oldest part
	PartCount   int           `json:"from"`          // number of nodes whose parts are included
	ActiveNodes int           `json:"of"`            // number of active nodes in the zone
	Reports     []LoadReport  `json:"told,omitempty"`
}

// LoadReport is one value of a zone's rows.
type LoadReport struct {
	Kind      string        `json:"what"`
	Subject   string        `json:"of"` // name of the subject, or its number if this node does not know the name
	Value     float64       `json:"amount"`
	Age       time.Duration `json:"age"`  // upper bound on the age of the oldest part
	PartCount int           `json:"from"` // number of nodes whose parts are included
}

// kindNames are the names of kinds in a LoadReport.
var kindNames = map[zonestate.Kind]string{
	zonestate.Demand:           "demand",
	zonestate.Rejected:         "refused",
	zonestate.OpenRequests:     "open",
	zonestate.ReadyServers:     "ready",
	zonestate.WarmServers:      "warm",
	zonestate.NewestVersion:    "newest",
	zonestate.OldestVersion:    "oldest",
	zonestate.MadeAt:           "made",
	zonestate.Attempts:         "sent",
	zonestate.FailedAttempts:   "bad",
	zonestate.AttemptTime:      "lag",
	zonestate.ServerFailures:   "trouble",
	zonestate.ServerInFlight:   "held",
	zonestate.LatencyHistogram: "sketch",
}

// messageNames are the names of messages in ZoneStateStatus.Sent.
var messageNames = map[zonestate.MessageKind]string{
	zonestate.PartUpdate: "parts",
	zonestate.RowUpdate:  "rows",
	zonestate.Reply:      "answers",
	zonestate.Query:      "questions",
}

// pageKinds holds one kind of each page.
var pageKinds = []zonestate.Kind{zonestate.Demand, zonestate.Attempts, zonestate.ServerFailures, zonestate.LatencyHistogram}

// maxHistogramExponent is the maximum power of two in the name of a latency histogram entry.
const maxHistogramExponent = 40

// status returns the state of all zones.
func (x *exchange) status(now time.Duration) *ZoneStateStatus {
	s := &ZoneStateStatus{
		FreshAge:   x.options.FreshAge,
		Isolated:   x.machine.Isolated(now),
		StoredRows: x.machine.Size(),
		Dropped:    x.machine.Dropped,
		Sent:       map[string]int{},
	}
	for kind, name := range messageNames {
		s.Sent[name] = x.sent[kind]
	}
	for _, z := range x.machine.Zones(now) {
		name := x.zoneNames[z.ID]
		s.Zones = append(s.Zones, Zone{
			Region:      name.region,
			Zone:        name.zone,
			Freshness:   z.Freshness.String(),
			SinceChange: now - z.Since,
			Age:         z.Age,
			PartCount:   z.PartCount,
			ActiveNodes: z.ActiveNodes,
			Reports:     x.loadReports(now, z.ID),
		})
	}
	return s
}

// loadReports returns the values of a zone's rows.
func (x *exchange) loadReports(now time.Duration, zone zonestate.ZoneID) []LoadReport {
	var reports []LoadReport
	for _, kind := range pageKinds {
		row, found := x.machine.Row(now, zone, kind)
		if !found {
			continue
		}
		for _, e := range row.Entries {
			reports = append(reports, LoadReport{
				Kind:      kindName(e.Kind),
				Subject:   x.subjectName(e),
				Value:     e.Value,
				Age:       row.Age,
				PartCount: row.PartCount,
			})
		}
	}
	return reports
}

func kindName(k zonestate.Kind) string {
	if name, known := kindNames[k]; known {
		return name
	}
	return fmt.Sprintf("kind %#x", uint8(k))
}

func (x *exchange) subjectName(e zonestate.Entry) string {
	if e.Kind == zonestate.LatencyHistogram {
		exponent := min(uint(e.Subject), maxHistogramExponent)
		return fmt.Sprintf("under %v", time.Duration(1<<exponent)*time.Microsecond)
	}
	if name, known := x.names[e.Subject]; known {
		return name
	}
	return fmt.Sprintf("%#08x", uint32(e.Subject))
}
