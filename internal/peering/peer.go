package peering

// Peer is a gateway at the other end of a link.
type Peer struct {
	Partner     string `cbor:"1,keyasint"` // whose gateway it is
	Name        string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint"`           // drawn at its start: another one has forgotten what this one knew
	Calls       string `cbor:"5,keyasint,omitempty"` // address at which it takes partners' requests; empty: it takes none
}

// GatewayID names a gateway whatever its incarnation.
type GatewayID struct{ Partner, Name string }

// ID is the peer's name among all.
func (p Peer) ID() GatewayID { return GatewayID{p.Partner, p.Name} }

func (w GatewayID) String() string { return w.Partner + "/" + w.Name }
