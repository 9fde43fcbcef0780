package routeexchange

import (
	"hash/fnv"

	"damsontrestle/internal/peering"
)

// Topics of the messages between gateways. Their names are part of the wire protocol.
const (
	topicUpdate  = "offers.table" // a table or a change to it
	topicRefresh = "offers.again" // requests the complete table (route refresh, RFC 2918)
)

// update is one part of a table or of a change to it. A table starts with serial 0; each following message on the link has the
// next serial.
type update struct {
	Serial    uint64          `cbor:"1,keyasint"`
	Put       []Advertisement `cbor:"2,keyasint,omitempty"`
	Withdrawn []ID            `cbor:"3,keyasint,omitempty"`
	More      bool            `cbor:"4,keyasint,omitempty"` // the table or change continues in the next message
	Digest    uint64          `cbor:"5,keyasint"`           // in the last part: digest of the complete table
	Gateways  []Gateway       `cbor:"6,keyasint,omitempty"` // in the last part: the partner's live gateways
}

// Gateway is a partner's gateway that accepts requests.
type Gateway struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // where it accepts requests
	Zone    string `cbor:"3,keyasint,omitempty"`
}

// maxAdvertisementsPerMessage limits the advertisements and withdrawals in one message.
const maxAdvertisementsPerMessage = 400

// tableDigest returns a digest of a complete table that does not depend on the order of its entries.
func tableDigest(digests map[ID]uint64) (d uint64) {
	for _, v := range digests {
		d += v
	}
	return d
}

// digestOf returns the digest of an advertisement.
func digestOf(o *Advertisement) (uint64, error) {
	text, err := peering.Encode(o)
	if err != nil {
		return 0, err
	}
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64(), nil
}
