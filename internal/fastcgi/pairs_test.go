package fastcgi

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// feed decodes text in chunks of a size and returns the pairs.
func feed(p *Pairs, text []byte, size int) (got []string, err error) {
	for rest := text; len(rest) > 0 && err == nil; rest = rest[min(size, len(rest)):] {
		err = p.Feed(rest[:min(size, len(rest))], func(name, value []byte) {
			got = append(got, fmt.Sprintf("%s=%s", name, value))
		})
	}
	if err == nil {
		err = p.End()
	}
	return got, err
}

func TestPairsInChunksOfEverySize(t *testing.T) {
	var text []byte
	var want []string
	for _, p := range [][2]string{{"", ""}, {"A", ""}, {"", "b"}, {strings.Repeat("n", 127), strings.Repeat("v", 128)},
		{strings.Repeat("N", 300), "x"}, {"LAST", strings.Repeat("y", 1000)}} {
		text = AppendPair(text, p[0], p[1])
		want = append(want, p[0]+"="+p[1])
	}
	// Short lengths may be encoded in four bytes, too.
	text = append(text, "\x80\x00\x00\x01\x80\x00\x00\x02Zzz"...)
	want = append(want, "Z=zz")
	p := NewPairs(PairLimits{Bytes: 2000, Count: len(want)})
	for size := 1; size <= len(text); size++ {
		p.Reset()
		if got, err := feed(p, text, size); err != nil || strings.Join(got, "|") != strings.Join(want, "|") {
			t.Fatalf("chunks of %d bytes: %v, %q", size, err, got)
		}
	}
}

func TestPairErrorsReportPosition(t *testing.T) {
	for _, c := range []struct {
		name, text string
		limits     PairLimits
		want       error
		message    string
	}{
		{"a length of 2 GB", "\xff\xff\xff\xff\x01x", PairLimits{100, 10}, ErrPairsTooLong, "pair 1 at byte 0 of the stream: name of 2147483647 bytes and value of 1 bytes"},
		{"name and value too long only together", "\x40\x40", PairLimits{100, 10}, ErrPairsTooLong, "exceed the byte limit of 100"},
		{"pairs within the limit, then an incomplete one", "\x02\x02nameX", PairLimits{5, 10}, nil, ""},
		{"second pair too long", "\x01\x01ab\x02\x02name", PairLimits{5, 10}, ErrPairsTooLong, "pair 2 at byte 4"},
		{"too many pairs", "\x00\x00\x00\x00\x00\x00", PairLimits{5, 2}, ErrTooManyPairs, "pair 3 at byte 4"},
		{"incomplete length", "\x01\x80\x00", PairLimits{5, 2}, ErrTruncatedPair, "pair 1 at byte 0"},
		{"incomplete value", "\x01\x02nv", PairLimits{5, 2}, ErrTruncatedPair, "pair 1 at byte 0"},
	} {
		if c.want == nil {
			c.want, c.message = ErrTruncatedPair, "pair 2 at byte 6"
		}
		for size := 1; size <= len(c.text); size++ {
			p := NewPairs(c.limits)
			_, err := feed(p, []byte(c.text), size)
			if !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.message) {
				t.Errorf("%s, chunks of %d bytes: got error %v, want %v with %q", c.name, size, err, c.want, c.message)
			}
			if again := p.Feed([]byte("\x00\x00"), nil); again != err {
				t.Errorf("%s: next call returned %v, want the same error", c.name, again)
			}
			if len(p.partial) > c.limits.Bytes+8 {
				t.Errorf("%s: %d bytes are buffered, more than the limit and the lengths", c.name, len(p.partial))
			}
		}
	}
}

// For any input, the chunk size changes neither the pairs nor the error, and decoded pairs are within the limits.
func FuzzPairs(f *testing.F) {
	f.Add(AppendPair(AppendPair(nil, "REQUEST_METHOD", "GET"), "LONG", strings.Repeat("x", 200)), uint8(1))
	f.Add([]byte("\xff\xff\xff\xff\x01x"), uint8(3))
	f.Add([]byte("\x80\x00\x00\x01\x80\x00\x00\x02Zzz\x00"), uint8(2))
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		limits := PairLimits{Bytes: 300, Count: 5}
		complete, completeErr := feed(NewPairs(limits), text, len(text)+1)
		chunked, chunkedErr := feed(NewPairs(limits), text, int(size)+1)
		if strings.Join(complete, "\x00") != strings.Join(chunked, "\x00") || fmt.Sprint(completeErr) != fmt.Sprint(chunkedErr) {
			t.Fatalf("%q, %v in one chunk; %q, %v in chunks of %d bytes", complete, completeErr, chunked, chunkedErr, int(size)+1)
		}
		sum := 0
		for _, s := range complete {
			sum += len(s) - 1
		}
		if sum > limits.Bytes || len(complete) > limits.Count {
			t.Fatalf("%d pairs of %d bytes exceed the limits", len(complete), sum)
		}
	})
}
