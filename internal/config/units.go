package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that is written with its unit.
type Duration time.Duration

// MarshalText formats the duration like "1.5s".
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("found %q; allowed: a number with a unit, such as \"250ms\", \"1.5s\" or \"2m\"", text)
	}
	*d = Duration(v)
	return nil
}

func (d Duration) String() string { return time.Duration(d).String() }

// Size is a number of bytes that is written with a unit.
type Size int64

var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// String formats the size like "192MiB", in the largest unit that needs no decimals.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if int64(s)%u.bytes == 0 && (s != 0 || u.bytes == 1) {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.name
		}
	}
	return "0B"
}

// MarshalText formats the size like String.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses an integer with a unit.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return fmt.Errorf("found %q; allowed: an integer with a unit, such as \"64KiB\", \"192MiB\" or \"1GiB\"", text)
}
