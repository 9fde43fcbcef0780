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

// envelopeHeader is the header of a forwarded request that carries its envelope and the tag computed with the partners' key, both in
// base64, separated by a dot.
const envelopeHeader = "X-Federation"

// envelope holds the metadata of a forwarded request that its other headers do not carry: the partners that forwarded it, the
// advertisement it was routed by, and the quotas it has drawn from. The tag covers all of it, including the request's ID and target.
type envelope struct {
	ID            string           `cbor:"1,keyasint"`
	Target        string           `cbor:"2,keyasint"`
	Path          []string         `cbor:"3,keyasint"` // partners that forwarded the request; the last one is the sender
	Advertisement routeexchange.ID `cbor:"4,keyasint"`
	Tenant        string           `cbor:"5,keyasint,omitempty"`
	QuotaDraws    []string         `cbor:"6,keyasint,omitempty"`
	QueryOnly     bool             `cbor:"7,keyasint,omitempty"` // a query for the outcome, which must not start the request
	From          string           `cbor:"8,keyasint"`           // the sender, which scopes request IDs: they are the same at all its gateways
}

// maxEnvelopeSize is the maximum length of the header's value, in bytes.
const maxEnvelopeSize = 8 << 10

const (
	tagPrefix = "damsontrestle pass" // input prefix of tags, as the key has other uses; part of the protocol
	tagSize   = 16                   // bytes
)

var errEnvelope = errors.New("the envelope")

// envelopeTag returns the HMAC-SHA-256 of an encoded envelope, truncated to tagSize.
func envelopeTag(key, text []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(tagPrefix))
	m.Write(text)
	return m.Sum(nil)[:tagSize]
}

// seal returns the header's value for the envelope, with a tag computed with the key of the receiving partner.
func (e *envelope) seal(key []byte) (string, error) {
	text, err := peering.Encode(e)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errEnvelope, err)
	}
	encoding := base64.RawURLEncoding
	return encoding.EncodeToString(text) + "." + encoding.EncodeToString(envelopeTag(key, text)), nil
}

// openEnvelope verifies and decodes the envelope of a request with an ID and a target. It returns an error if there is not exactly
// one valid envelope for this request.
func openEnvelope(header []string, key func(partner string) []byte, id, target string) (*envelope, error) {
	if len(header) != 1 || len(header[0]) > maxEnvelopeSize {
		return nil, fmt.Errorf("%w is missing, comes twice or is too long", errEnvelope)
	}
	encodedText, encodedTag, _ := strings.Cut(header[0], ".")
	text, err := base64.RawURLEncoding.DecodeString(encodedText)
	if err != nil {
		return nil, fmt.Errorf("%w is malformed", errEnvelope)
	}
	tag, err := base64.RawURLEncoding.DecodeString(encodedTag)
	if err != nil {
		return nil, fmt.Errorf("%w is malformed", errEnvelope)
	}
	var e envelope
	if err := peering.Decode(text, &e); err != nil || len(e.Path) == 0 || len(e.Path) > routeexchange.MaxHops {
		return nil, fmt.Errorf("%w is malformed", errEnvelope)
	}
	sender := e.Path[len(e.Path)-1]
	senderKey := key(sender)
	if senderKey == nil || !hmac.Equal(tag, envelopeTag(senderKey, text)) {
		return nil, fmt.Errorf("%w has a tag of another key", errEnvelope)
	}
	if e.ID != id || e.Target != target {
		return nil, fmt.Errorf("%w is another request's", errEnvelope)
	}
	return &e, nil
}
