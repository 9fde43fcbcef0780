package zonestate

import (
	"cmp"
	"math"
	"slices"
)

// combine puts entries together: each kind by its own rule. cut counts what there was no room for: of a page too long, the
// rates of kinds that come later, and of one kind the least, go.
func combine(lists ...[]Entry) (out []Entry, cut int) {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	for _, e := range all {
		if n := len(out) - 1; n >= 0 && out[n].Kind == e.Kind && out[n].Subject == e.Subject {
			switch o := &out[n]; e.Kind & opBits {
			case opMax:
				o.Value = max(o.Value, e.Value)
			case opMin:
				o.Value = min(o.Value, e.Value)
			default:
				o.Value += e.Value
			}
			continue
		}
		out = append(out, e)
	}
	out = slices.DeleteFunc(out, func(e Entry) bool { return e.Value == 0 && e.Kind&opBits == opSum }) // nought is what is not said
	if cut = len(out) - MostEntries; cut <= 0 {
		return out, 0
	}
	slices.SortStableFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Kind&opBits, a.Kind&opBits), cmp.Compare(a.Kind, b.Kind), cmp.Compare(math.Abs(b.Value), math.Abs(a.Value)))
	})
	out = out[:MostEntries]
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return out, cut
}
