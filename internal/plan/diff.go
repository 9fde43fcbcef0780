// Package plan decides about changes of a running configuration: what differs, what each difference does to
// what runs, whether a plan may still be applied, and in which order the steps of an apply come, whatever
// happens meanwhile. It does no I/O.
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

// Action is what becomes of a resource or a field.
type Action string

// Actions.
const (
	Add    Action = "add"
	Modify Action = "change"
	Remove Action = "remove"
)

// Change is what becomes of one resource.
type Change struct {
	Kind   string  `json:"kind"` // node, class, listener, pool, route, federation, partner, export, quota
	Name   string  `json:"name"`
	Action Action  `json:"action"`
	Effect Effect  `json:"effect"` // the hardest among its fields'
	Fields []Field `json:"fields"`
}

// Field is what becomes of one field.
type Field struct {
	Path   string          `json:"path"` // within the resource, as in "connections.most"
	Action Action          `json:"action"`
	Old    json.RawMessage `json:"old,omitempty"`
	New    json.RawMessage `json:"new,omitempty"`
	Effect Effect          `json:"effect"`
}

// Diff tells what changes from one configuration to another, by kind and name. It is empty exactly if both
// have the same fingerprint.
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

// diffResource tells what changes of one resource; nil: it is not there.
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

// resource names a resource. A node has no name here: its name is a field of it.
type resource struct{ kind, name string }

var resourceKinds = []string{"node", "class", "listener", "pool", "route", "federation", "partner", "export", "quota"}

// resources are all resources of a configuration.
func resources(c *config.Config) map[resource]json.RawMessage {
	out := map[resource]json.RawMessage{}
	if c == nil {
		return out
	}
	c = c.Canonical()
	put := func(kind, name string, v any) {
		text, err := json.Marshal(v)
		if err != nil { // a NaN, which no check lets pass
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

// flat are a resource's fields by their paths; nil for one that is not there.
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

// flatten notes the fields of a JSON object by their paths. Lists of objects are taken by their names, lists of
// plain values stay one field.
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

// fields tells what changes of a resource's fields, in the order of their paths; nil: the resource is not there.
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
