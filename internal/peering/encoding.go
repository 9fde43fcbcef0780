package peering

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encoding and decoding are of all that goes over links. What comes in is bounded by its frame, and by these.
var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 16, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17,
		IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are wrong, whatever the input
	}
	return v
}

// Decode reads a message's body into what v points to.
func Decode(body []byte, v any) error {
	if err := decoding.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return nil
}

// Encode is how v goes over links.
func Encode(v any) ([]byte, error) { return encoding.Marshal(v) }
