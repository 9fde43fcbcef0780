package zonestate

import (
	"cmp"
	"math"
	"slices"
)

// combine aggregates lists of entries, using the operation of each kind. It returns at most MaxEntries entries, ordered by kind
// and subject, and the number of entries that it dropped. It drops sums before maxima and maxima before minima, within an
// operation the highest kinds first, and within a kind the lowest absolute values.
func combine(lists ...[]Entry) (out []Entry, dropped int) {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareSubjects)
	for _, e := range all {
		if last := len(out) - 1; last >= 0 && compareSubjects(out[last], e) == 0 {
			out[last].Value = combineValues(e.Kind, out[last].Value, e.Value)
			continue
		}
		out = append(out, e)
	}
	// Readers interpret a missing sum as zero.
	out = slices.DeleteFunc(out, func(e Entry) bool { return e.Value == 0 && e.Kind&opBits == opSum })
	if len(out) <= MaxEntries {
		return out, 0
	}
	dropped = len(out) - MaxEntries
	slices.SortStableFunc(out, compareImportance)
	out = out[:MaxEntries]
	slices.SortFunc(out, compareSubjects)
	return out, dropped
}

func combineValues(k Kind, a, b float64) float64 {
	switch k & opBits {
	case opMax:
		return max(a, b)
	case opMin:
		return min(a, b)
	default:
		return a + b
	}
}

func compareSubjects(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
}

// compareImportance orders the entries to keep first if they exceed the size of a row.
func compareImportance(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(b.Kind&opBits, a.Kind&opBits),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(math.Abs(b.Value), math.Abs(a.Value)),
	)
}
