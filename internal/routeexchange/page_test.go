package routeexchange

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/spectest"
)

const page = "../../docs/design/offers.md"

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// parseRoute reads an advertisement, with what this partner thinks of it.
func parseRoute(words string) (w Route, held bool, err error) {
	w.Advertisement = Advertisement{ID: ID{"p0", "wells"}, Version: 1, Class: "view", Prefix: "/view/wells/", Rules: Rules{MaxHops: 1, Effects: Of(balancer.Safe)}}
	w.Preference = 100
	for _, part := range strings.Split(words, ", ") {
		verb, rest, _ := strings.Cut(part, " ")
		switch verb {
		case "own":
			w.Own = true
		case "by":
			w.Path = strings.Fields(rest)
			w.ID.Origin = w.Path[len(w.Path)-1]
			if w.Rules.MaxHops < len(w.Path) && !strings.Contains(words, "hands") {
				w.Rules.MaxHops = len(w.Path)
			}
		case "to":
			switch rest {
			case "all":
				w.Rules.All = true
			case "nobody":
			default:
				w.Rules.To = strings.Fields(rest)
			}
		case "hands":
			_, err = fmt.Sscan(rest, &w.Rules.MaxHops)
		case "cost":
			_, err = fmt.Sscan(rest, &w.Cost)
		case "preference":
			_, err = fmt.Sscan(rest, &w.Preference)
		case "called":
			w.ID.Name = rest
		case "below":
			w.Prefix = rest
			w.Class, _, _ = strings.Cut(strings.TrimPrefix(rest, "/"), "/")
		case "ended":
			w.Rules.Until = noon.Unix()
		case "no":
			w.Rules.NoTransit = true
		case "for":
			w.Rules.Tenants = strings.Fields(rest)
		case "but":
			w.Rules.Excluded = strings.Fields(strings.TrimPrefix(rest, "not "))
		case "held":
			held = true
		default:
			err = fmt.Errorf("nobody plays %q", part)
		}
		if err != nil {
			return w, held, err
		}
	}
	return w, held, nil
}

// parseRoutes are the advertisements of a row that compares.
func parseRoutes(t *testing.T, r spectest.Row) (one, other Route, held bool) {
	t.Helper()
	one, _, errOne := parseRoute(r.At("one"))
	other, held, err := parseRoute(r.At("other"))
	if errOne != nil || err != nil {
		t.Fatalf("%s:%d: %v, %v", page, r.Line, errOne, err)
	}
	return one, other, held
}

func TestExportRules(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "May an offer be told to a partner") {
		w, _, err := parseRoute(r.At("offer"))
		if err != nil {
			t.Errorf("%s:%d: %v", page, r.Line, err)
			continue
		}
		p := Transit{Cost: 1, Replicated: func(string) bool { return false }}
		if to, ok := strings.CutPrefix(r.At("passing on"), "to "); ok {
			p.To = strings.Fields(to)
		}
		o, got := MayExport(w.Advertisement, "p0", r.At("to"), w.Own, p, noon)
		if got == "" {
			got = "told by " + strings.Join(o.Path, " ")
			if err := o.Check("p0"); err != nil {
				t.Errorf("%s:%d: what is told: %v", page, r.Line, err)
			}
		}
		if got != r.At("outcome") {
			t.Errorf("%s:%d: %s", page, r.Line, got)
		}
	}
}

func TestImportRules(t *testing.T) {
	rules := Import{Accept: []string{"/view/"}, Deny: []string{"/view/secret/"}, MaxRoutes: 2}
	for _, r := range spectest.Rows(t, page, "Is an offer of a neighbour taken") {
		w, _, err := parseRoute(r.At("offer"))
		held := 0
		if _, bad := fmt.Sscan(r.At("others held"), &held); err != nil || bad != nil {
			t.Errorf("%s:%d: %v, %v", page, r.Line, err, bad)
			continue
		}
		got := MayImport(&w.Advertisement, "p0", rules, held, noon)
		if got == "" {
			got = "taken"
		}
		if got != r.At("outcome") {
			t.Errorf("%s:%d: %s", page, r.Line, got)
		}
	}
}

func TestRoutePreference(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "Which of two is better") {
		a, b, held := parseRoutes(t, r)
		want := map[string]int{"one": -1, "other": 1}[r.At("outcome")]
		if got, back := Better(&a, &b, held), Better(&b, &a, held); got != want || back != -want {
			t.Errorf("%s:%d: %d, and %d the other way round", page, r.Line, got, back)
		}
	}
}

func TestOwnerEnforcesRules(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "Is a call taken by its owner") {
		w, _, err := parseRoute(r.At("rules"))
		if err != nil {
			t.Errorf("%s:%d: %v", page, r.Line, err)
			continue
		}
		c := Request{Class: "view", Path: "/view/wells/12", Effect: balancer.Safe}
		for _, part := range strings.Split(r.At("call"), ", ") {
			verb, rest, _ := strings.Cut(part, " ")
			switch verb {
			case "from":
				first, last, passed := strings.Cut(rest, " by ")
				if first != "nobody" {
					c.Via = append(c.Via, first)
				}
				if passed {
					c.Via = append(c.Via, last)
				}
			case "of":
				c.Tenant = rest
			case "to":
				c.Path = rest
			case "unsafe":
				c.Effect = balancer.Unsafe
			default:
				t.Errorf("%s:%d: nobody plays %q", page, r.Line, part)
			}
		}
		got := MayServe(&w.Advertisement, &c, "p0", noon)
		if got == "" {
			got = "taken"
		}
		if got != r.At("outcome") {
			t.Errorf("%s:%d: %s", page, r.Line, got)
		}
	}
}

// formatRules are rules as the page has them.
func formatRules(r Rules) string {
	to := "to " + strings.Join(r.To, " ")
	if r.All {
		to = "to all"
	} else if len(r.To) == 0 {
		to = "to nobody"
	}
	out := []string{to}
	if r.MaxHops > 1 {
		out = append(out, fmt.Sprint("hands ", r.MaxHops))
	}
	if r.NoTransit {
		out = append(out, "no transit")
	}
	if len(r.Tenants) > 0 {
		out = append(out, "for "+strings.Join(r.Tenants, " "))
	}
	if len(r.Excluded) > 0 {
		out = append(out, "but not "+strings.Join(r.Excluded, " "))
	}
	return strings.Join(out, ", ")
}

func TestNarrowing(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "What narrowing makes of two rules") {
		a, b, _ := parseRoutes(t, r)
		for _, got := range []Rules{Narrow(a.Rules, b.Rules), Narrow(b.Rules, a.Rules)} {
			slices.Sort(got.To)
			if formatRules(got) != r.At("outcome") {
				t.Errorf("%s:%d: %s", page, r.Line, formatRules(got))
			}
		}
	}
}
