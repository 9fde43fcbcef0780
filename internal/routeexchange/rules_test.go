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

// parseRoute parses a cell of the design page that describes a route.
func parseRoute(spec string) (route Route, ignorePreference bool, err error) {
	route.Advertisement = Advertisement{ID: ID{"p0", "wells"}, Version: 1, Class: "view", Prefix: "/view/wells/", Rules: Rules{MaxHops: 1, Effects: EffectsOf(balancer.Safe)}}
	route.Preference = 100
	for _, part := range strings.Split(spec, ", ") {
		keyword, rest, _ := strings.Cut(part, " ")
		switch keyword {
		case "own":
			route.Own = true
		case "by":
			route.Path = strings.Fields(rest)
			route.ID.Origin = route.Path[len(route.Path)-1]
			if route.Rules.MaxHops < len(route.Path) && !strings.Contains(spec, "hands") {
				route.Rules.MaxHops = len(route.Path)
			}
		case "to":
			switch rest {
			case "all":
				route.Rules.AnyPartner = true
			case "nobody":
			default:
				route.Rules.Partners = strings.Fields(rest)
			}
		case "hands":
			_, err = fmt.Sscan(rest, &route.Rules.MaxHops)
		case "cost":
			_, err = fmt.Sscan(rest, &route.Cost)
		case "preference":
			_, err = fmt.Sscan(rest, &route.Preference)
		case "called":
			route.ID.Name = rest
		case "below":
			route.Prefix = rest
			route.Class, _, _ = strings.Cut(strings.TrimPrefix(rest, "/"), "/")
		case "ended":
			route.Rules.Until = noon.Unix()
		case "no":
			route.Rules.NoTransit = true
		case "for":
			route.Rules.Tenants = strings.Fields(rest)
		case "but":
			route.Rules.ExcludedTenants = strings.Fields(strings.TrimPrefix(rest, "not "))
		case "held":
			ignorePreference = true
		default:
			err = fmt.Errorf("unknown keyword in %q", part)
		}
		if err != nil {
			return route, ignorePreference, err
		}
	}
	return route, ignorePreference, nil
}

// parseRoutes parses both routes of a table row.
func parseRoutes(t *testing.T, r spectest.Row) (one, other Route, ignorePreference bool) {
	t.Helper()
	one, _, errOne := parseRoute(r.At("one"))
	other, ignorePreference, err := parseRoute(r.At("other"))
	if errOne != nil || err != nil {
		t.Fatalf("%s:%d: %v, %v", page, r.Line, errOne, err)
	}
	return one, other, ignorePreference
}

func TestExportRules(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "May an offer be told to a partner") {
		route, _, err := parseRoute(r.At("offer"))
		if err != nil {
			t.Errorf("%s:%d: %v", page, r.Line, err)
			continue
		}
		transit := Transit{Cost: 1, Replicated: func(string) bool { return false }}
		if to, ok := strings.CutPrefix(r.At("passing on"), "to "); ok {
			transit.To = strings.Fields(to)
		}
		exported, got := CheckExport(route.Advertisement, "p0", r.At("to"), route.Own, transit, noon)
		if got == "" {
			got = "told by " + strings.Join(exported.Path, " ")
			if err := exported.Check("p0"); err != nil {
				t.Errorf("%s:%d: exported advertisement: %v", page, r.Line, err)
			}
		}
		if got != r.At("outcome") {
			t.Errorf("%s:%d: outcome %q", page, r.Line, got)
		}
	}
}

func TestImportRules(t *testing.T) {
	rules := Import{Accept: []string{"/view/"}, Deny: []string{"/view/secret/"}, MaxRoutes: 2}
	for _, r := range spectest.Rows(t, page, "Is an offer of a neighbour taken") {
		route, _, err := parseRoute(r.At("offer"))
		held := 0
		if _, bad := fmt.Sscan(r.At("others held"), &held); err != nil || bad != nil {
			t.Errorf("%s:%d: %v, %v", page, r.Line, err, bad)
			continue
		}
		got := CheckImport(&route.Advertisement, "p0", rules, held, noon)
		if got == "" {
			got = "taken"
		}
		if got != r.At("outcome") {
			t.Errorf("%s:%d: outcome %q", page, r.Line, got)
		}
	}
}

func TestRoutePreference(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "Which of two is better") {
		a, b, ignorePreference := parseRoutes(t, r)
		want := map[string]int{"one": -1, "other": 1}[r.At("outcome")]
		if got, reversed := Compare(&a, &b, ignorePreference), Compare(&b, &a, ignorePreference); got != want || reversed != -want {
			t.Errorf("%s:%d: Compare returned %d, and %d with swapped arguments", page, r.Line, got, reversed)
		}
	}
}

func TestOwnerEnforcesRules(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "Is a call taken by its owner") {
		route, _, err := parseRoute(r.At("rules"))
		if err != nil {
			t.Errorf("%s:%d: %v", page, r.Line, err)
			continue
		}
		req := Request{Class: "view", Path: "/view/wells/12", Effect: balancer.Safe}
		for _, part := range strings.Split(r.At("call"), ", ") {
			keyword, rest, _ := strings.Cut(part, " ")
			switch keyword {
			case "from":
				first, last, passed := strings.Cut(rest, " by ")
				if first != "nobody" {
					req.Via = append(req.Via, first)
				}
				if passed {
					req.Via = append(req.Via, last)
				}
			case "of":
				req.Tenant = rest
			case "to":
				req.Path = rest
			case "unsafe":
				req.Effect = balancer.Unsafe
			default:
				t.Errorf("%s:%d: unknown keyword in %q", page, r.Line, part)
			}
		}
		got := CheckServe(&route.Advertisement, &req, "p0", noon)
		if got == "" {
			got = "taken"
		}
		if got != r.At("outcome") {
			t.Errorf("%s:%d: outcome %q", page, r.Line, got)
		}
	}
}

// formatRules formats rules as in the design page.
func formatRules(r Rules) string {
	to := "to " + strings.Join(r.Partners, " ")
	if r.AnyPartner {
		to = "to all"
	} else if len(r.Partners) == 0 {
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
	if len(r.ExcludedTenants) > 0 {
		out = append(out, "but not "+strings.Join(r.ExcludedTenants, " "))
	}
	return strings.Join(out, ", ")
}

func TestNarrowing(t *testing.T) {
	for _, r := range spectest.Rows(t, page, "What narrowing makes of two rules") {
		a, b, _ := parseRoutes(t, r)
		for _, got := range []Rules{Narrow(a.Rules, b.Rules), Narrow(b.Rules, a.Rules)} {
			slices.Sort(got.Partners)
			if formatRules(got) != r.At("outcome") {
				t.Errorf("%s:%d: outcome %q", page, r.Line, formatRules(got))
			}
		}
	}
}
