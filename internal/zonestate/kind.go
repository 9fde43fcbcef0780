package zonestate

// Kind says what the value of an entry measures. Its highest bits say how the values of several parts are combined, so that a
// node can aggregate kinds that it does not know.
type Kind uint8

// How the values of parts are combined, and the number of pages.
const (
	opSum    Kind = 0x00
	opMax    Kind = 0x40
	opMin    Kind = 0x80
	opBits   Kind = 0xc0
	pageUnit Kind = 0x10 // the bits between tell the page
	pages         = 4
)

// Kinds. Rates are per second, over the last period or so.
const (
	Demand        = opSum + 0 // of a class: requests that came, a second
	Rejected      = opSum + 1 // of a class: requests that were rejected, a second
	OpenRequests  = opSum + 2 // of a class: requests that are unanswered
	ReadyServers  = opMax + 0 // of a zone: servers listed as ready
	WarmServers   = opMax + 1 // of a zone: of these, such as are past their slow start
	NewestVersion = opMax + 2 // of a list or configuration: the latest version that a node holds
	OldestVersion = opMin + 0 // and the earliest
	MadeAt        = opMin + 1 // of nothing: when the part was made; only builds for the fault bench tell it

	Attempts       = opSum + pageUnit + 0 // of a zone: attempts that ended there, a second
	FailedAttempts = opSum + pageUnit + 1 // of a zone: of them, such as did not succeed, a second
	AttemptTime    = opSum + pageUnit + 2 // of a zone: what they took in all, seconds a second

	ServerFailures = opSum + 2*pageUnit + 0 // of a server: attempts that did not succeed, a second
	ServerInFlight = opSum + 2*pageUnit + 1 // of a server: attempts in flight

	LatencyHistogram = opSum + 3*pageUnit + 0 // of a power of two of microseconds: attempts that took less, and not less than half, a second
)

// page returns the page of a kind: an author makes a row for each page, which fits into a datagram.
func (k Kind) page() uint8 { return uint8(k&^opBits) / uint8(pageUnit) % pages }

// staysInZone says that rows of a page are not sent to other zones.
func staysInZone(page uint8) bool { return page >= 2 }
