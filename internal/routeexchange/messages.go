package routeexchange

import (
	"hash/fnv"

	"damsontrestle/internal/peering"
)

// Topics of the messages between gateways; their names are part of the wire.
const (
	topicUpdate  = "offers.table" // a table, or what has changed in it
	topicRefresh = "offers.again" // asks for the complete table (a route refresh, RFC 2918)
)

// update is what goes over a link. A table begins with its first part, of serial 0; what follows has the next serial each time.
type update struct {
	Serial    uint64          `cbor:"1,keyasint"`
	Put       []Advertisement `cbor:"2,keyasint,omitempty"`
	Withdrawn []ID            `cbor:"3,keyasint,omitempty"`
	More      bool            `cbor:"4,keyasint,omitempty"` // the table or the change goes on with the next message
	Digest    uint64          `cbor:"5,keyasint"`           // of the complete table after the last part
	Gateways  []Gateway       `cbor:"6,keyasint,omitempty"` // of the first and last parts: the partner's gateways that live
}

// Gateway is a gateway of a partner that takes requests.
type Gateway struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // address
	Zone    string `cbor:"3,keyasint,omitempty"`
}

// maxAdvertisementsPerMessage is how many advertisements and withdrawals go in one message at most.
const maxAdvertisementsPerMessage = 400

// tableDigest is a digest of a complete table, whatever its order.
func tableDigest(digests map[ID]uint64) (d uint64) {
	for _, v := range digests {
		d += v
	}
	return d
}

// digestOf is a digest of an advertisement.
func digestOf(o *Advertisement) (uint64, error) {
	text, err := peering.Encode(o)
	if err != nil {
		return 0, err
	}
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64(), nil
}
