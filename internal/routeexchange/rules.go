// Package routeexchange merges the route tables of partners, each under its owner's export rules.
//
// A partner offers what it serves: a class and a path below which its servers answer, with rules on who may have the advertisement, who
// may pass it on, and for which calls it holds. Three tables stand for each neighbour, as in BGP (RFC 4271): as received, as
// chosen, as sent.
//
// What it promises:
//
//   - Rules only narrow on the way: an advertisement that is passed on has rules at least as strict as those that it came with, and a
//     path that is longer by the one who passes it on (Narrow, MayExport).
//   - No path has a partner twice, so that no request goes round in a circle (MayImport, MayServe).
//   - Where two gateways hold the same offers by the same file, they choose alike (Better is a total order), whatever order
//     the advertisements came in.
//   - The owner's rule of now is asked once more when a request arrives (MayServe): one that was tightened holds at that gateway
//     from the instant of the apply, whatever others believe. Such a refusal proves that the request has not run.
//   - What one partner sends beyond its bound, or what is malformed, is refused and counted, and harms no other offer.
//   - Preferences that have no stable outcome end in a hold: an advertisement whose best path changed more than maxFlaps times in
//     flapWindow is chosen by the number of hands alone for a while, which always settles (docs/design/offers.md).
//
// Rules are this file's plain functions; the page has them as tables, and a test plays each row.
package routeexchange

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
)

// Effects are a set of effects.
type Effects uint8

// Of is the set of some effects.
func Of(list ...balancer.Effect) (e Effects) {
	for _, v := range list {
		e |= 1 << uint(v)
	}
	return e
}

// AllEffects are all.
var AllEffects = Of(balancer.Safe, balancer.Keyed, balancer.Unsafe)

// Has says that an effect is in the set.
func (e Effects) Has(v balancer.Effect) bool { return e&(1<<uint(v)) != 0 }

// Rules are what the owner of an advertisement allows, narrowed by whoever passed it on.
type Rules struct {
	All       bool     `cbor:"1,keyasint,omitempty"` // any partner may have it; else
	To        []string `cbor:"2,keyasint,omitempty"` // these
	NoTransit bool     `cbor:"3,keyasint,omitempty"` // who gets it may not pass it on
	MaxHops   int      `cbor:"4,keyasint"`           // partners that a request may come through at most, the first client's among them
	Effects   Effects  `cbor:"5,keyasint"`           // of the requests that may come
	Tenants   []string `cbor:"6,keyasint,omitempty"` // only these; empty: all
	Excluded  []string `cbor:"7,keyasint,omitempty"` // but not these
	Until     int64    `cbor:"8,keyasint,omitempty"` // Unix seconds; 0: for good
}

// ID tells offers apart.
type ID struct {
	Origin string `cbor:"1,keyasint"` // the partner that serves it
	Name   string `cbor:"2,keyasint"` // of its export
}

func (i ID) String() string { return i.Origin + "/" + i.Name }

// Advertisement is one advertisement as one partner tells it to another.
type Advertisement struct {
	ID         ID       `cbor:"1,keyasint"`
	Version    uint64   `cbor:"2,keyasint"` // of the origin's rule: later ones are higher
	Class      string   `cbor:"3,keyasint"`
	Prefix     string   `cbor:"4,keyasint"` // a path, with its last slash
	Cost       int      `cbor:"5,keyasint,omitempty"`
	Capacity   int      `cbor:"6,keyasint,omitempty"` // requests at once that one neighbour may have there; 0: not said
	Rules      Rules    `cbor:"7,keyasint"`
	Path       []string `cbor:"8,keyasint"`           // that a request takes: the one who tells of it first, the origin last
	Replicated bool     `cbor:"9,keyasint,omitempty"` // whoever tells of it keeps such requests replicated: it can be asked what became of one
}

// Bounds of an advertisement.
const (
	MaxHops   = 8
	maxText   = 256
	maxListed = 256
)

// Check says what is malformed in an advertisement as it came from a neighbour.
func (o *Advertisement) Check(from string) error {
	switch {
	case len(o.Path) == 0 || o.Path[0] != from:
		return fmt.Errorf("offer %v: its path does not begin with %q, who tells of it", o.ID, from)
	case o.Path[len(o.Path)-1] != o.ID.Origin:
		return fmt.Errorf("offer %v: its path does not end with its origin", o.ID)
	case o.ID.Name == "" || len(o.ID.Name)+len(o.ID.Origin)+len(o.Class) > maxText || len(o.Prefix) > maxText:
		return fmt.Errorf("offer %v: a name or path is empty or too long", o.ID)
	case o.Class == "" || !strings.HasPrefix(o.Prefix, "/"+o.Class+"/") || !strings.HasSuffix(o.Prefix, "/"):
		return fmt.Errorf("offer %v: the prefix %q is no path of the class %q with a slash at its end", o.ID, o.Prefix, o.Class)
	case o.Rules.MaxHops < 1 || o.Rules.MaxHops > MaxHops || len(o.Path) > MaxHops:
		return fmt.Errorf("offer %v: %d hands on a path of %d; allowed: 1 to %d", o.ID, o.Rules.MaxHops, len(o.Path), MaxHops)
	case len(o.Rules.To) > maxListed || len(o.Rules.Tenants) > maxListed || len(o.Rules.Excluded) > maxListed:
		return fmt.Errorf("offer %v: a list of more than %d", o.ID, maxListed)
	case o.Cost < 0 || o.Capacity < 0 || o.Rules.Effects&^AllEffects != 0:
		return fmt.Errorf("offer %v: cost, room or effects are out of range", o.ID)
	}
	for i, p := range o.Path {
		if slices.Contains(o.Path[:i], p) {
			return fmt.Errorf("offer %v: %q is twice in its path", o.ID, p)
		}
	}
	return nil
}

// Narrow are rules at least as strict as both.
func Narrow(a, b Rules) Rules {
	out := Rules{All: a.All && b.All, NoTransit: a.NoTransit || b.NoTransit, MaxHops: min(a.MaxHops, b.MaxHops), Effects: a.Effects & b.Effects,
		Until: cmp.Or(min(a.Until, b.Until), max(a.Until, b.Until))}
	switch {
	case a.All:
		out.To = slices.Clone(b.To)
	case b.All:
		out.To = slices.Clone(a.To)
	default:
		out.To = intersection(a.To, b.To)
	}
	switch {
	case len(a.Tenants) == 0:
		out.Tenants = slices.Clone(b.Tenants)
	case len(b.Tenants) == 0:
		out.Tenants = slices.Clone(a.Tenants)
	default:
		if out.Tenants = intersection(a.Tenants, b.Tenants); len(out.Tenants) == 0 {
			out.Effects = 0 // for nobody: an empty list would mean all
		}
	}
	out.Excluded = slices.Compact(slices.Sorted(slices.Values(slices.Concat(a.Excluded, b.Excluded))))
	return out
}

func intersection(a, b []string) (out []string) {
	for _, s := range a {
		if slices.Contains(b, s) {
			out = append(out, s)
		}
	}
	return out
}

// permits says that a partner may have an advertisement at a time.
func (r *Rules) permits(partner string, now time.Time) bool {
	return (r.All || slices.Contains(r.To, partner)) && (r.Until == 0 || now.Unix() < r.Until)
}

// Transit is what this partner allows of the advertisements that it has from a neighbour, beyond their own rules.
type Transit struct {
	To         []string                // neighbours that it passes them on to; empty: nobody
	Cost       int                     // that it adds
	Replicated func(class string) bool // whether it keeps requests of a class replicated itself
}

// MayExport is an advertisement as it is told to a neighbour, or why it is not. own: it is this partner's; else p is what this
// partner allows of its neighbour's offers.
func MayExport(o Advertisement, self, to string, own bool, p Transit, now time.Time) (Advertisement, string) {
	switch {
	case to == self || slices.Contains(o.Path, to):
		return Advertisement{}, "it goes through there already"
	case !o.Rules.permits(to, now):
		return Advertisement{}, "its rules do not name that partner, or have ended"
	case own:
		o.Path = []string{self}
		return o, ""
	case o.Rules.NoTransit:
		return Advertisement{}, "it may not be passed on"
	case !slices.Contains(p.To, to):
		return Advertisement{}, "offers from there are not passed on to that partner"
	case len(o.Path)+1 > o.Rules.MaxHops:
		return Advertisement{}, "a call would come through too many hands"
	}
	o.Path = slices.Concat([]string{self}, o.Path)
	o.Cost += p.Cost
	o.Replicated = o.Replicated && p.Replicated(o.Class)
	return o, ""
}

// Import is what this partner takes of a neighbour's offers.
type Import struct {
	Accept     []string // prefixes below which offers must lie; empty: none is taken
	Deny       []string // and below which they must not
	Preference int      // higher is better
	MaxRoutes  int      // offers
}

// MayImport says why an advertisement of a neighbour is not taken; empty: it is. held is how many others of its are.
func MayImport(o *Advertisement, self string, i Import, held int, now time.Time) string {
	below := func(list []string) bool {
		return slices.ContainsFunc(list, func(p string) bool { return strings.HasPrefix(o.Prefix, p) })
	}
	switch {
	case o.ID.Origin == self || slices.Contains(o.Path, self):
		return "it goes through here"
	case !o.Rules.permits(self, now):
		return "its rules do not name this partner, or have ended"
	case len(o.Path) > o.Rules.MaxHops:
		return "a call would come through too many hands"
	case !below(i.Accept):
		return "nothing below that path is accepted from there"
	case below(i.Deny):
		return "it is denied here"
	case held >= i.MaxRoutes:
		return "there are too many from there"
	}
	return ""
}

// Route is an advertisement as a neighbour tells it, with what this partner thinks of that neighbour.
type Route struct {
	Advertisement
	Preference int
	Own        bool // this partner serves it
}

// Better orders two routes of serving requests below one prefix: negative if a is the better one. It is a total order. held:
// preferences do not count, for they have no stable outcome.
func Better(a, b *Route, held bool) int {
	if a.Own != b.Own {
		if a.Own {
			return -1
		}
		return 1
	}
	if !held && a.Preference != b.Preference {
		return cmp.Compare(b.Preference, a.Preference)
	}
	return cmp.Or(cmp.Compare(len(a.Path), len(b.Path)), cmp.Compare(a.Cost, b.Cost), slices.Compare(a.Path, b.Path),
		cmp.Compare(a.ID.Origin, b.ID.Origin), cmp.Compare(a.ID.Name, b.ID.Name))
}

// Request is what rules look at.
type Request struct {
	Class  string
	Path   string // of the target, in its plain form
	Tenant string
	Effect balancer.Effect
	Via    []string // partners that it came through, the first client's first; empty: from a client of this partner's
}

// allows says why a request is not one of those that the rules are for; empty: it is.
func (r *Rules) allows(c *Request, now time.Time) string {
	switch {
	case r.Until != 0 && now.Unix() >= r.Until:
		return "the offer has ended"
	case !r.Effects.Has(c.Effect):
		return "calls of this effect are not taken"
	case len(r.Tenants) > 0 && !slices.Contains(r.Tenants, c.Tenant):
		return "the tenant is not one of those that it is for"
	case slices.Contains(r.Excluded, c.Tenant):
		return "the tenant is excluded"
	}
	return ""
}

// Allows says whether a request may be sent by an advertisement, before it is.
func (w *Route) Allows(c *Request, now time.Time) bool {
	if w.Own {
		return true
	}
	for _, p := range c.Via {
		if slices.Contains(w.Path, p) {
			return false // it would go round
		}
	}
	// It came through len(Came) partners' hands, this one's are next, and all on the path but the last pass it on.
	return len(c.Via)+len(w.Path) <= w.Rules.MaxHops && w.Rules.allows(c, now) == ""
}

// MayServe says why a request that came through partners is not taken by this partner's own export; empty: it is. The rules are
// those of now, whatever whoever sent it had heard.
func MayServe(o *Advertisement, c *Request, self string, now time.Time) string {
	switch {
	case c.Class != o.Class || !strings.HasPrefix(c.Path, o.Prefix):
		return "the call is not of what is offered"
	case len(c.Via) == 0 || slices.Contains(c.Via, self):
		return "it goes round"
	case len(c.Via) > o.Rules.MaxHops:
		return "it came through too many hands"
	case len(c.Via) > 1 && o.Rules.NoTransit:
		return "it was passed on"
	}
	for _, p := range c.Via {
		if !o.Rules.All && !slices.Contains(o.Rules.To, p) {
			return "partner " + p + " may not have the offer"
		}
	}
	return o.Rules.allows(c, now)
}
