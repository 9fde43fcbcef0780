package route

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Reading says how a path was brought to its plain form.
type PathChange int

// Readings, the harmless ones first.
const (
	PathUnchanged       PathChange = iota // it was plain
	PathReencoded                         // other percent-encodings of the same characters (RFC 3986 section 6.2.2.2)
	PathSegmentsRemoved                   // dot segments resolved or empty segments dropped: a server may read it otherwise
)

// String returns the name of the reading, for logs and tests.
func (r PathChange) String() string {
	switch r {
	case PathUnchanged:
		return "same"
	case PathReencoded:
		return "spelled"
	case PathSegmentsRemoved:
		return "moved"
	}
	return "PathChange(" + strconv.Itoa(int(r)) + ")"
}

// Plain returns the plain form of a path; see Read.
func NormalForm(raw string) (string, error) {
	plain, _, err := NormalizePath(raw)
	return plain, err
}

// Read returns the plain form of a path (without its query): percent-encodings only where they are needed, with
// upper-case digits (RFC 3986 sections 6.2.2.1 and 6.2.2.2), no dot segments (section 5.2.4) and no empty
// segments but a last one. A path that servers are known to read in more than one way whatever is made of it is
// an error: encoded separators, backslashes, control characters, dots behind a semicolon, what is encoded
// twice, and what is no UTF-8.
func NormalizePath(raw string) (plain string, how PathChange, err error) {
	if !strings.HasPrefix(raw, "/") {
		return "", PathUnchanged, errors.New(`a path begins with "/"`)
	}
	if isNormalized(raw) {
		return raw, PathUnchanged, nil
	}
	spelled, err := normalizeEncoding(raw)
	if err != nil {
		return "", PathUnchanged, err
	}
	if spelled != raw {
		how = PathReencoded
	}
	plain, err = resolveDotSegments(spelled)
	if err != nil {
		return "", PathUnchanged, err
	}
	if plain != spelled {
		how = PathSegmentsRemoved
	}
	return plain, how, nil
}

// isPlain is a quick check that most paths pass: a path that does is its own plain form.
func isNormalized(raw string) bool {
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case c <= ' ' || c >= 0x7f || c == '%' || c == '\\' || c == ';':
			return false
		case c == '/' && i+1 < len(raw) && (raw[i+1] == '/' || raw[i+1] == '.'):
			return false
		}
	}
	return true
}

// normalizeEncoding writes each character in one way: percent-encoded only where it has to be, with upper-case digits.
func normalizeEncoding(raw string) (string, error) {
	var b strings.Builder
	b.Grow(len(raw))
	var octets []byte // the path as a server would decode it
	for i := 0; i < len(raw); i++ {
		c := raw[i]
		switch {
		case c <= ' ' || c == 0x7f:
			return "", fmt.Errorf("it holds the character %q", c)
		case c >= 0x80:
			return "", errors.New("it holds characters beyond ASCII that are not percent-encoded")
		case c == '\\':
			return "", errors.New(`it holds a backslash, which some servers take for "/"`)
		case c != '%':
			b.WriteByte(c)
			octets = append(octets, c)
			continue
		}
		if i+2 >= len(raw) || !isHex(raw[i+1]) || !isHex(raw[i+2]) {
			return "", errors.New(`it holds a "%" that begins no percent-encoding`)
		}
		c = unhex(raw[i+1])<<4 | unhex(raw[i+2])
		i += 2
		octets = append(octets, c)
		switch {
		case c == '/' || c == '\\':
			return "", fmt.Errorf("it holds an encoded separator (%%%02X)", c)
		case c < ' ' || c == 0x7f:
			return "", fmt.Errorf("it holds an encoded control character (%%%02X)", c)
		case isUnreserved(c):
			b.WriteByte(c)
		default:
			writePercentEncoded(&b, c)
		}
	}
	if hasPercentEncoding(octets) {
		return "", errors.New("it is percent-encoded twice")
	}
	if !utf8.Valid(octets) {
		return "", errors.New("it is no UTF-8 once decoded")
	}
	return b.String(), nil
}

// writePercentEncoded writes an octet in its percent-encoding (RFC 3986 section 2.1).
func writePercentEncoded(b *strings.Builder, octet byte) {
	const digits = "0123456789ABCDEF"
	b.WriteByte('%')
	b.WriteByte(digits[octet>>4])
	b.WriteByte(digits[octet&15])
}

// hasPercentEncoding says that octets hold a percent-encoding.
func hasPercentEncoding(octets []byte) bool {
	for i := range octets {
		if octets[i] == '%' && i+2 < len(octets) && isHex(octets[i+1]) && isHex(octets[i+2]) {
			return true
		}
	}
	return false
}

// resolveDotSegments takes dot segments and empty segments out (RFC 3986 section 5.2.4).
func resolveDotSegments(path string) (string, error) {
	segments := strings.Split(path[1:], "/")
	kept := segments[:0:0]
	for i, s := range segments {
		last := i == len(segments)-1
		name, _, params := strings.Cut(s, ";")
		switch {
		case params && (name == "." || name == ".."):
			return "", errors.New(`it holds dots behind which ";" begins, which some servers take for a dot segment`)
		case s == "..":
			if len(kept) == 0 {
				return "", errors.New("it climbs above the root")
			}
			kept = kept[:len(kept)-1]
		case s != "." && (s != "" || last):
			kept = append(kept, s)
			continue
		}
		if last { // what ends with a dot segment names a folder
			kept = append(kept, "")
		}
	}
	return "/" + strings.Join(kept, "/"), nil
}

// Agrees says that a path that is forwarded as it came is of its class for the most liberal server too: one
// that decodes twice, takes backslashes for slashes and cuts parameters off. The class is the path's first
// part.
func PathHasClass(raw, class string) bool {
	if !strings.HasPrefix(raw, "/") {
		return false
	}
	if isNormalized(raw) {
		first, _, _ := strings.Cut(raw[1:], "/")
		return first == class
	}
	path := raw
	for range 2 {
		path = decodeOnce(path)
	}
	var kept []string
	for _, s := range strings.FieldsFunc(path, func(r rune) bool { return r == '/' || r == '\\' }) {
		name, _, _ := strings.Cut(s, ";")
		switch name {
		case ".", "":
		case "..":
			if len(kept) == 0 {
				return false
			}
			kept = kept[:len(kept)-1]
		default:
			kept = append(kept, name)
		}
		if len(kept) > 0 && kept[0] != class {
			return false
		}
	}
	return len(kept) > 0 && kept[0] == class
}

// decodeOnce takes one layer of percent-encoding off, as far as there is one.
func decodeOnce(s string) string {
	if !strings.Contains(s, "%") {
		return s
	}
	b := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) && isHex(s[i+1]) && isHex(s[i+2]) {
			b = append(b, unhex(s[i+1])<<4|unhex(s[i+2]))
			i += 2
			continue
		}
		b = append(b, s[i])
	}
	return string(b)
}

// isHex says that a character is a hexadecimal digit.
func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// unhex returns the value of a hexadecimal digit.
func unhex(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	}
	return c - 'a' + 10
}

// isUnreserved says that a character means the same percent-encoded or not (RFC 3986 section 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '-' || c == '.' || c == '_' || c == '~'
}
