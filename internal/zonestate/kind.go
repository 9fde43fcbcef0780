package zonestate

// Kind identifies the quantity that an entry measures. The two highest bits select the operation that combines the values of
// several parts, so that a node can aggregate kinds that it does not know.
type Kind uint8

// Bits of a Kind: operations that combine values, and the page.
const (
	opSum    Kind = 0x00
	opMax    Kind = 0x40
	opMin    Kind = 0x80
	opBits   Kind = 0xc0
	pageUnit Kind = 0x10 // the bits between operation and number select the page
	pages         = 4
)

// Kinds. Rates are per second, averaged over about the last period.
const (
	Demand        = opSum + 0 // of a class: requests received per second
	Rejected      = opSum + 1 // of a class: requests rejected per second
	OpenRequests  = opSum + 2 // of a class: requests without a response
	ReadyServers  = opMax + 0 // of a zone: servers listed as ready
	WarmServers   = opMax + 1 // of a zone: ready servers that have completed slow start
	NewestVersion = opMax + 2 // of an endpoint list or configuration: highest version at any node
	OldestVersion = opMin + 0 // of an endpoint list or configuration: lowest version at any node
	MadeAt        = opMin + 1 // without a subject: creation time of the part; only set by builds for the fault bench

	Attempts       = opSum + pageUnit + 0 // to a zone: attempts completed per second
	FailedAttempts = opSum + pageUnit + 1 // to a zone: attempts failed per second
	AttemptTime    = opSum + pageUnit + 2 // to a zone: total duration of the completed attempts, in seconds per second

	ServerFailures = opSum + 2*pageUnit + 0 // of a server: attempts failed per second
	ServerInFlight = opSum + 2*pageUnit + 1 // of a server: attempts in flight

	LatencyHistogram = opSum + 3*pageUnit + 0 // of a power of two of microseconds: attempts per second that took less than it and at least half of it
)

// page returns the page of a kind. An author publishes one row per page, each of which fits into a datagram.
func (k Kind) page() uint8 { return uint8(k&^opBits) / uint8(pageUnit) % pages }

// staysInZone reports whether rows of a page are not sent to other zones.
func staysInZone(page uint8) bool { return page >= 2 }
