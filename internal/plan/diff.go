// Package plan plans changes of a running configuration: what differs, which effect each difference has on the
// running node, whether a plan may still be applied, and the order of the steps of an apply, whatever fails in
// between. It does no I/O.
package plan

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"damsontrestle/internal/config"
	"damsontrestle/internal/route"
)

// Action is the kind of a change to a resource or a field.
type Action string

// Actions.
const (
	Add    Action = "add"
	Modify Action = "change"
	Remove Action = "remove"
)

// Change is a change of one resource.
type Change struct {
	Kind   string  `json:"kind"` // node, class, listener, pool, route, federation, partner, export, quota
	Name   string  `json:"name"`
	Action Action  `json:"action"`
	Effect Effect  `json:"effect"` // the most disruptive of its fields' effects
	Fields []Field `json:"fields"`
}

// Field is a change of one field.
type Field struct {
	Path   string          `json:"path"` // within the resource, such as "connections.most"
	Action Action          `json:"action"`
	Old    json.RawMessage `json:"old,omitempty"`
	New    json.RawMessage `json:"new,omitempty"`
	Effect Effect          `json:"effect"`
}

// Diff returns the changes from one configuration to another, sorted by kind and name. It returns none if and
// only if both have the same fingerprint.
func Diff(old, next *config.Config) []Change {
	var out []Change
	before := resources(old)
	after := resources(next)
	keys := slices.Collect(maps.Keys(before))
	for k := range after {
		if before[k] == nil {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b resource) int {
		return cmp.Or(cmp.Compare(slices.Index(resourceKinds, a.kind), slices.Index(resourceKinds, b.kind)), cmp.Compare(a.name, b.name))
	})
	for _, k := range keys {
		if bytes.Equal(before[k], after[k]) {
			continue
		}
		if c := diffResource(k, before[k], after[k]); len(c.Fields) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// diffResource returns the change of one resource; before or after is nil if the resource does not exist there.
func diffResource(r resource, before, after json.RawMessage) Change {
	old := flattenResource(r.kind, before)
	next := flattenResource(r.kind, after)
	c := Change{Kind: r.kind, Name: r.name, Action: Modify, Effect: Live, Fields: diffFields(r.kind, old, next)}
	switch {
	case old == nil:
		c.Action = Add
		c.Effect = additionEffect(r.kind)
	case next == nil:
		c.Action = Remove
		c.Effect = removalEffect(r.kind)
	default:
		for _, f := range c.Fields {
			c.Effect = moreDisruptive(c.Effect, f.Effect)
		}
	}
	return c
}

// resource identifies a resource. The node has no name here, as its name is one of its fields.
type resource struct{ kind, name string }

// resourceKinds lists the kinds in the order in which Diff returns their changes.
var resourceKinds = []string{"node", "class", "listener", "pool", "route", "federation", "partner", "export", "quota"}

// resources returns all resources of a configuration in JSON.
func resources(c *config.Config) map[resource]json.RawMessage {
	out := map[resource]json.RawMessage{}
	if c == nil {
		return out
	}
	c = c.Canonical()
	put := func(kind, name string, v any) {
		text, err := json.Marshal(v)
		if err != nil { // a NaN, which the checks of a configuration reject
			text = json.RawMessage(fmt.Sprintf("%q", err))
		}
		out[resource{kind, name}] = text
	}
	put("node", "", c.Node)
	if c.Federation != nil {
		put("federation", "", c.Federation)
	}
	putAll(put, "class", c.Classes, func(v config.Class) string { return v.Name })
	putAll(put, "listener", c.Listeners, func(v config.Listener) string { return v.Name })
	putAll(put, "pool", c.Pools, func(v config.Pool) string { return v.Name })
	putAll(put, "route", c.Routes, func(v route.Route) string { return v.Name })
	putAll(put, "partner", c.Partners, func(v config.Partner) string { return v.Name })
	putAll(put, "export", c.Exports, func(v config.Export) string { return v.Name })
	putAll(put, "quota", c.Quotas, func(v config.Quota) string { return v.Name })
	return out
}

func putAll[T any](put func(kind, name string, v any), kind string, list []T, name func(T) string) {
	for _, v := range list {
		put(kind, name(v), v)
	}
}

// flattenResource returns a resource's fields by their paths, or nil if the resource does not exist.
func flattenResource(kind string, text json.RawMessage) map[string]json.RawMessage {
	if text == nil {
		return nil
	}
	out := map[string]json.RawMessage{}
	flatten(out, "", text)
	if kind != "node" && kind != "federation" {
		delete(out, "name")
	}
	return out
}

// flatten adds the fields of a JSON object to a map by their paths. The objects of a list are identified by their
// names; a list of plain values is one field.
func flatten(to map[string]json.RawMessage, path string, text json.RawMessage) {
	join := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(text, &object) == nil && object != nil {
		for name, v := range object {
			flatten(to, join(name), v)
		}
		if len(object) == 0 {
			to[path] = text
		}
		return
	}
	var list []map[string]json.RawMessage
	if json.Unmarshal(text, &list) == nil && len(list) > 0 {
		for _, o := range list {
			name := ""
			for _, key := range []string{"name", "pool"} {
				if raw := o[key]; raw != nil && json.Unmarshal(raw, &name) == nil {
					delete(o, key)
					break
				}
			}
			rest, err := json.Marshal(o)
			if err == nil {
				flatten(to, join(name), rest)
			}
		}
		return
	}
	to[path] = text
}

// diffFields returns the changes of a resource's fields, sorted by path; old or next is nil if the resource does
// not exist there.
func diffFields(kind string, old, next map[string]json.RawMessage) []Field {
	paths := slices.Collect(maps.Keys(old))
	for p := range next {
		if _, both := old[p]; !both {
			paths = append(paths, p)
		}
	}
	slices.Sort(paths)
	var out []Field
	for _, path := range paths {
		before, had := old[path]
		after, has := next[path]
		f := Field{Path: path, Action: Modify, Old: before, New: after, Effect: fieldEffect(kind, path)}
		switch {
		case !had:
			f.Action = Add
		case !has:
			f.Action = Remove
		case bytes.Equal(before, after):
			continue
		}
		switch {
		case old == nil:
			f.Effect = additionEffect(kind)
		case next == nil:
			f.Effect = removalEffect(kind)
		}
		out = append(out, f)
	}
	return out
}
