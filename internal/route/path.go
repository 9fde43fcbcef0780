package route

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// PathChange is the kind of change that normalization made to a path.
type PathChange int

// Path changes, from the least to the most significant.
const (
	PathUnchanged       PathChange = iota // the path was already normalized
	PathReencoded                         // percent-encodings were changed, not the characters (RFC 3986 section 6.2.2.2)
	PathSegmentsRemoved                   // dot segments were resolved or empty segments removed; a server may interpret the original differently
)

// String returns the name of the change, for logs and tests.
func (c PathChange) String() string {
	switch c {
	case PathUnchanged:
		return "same"
	case PathReencoded:
		return "spelled"
	case PathSegmentsRemoved:
		return "moved"
	}
	return "PathChange(" + strconv.Itoa(int(c)) + ")"
}

// NormalForm returns the normalized form of a path; see NormalizePath.
func NormalForm(raw string) (string, error) {
	normalized, _, err := NormalizePath(raw)
	return normalized, err
}

// NormalizePath returns the normalized form of a path (without its query): percent-encodings only where they are
// needed, with upper-case digits (RFC 3986 sections 6.2.2.1 and 6.2.2.2), no dot segments (section 5.2.4) and no
// empty segments except a last one. It returns an error for paths that servers are known to interpret in different
// ways even in normalized form: those with encoded separators, backslashes, control characters, a dot segment with
// parameters (";"), double percent-encoding or invalid UTF-8.
func NormalizePath(raw string) (normalized string, change PathChange, err error) {
	if !strings.HasPrefix(raw, "/") {
		return "", PathUnchanged, errors.New(`a path begins with "/"`)
	}
	if isNormalized(raw) {
		return raw, PathUnchanged, nil
	}
	reencoded, err := normalizeEncoding(raw)
	if err != nil {
		return "", PathUnchanged, err
	}
	if reencoded != raw {
		change = PathReencoded
	}
	normalized, err = resolveDotSegments(reencoded)
	if err != nil {
		return "", PathUnchanged, err
	}
	if normalized != reencoded {
		change = PathSegmentsRemoved
	}
	return normalized, change, nil
}

// isNormalized is a fast check for most paths: it reports true only for paths that are already normalized.
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

// normalizeEncoding percent-encodes only the characters that need it, with upper-case digits.
func normalizeEncoding(raw string) (string, error) {
	var b strings.Builder
	b.Grow(len(raw))
	var octets []byte // the decoded path
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

// writePercentEncoded writes an octet percent-encoded (RFC 3986 section 2.1).
func writePercentEncoded(b *strings.Builder, octet byte) {
	const digits = "0123456789ABCDEF"
	b.WriteByte('%')
	b.WriteByte(digits[octet>>4])
	b.WriteByte(digits[octet&15])
}

// hasPercentEncoding reports whether octets contain a percent-encoding.
func hasPercentEncoding(octets []byte) bool {
	for i := range octets {
		if octets[i] == '%' && i+2 < len(octets) && isHex(octets[i+1]) && isHex(octets[i+2]) {
			return true
		}
	}
	return false
}

// resolveDotSegments resolves dot segments (RFC 3986 section 5.2.4) and removes empty segments except a last one.
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
		if last { // a path that ends with a dot segment names a folder
			kept = append(kept, "")
		}
	}
	return "/" + strings.Join(kept, "/"), nil
}

// PathHasClass reports whether a path that is forwarded unchanged belongs to class even for the most liberal server:
// one that decodes twice, treats backslashes as slashes and removes parameters. The class is the path's first
// segment.
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

// decodeOnce removes one layer of percent-encoding. Invalid encodings are kept.
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

// isHex reports whether a character is a hexadecimal digit.
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

// isUnreserved reports whether a character means the same whether percent-encoded or not (RFC 3986 section 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '-' || c == '.' || c == '_' || c == '~'
}
