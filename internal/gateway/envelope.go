package gateway

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"

	"damsontrestle/internal/peering"
	"damsontrestle/internal/routeexchange"
)

// Header is the header that goes with a request to a partner's gateway: a pass and its tag by the partners' key, both in base64.
const envelopeHeader = "X-Federation"

// envelope says of a request what its headers do not: whence it comes and by which offer, and what was drawn for it. The tag is over
// all of it, the request's id and its target among that.
type envelope struct {
	ID            string           `cbor:"1,keyasint"`
	Target        string           `cbor:"2,keyasint"`
	Path          []string         `cbor:"3,keyasint"` // partners that the request came through; the last one sends it
	Advertisement routeexchange.ID `cbor:"4,keyasint"`
	Tenant        string           `cbor:"5,keyasint,omitempty"`
	Draws         []string         `cbor:"6,keyasint,omitempty"`
	QueryOnly     bool             `cbor:"7,keyasint,omitempty"` // only what became of it is asked for: it is not to be begun
	From          string           `cbor:"8,keyasint"`           // the sender's own word for the request, the same in all its gateways
}

// maxEnvelope is how long a header may be.
const maxEnvelope = 8 << 10

var errEnvelope = errors.New("the pass")

func envelopeTag(key, text []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("damsontrestle pass"))
	m.Write(text)
	return m.Sum(nil)[:16]
}

// seal is a pass as a header.
func (p *envelope) seal(key []byte) (string, error) {
	text, err := peering.Encode(p)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errEnvelope, err)
	}
	e := base64.RawURLEncoding
	return e.EncodeToString(text) + "." + e.EncodeToString(envelopeTag(key, text)), nil
}

// openEnvelope reads a header of a request. The error says why the request is none of a partner's.
func openEnvelope(header []string, key func(partner string) []byte, id, target string) (*envelope, error) {
	if len(header) != 1 || len(header[0]) > maxEnvelope {
		return nil, fmt.Errorf("%w is missing, comes twice or is too long", errEnvelope)
	}
	a, b, _ := strings.Cut(header[0], ".")
	text, err := base64.RawURLEncoding.DecodeString(a)
	if err != nil {
		return nil, fmt.Errorf("%w is malformed", errEnvelope)
	}
	tag, err := base64.RawURLEncoding.DecodeString(b)
	if err != nil {
		return nil, fmt.Errorf("%w is malformed", errEnvelope)
	}
	var p envelope
	if err := peering.Decode(text, &p); err != nil || len(p.Path) == 0 || len(p.Path) > routeexchange.MaxHops {
		return nil, fmt.Errorf("%w is malformed", errEnvelope)
	}
	k := key(p.Path[len(p.Path)-1])
	if k == nil || !hmac.Equal(tag, envelopeTag(k, text)) {
		return nil, fmt.Errorf("%w has a tag of another key", errEnvelope)
	}
	if p.ID != id || p.Target != target {
		return nil, fmt.Errorf("%w is another call's", errEnvelope)
	}
	return &p, nil
}
