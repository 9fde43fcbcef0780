package peering

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the decoder. The size of a message is limited by its frame.
const (
	maxNesting  = 16
	maxElements = 1 << 17 // of an array or a map
)

// encoding and decoding are the CBOR modes of all data on links (RFC 8949, core deterministic encoding).
var (
	encoding = mustMode(cbor.CoreDetEncOptions().EncMode())
	decoding = mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

func mustMode[T any](v T, err error) T {
	if err != nil {
		panic(err) // invalid options, which do not depend on input
	}
	return v
}

// Decode decodes the body of a message into the value that v points to. Its errors wrap ErrMalformedFrame.
func Decode(body []byte, v any) error {
	if err := decoding.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	return nil
}

// Encode returns v as the body of a message.
func Encode(v any) ([]byte, error) { return encoding.Marshal(v) }
