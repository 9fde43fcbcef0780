package routeexchange

import (
	"fmt"
	"slices"
	"strings"

	"damsontrestle/internal/balancer"
)

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
	MaxHops       = 8
	maxTextBytes  = 256
	maxListLength = 256
)

// Check says what is malformed in an advertisement as it came from a neighbour.
func (o *Advertisement) Check(neighbour string) error {
	switch {
	case len(o.Path) == 0 || o.Path[0] != neighbour:
		return fmt.Errorf("offer %v: its path does not begin with %q, who tells of it", o.ID, neighbour)
	case o.Path[len(o.Path)-1] != o.ID.Origin:
		return fmt.Errorf("offer %v: its path does not end with its origin", o.ID)
	case o.ID.Name == "" || len(o.ID.Name)+len(o.ID.Origin)+len(o.Class) > maxTextBytes || len(o.Prefix) > maxTextBytes:
		return fmt.Errorf("offer %v: a name or path is empty or too long", o.ID)
	case o.Class == "" || !strings.HasPrefix(o.Prefix, "/"+o.Class+"/") || !strings.HasSuffix(o.Prefix, "/"):
		return fmt.Errorf("offer %v: the prefix %q is no path of the class %q with a slash at its end", o.ID, o.Prefix, o.Class)
	case o.Rules.MaxHops < 1 || o.Rules.MaxHops > MaxHops || len(o.Path) > MaxHops:
		return fmt.Errorf("offer %v: %d hands on a path of %d; allowed: 1 to %d", o.ID, o.Rules.MaxHops, len(o.Path), MaxHops)
	case len(o.Rules.Partners) > maxListLength || len(o.Rules.Tenants) > maxListLength || len(o.Rules.ExcludedTenants) > maxListLength:
		return fmt.Errorf("offer %v: a list of more than %d", o.ID, maxListLength)
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

// Effects are a set of effects.
type Effects uint8

// EffectsOf is the set of some effects.
func EffectsOf(list ...balancer.Effect) (e Effects) {
	for _, v := range list {
		e |= 1 << uint(v)
	}
	return e
}

// AllEffects are all.
var AllEffects = EffectsOf(balancer.Safe, balancer.Keyed, balancer.Unsafe)

// Has says that an effect is in the set.
func (e Effects) Has(v balancer.Effect) bool { return e&(1<<uint(v)) != 0 }
