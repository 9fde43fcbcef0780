package peering

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of what a decoder accepts. The size of a message is limited by its frame.
const (
	maxNesting  = 16
	maxElements = 1 << 17 // of an array or a map
)

// encoding and decoding are the CBOR modes of everything that links carry (RFC 8949, core deterministic encoding).
var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are wrong, whatever the input
	}
	return v
}

// Decode reads the body of a message into what v points to. Its error is ErrFrame.
func Decode(body []byte, v any) error {
	if err := decoding.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	return nil
}

// Encode returns v as the body of a message.
func Encode(v any) ([]byte, error) { return encoding.Marshal(v) }
