package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
)

const (
	maxValue  = 1e12 // of times in milliseconds, sizes and loads
	maxQuoted = 40   // bytes of a text that an error shows
)

// fields reads the parts of one line and keeps the first error.
type fields struct {
	name  string
	parts []string
	err   error
}

// fail notes that value i is wrong, unless an error stands already.
func (f *fields) fail(i int, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: value %d %s", f.name, i+1, why)
	}
}

// opt returns a value, or "" where it is absent.
func (f *fields) optText(i int) string {
	if i >= len(f.parts) || f.parts[i] == "-" {
		return ""
	}
	return f.parts[i]
}

// text returns a value that must be there.
func (f *fields) text(i int) string {
	s := f.optText(i)
	if s == "" {
		f.fail(i, "is missing")
	}
	return s
}

// num reads an integer.
func (f *fields) integer(i int) int {
	v, err := strconv.Atoi(f.text(i))
	if err != nil {
		f.fail(i, "is no integer")
	}
	return v
}

// optNum reads an integer; 0 where it is absent.
func (f *fields) optInteger(i int) int {
	if f.optText(i) == "" {
		return 0
	}
	return f.integer(i)
}

// size reads how much a server can carry; absent means not told.
func (f *fields) size(i int) float64 {
	if f.optText(i) == "" {
		return 0
	}
	v, err := strconv.ParseFloat(f.optText(i), 64)
	if err != nil || !(v >= 0 && v <= maxValue) {
		f.fail(i, "is no size")
	}
	return v
}

// seed reads an integer of 64 bits, signed or not.
func (f *fields) seed(i int) uint64 {
	s := f.text(i)
	if v, err := strconv.ParseUint(s, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(i, "is no integer")
	}
	return uint64(v)
}

// ms reads a time in milliseconds.
func (f *fields) duration(i int) time.Duration {
	v, err := strconv.ParseFloat(f.text(i), 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > maxValue {
		f.fail(i, "is no time in milliseconds")
		return 0
	}
	return milliseconds(v)
}

// optMS reads a time in milliseconds; 0 where it is absent.
func (f *fields) optDuration(i int) time.Duration {
	if f.optText(i) == "" {
		return 0
	}
	return f.duration(i)
}

// results by their names on the wire.
var results = map[string]balancer.Result{
	"success": balancer.Success, "failure": balancer.Failure,
	"overloaded": balancer.Overloaded, "timed_out": balancer.TimedOut,
	"unreachable": balancer.Unreachable, "broken": balancer.ConnectionLost,
	"withdrawn": balancer.Cancelled, "void": balancer.NotStarted,
}

// result reads how an attempt ended.
func (f *fields) result(i int) balancer.Result {
	result, ok := results[f.text(i)]
	if !ok {
		f.fail(i, "is no result")
	}
	return result
}

// load reads name:value pairs; names it does not know are ignored.
func (f *fields) load(i int) *balancer.Load {
	s := f.optText(i)
	if s == "" {
		return nil
	}
	load := &balancer.Load{Busy: -1, Service: -1}
	for _, pair := range strings.Split(s, ",") {
		name, text, _ := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(v) || math.Abs(v) > maxValue {
			f.fail(i, "is no load report")
			return nil
		}
		switch name {
		case "busy_reqs":
			load.Busy = v
		case "svc_ms":
			load.Service = milliseconds(v)
		}
	}
	return load
}

// quote quotes a text for an error, shortened to maxQuoted bytes.
func quote(s string) string {
	if len(s) > maxQuoted {
		s = s[:maxQuoted] + "..."
	}
	return strconv.Quote(s)
}

// fromMS returns a time that the wire gives in milliseconds.
func milliseconds(v float64) time.Duration {
	return time.Duration(math.Round(v * float64(time.Millisecond)))
}
