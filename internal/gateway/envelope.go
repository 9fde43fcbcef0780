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

// envelopeHeader goes with a request to a partner's gateway: an envelope and its tag by the partners' key, both in base64, with
// a dot between.
const envelopeHeader = "X-Federation"

// envelope says of a forwarded request what its headers do not: by which partners and which advertisement it comes, and which
// quotas it has drawn from. The tag is over all of it, the request's id and its target among that.
type envelope struct {
	ID            string           `cbor:"1,keyasint"`
	Target        string           `cbor:"2,keyasint"`
	Path          []string         `cbor:"3,keyasint"` // partners that forwarded the request; the last one sends it
	Advertisement routeexchange.ID `cbor:"4,keyasint"`
	Tenant        string           `cbor:"5,keyasint,omitempty"`
	QuotaDraws    []string         `cbor:"6,keyasint,omitempty"`
	QueryOnly     bool             `cbor:"7,keyasint,omitempty"` // only its outcome is asked for: it must not be begun
	From          string           `cbor:"8,keyasint"`           // the sender: its ids are its own, and the same at all its gateways
}

// maxEnvelopeSize is how long the header may be, in bytes.
const maxEnvelopeSize = 8 << 10

// A tag's text begins so, for the key has other uses; the words are the wire's.
const (
	tagPrefix = "damsontrestle pass"
	tagSize   = 16 // bytes
)

var errEnvelope = errors.New("the envelope")

// envelopeTag is the first half of an HMAC-SHA-256 of an envelope's text.
func envelopeTag(key, text []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(tagPrefix))
	m.Write(text)
	return m.Sum(nil)[:tagSize]
}

// seal is the envelope as a header's value, tagged by the key of the partner that it goes to.
func (e *envelope) seal(key []byte) (string, error) {
	text, err := peering.Encode(e)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errEnvelope, err)
	}
	encoding := base64.RawURLEncoding
	return encoding.EncodeToString(text) + "." + encoding.EncodeToString(envelopeTag(key, text)), nil
}

// openEnvelope reads the header of a request. The error says why the request is no partner's.
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
