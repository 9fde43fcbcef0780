package peering

// Peer is a gateway at the other end of a link.
type Peer struct {
	Partner     string `cbor:"1,keyasint"` // partner that owns the gateway
	Name        string `cbor:"2,keyasint"` // unique among the partner's gateways
	Zone        string `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint"`           // chosen at random at process start; an incarnation has no state of an earlier one
	RequestAddr string `cbor:"5,keyasint,omitempty"` // address for partners' requests; empty: it accepts none
}

// GatewayID identifies a gateway across its incarnations.
type GatewayID struct{ Partner, Name string }

// ID returns the ID of the gateway.
func (p Peer) ID() GatewayID { return GatewayID{p.Partner, p.Name} }

// String returns the partner and the name, separated by a slash.
func (id GatewayID) String() string { return id.Partner + "/" + id.Name }
