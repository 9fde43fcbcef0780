package routeexchange

import (
	"fmt"
	"slices"
	"strings"

	"damsontrestle/internal/balancer"
)

// ID identifies an exported route.
type ID struct {
	Origin string `cbor:"1,keyasint"` // partner that serves it
	Name   string `cbor:"2,keyasint"` // name of the origin's export
}

func (i ID) String() string { return i.Origin + "/" + i.Name }

// Advertisement is a route as one partner advertises it to another.
type Advertisement struct {
	ID         ID       `cbor:"1,keyasint"`
	Version    uint64   `cbor:"2,keyasint"` // of the origin's rule; a later rule has a higher version
	Class      string   `cbor:"3,keyasint"`
	Prefix     string   `cbor:"4,keyasint"` // path prefix, ends with a slash
	Cost       int      `cbor:"5,keyasint,omitempty"`
	Capacity   int      `cbor:"6,keyasint,omitempty"` // most concurrent requests of one neighbour; 0 if unspecified
	Rules      Rules    `cbor:"7,keyasint"`
	Path       []string `cbor:"8,keyasint"`           // partners on the way of a request: the advertising one first, the origin last
	Replicated bool     `cbor:"9,keyasint,omitempty"` // whether the advertising partner replicates such requests, so that it can be asked for the outcome of one
}

// Limits of an advertisement.
const (
	MaxHops       = 8
	maxTextBytes  = 256
	maxListLength = 256
)

// Check returns an error if an advertisement received from a neighbour is malformed.
func (o *Advertisement) Check(neighbour string) error {
	switch {
	case len(o.Path) == 0 || o.Path[0] != neighbour:
		return fmt.Errorf("advertisement %v: path does not begin with the sender %q", o.ID, neighbour)
	case o.Path[len(o.Path)-1] != o.ID.Origin:
		return fmt.Errorf("advertisement %v: path does not end with its origin", o.ID)
	case o.ID.Name == "" || len(o.ID.Name)+len(o.ID.Origin)+len(o.Class) > maxTextBytes || len(o.Prefix) > maxTextBytes:
		return fmt.Errorf("advertisement %v: name, class or prefix is empty or too long", o.ID)
	case o.Class == "" || !strings.HasPrefix(o.Prefix, "/"+o.Class+"/") || !strings.HasSuffix(o.Prefix, "/"):
		return fmt.Errorf("advertisement %v: prefix %q is not a path of class %q with a trailing slash", o.ID, o.Prefix, o.Class)
	case o.Rules.MaxHops < 1 || o.Rules.MaxHops > MaxHops || len(o.Path) > MaxHops:
		return fmt.Errorf("advertisement %v: hop limit %d and path length %d are not both within 1 to %d", o.ID, o.Rules.MaxHops, len(o.Path), MaxHops)
	case len(o.Rules.Partners) > maxListLength || len(o.Rules.Tenants) > maxListLength || len(o.Rules.ExcludedTenants) > maxListLength:
		return fmt.Errorf("advertisement %v: list has more than %d entries", o.ID, maxListLength)
	case o.Cost < 0 || o.Capacity < 0 || o.Rules.Effects&^AllEffects != 0:
		return fmt.Errorf("advertisement %v: cost, capacity or effects out of range", o.ID)
	}
	for i, p := range o.Path {
		if slices.Contains(o.Path[:i], p) {
			return fmt.Errorf("advertisement %v: path contains %q twice", o.ID, p)
		}
	}
	return nil
}

// Effects is a set of effects, as a bit mask.
type Effects uint8

// EffectsOf returns the set of the listed effects.
func EffectsOf(list ...balancer.Effect) (e Effects) {
	for _, v := range list {
		e |= 1 << uint(v)
	}
	return e
}

// AllEffects is the set of all effects.
var AllEffects = EffectsOf(balancer.Safe, balancer.Keyed, balancer.Unsafe)

// Has reports whether an effect is in the set.
func (e Effects) Has(v balancer.Effect) bool { return e&(1<<uint(v)) != 0 }
