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
	"strings"

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

// Effect is what a change does to a running node.
type Effect string

// Effects, from the mildest.
const (
	Live           Effect = "taken over live"
	NewConnections Effect = "new connections only"
	Drains         Effect = "drains"
	NeedsRestart   Effect = "needs a restart"
)

var effects = []Effect{Live, NewConnections, Drains, NeedsRestart}

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
	before, after := resources(old), resources(next)
	keys := slices.Collect(maps.Keys(before))
	for k := range after {
		if before[k] == nil {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b resource) int {
		return cmp.Or(cmp.Compare(slices.Index(kinds, a.kind), slices.Index(kinds, b.kind)), cmp.Compare(a.name, b.name))
	})
	for _, k := range keys {
		if bytes.Equal(before[k], after[k]) {
			continue
		}
		was, is := flat(k.kind, before[k]), flat(k.kind, after[k])
		c := Change{Kind: k.kind, Name: k.name, Action: Modify, Effect: Live}
		switch {
		case was == nil:
			c.Action, c.Effect = Add, addition(k.kind)
		case is == nil:
			c.Action = Remove
			c.Effect = removal(k.kind)
		}
		c.Fields = fields(k.kind, was, is)
		for _, f := range c.Fields {
			if slices.Index(effects, f.Effect) > slices.Index(effects, c.Effect) && c.Action == Modify {
				c.Effect = f.Effect
			}
		}
		if len(c.Fields) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// resource names a resource. A node has no name here: its name is a field of it.
type resource struct{ kind, name string }

var kinds = []string{"node", "class", "listener", "pool", "route", "federation", "partner", "export", "quota"}

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
func flat(kind string, text json.RawMessage) map[string]json.RawMessage {
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

func fields(kind string, was, is map[string]json.RawMessage) []Field {
	paths := slices.Collect(maps.Keys(was))
	for p := range is {
		if _, both := was[p]; !both {
			paths = append(paths, p)
		}
	}
	slices.Sort(paths)
	var out []Field
	for _, p := range paths {
		o, had := was[p]
		n, has := is[p]
		f := Field{Path: p, Action: Modify, Old: o, New: n, Effect: effectOf(kind, p)}
		switch {
		case !had:
			f.Action = Add
		case !has:
			f.Action = Remove
		case string(o) == string(n):
			continue
		}
		switch {
		case was == nil:
			f.Effect = addition(kind)
		case is == nil:
			f.Effect = removal(kind)
		}
		out = append(out, f)
	}
	return out
}

// addition is what it does to add a resource.
func addition(kind string) Effect {
	if kind == "federation" {
		return NeedsRestart
	}
	return Live
}

// removal is what it does to take a resource away.
func removal(kind string) Effect {
	switch kind {
	case "listener", "pool":
		return Drains
	case "federation":
		return NeedsRestart
	}
	return Live
}

// effectOf is what the change of a field does.
func effectOf(kind, path string) Effect {
	if kind == "federation" {
		return NeedsRestart
	}
	switch kind + "." + path {
	case "partner.key_file":
		return NeedsRestart
	case "node.peers.listen", "node.peers.advertise", "node.peers.key_file", "node.peers.seeds", "node.peers.region", "node.peers.period", "node.peers.listen_only",
		"node.peers.fresh", "node.peers.delay":
		return NeedsRestart
	case "node.name", "node.zone", "node.state_folder", "node.admin_socket", "node.management":
		return NeedsRestart
	case "listener.address", "listener.protocol", "pool.protocol":
		return Drains
	case "pool.connections.connect_timeout":
		return NewConnections
	}
	return Live
}

// Description is what a change does, for people.
func (c Change) Description() string {
	switch {
	case c.Kind == "listener" && c.Action == Add:
		return "begins to listen"
	case c.Kind == "listener" && c.Action == Remove:
		return "accepts no more; its callers are answered and let go"
	case c.Kind == "listener" && c.Effect == Drains:
		return "the old address or protocol accepts no more; its callers are answered"
	case c.Kind == "pool" && c.Action == Add:
		return "waits for its list before any call goes there"
	case c.Kind == "pool" && c.Action == Remove:
		return "gets no more calls; what it has is answered, then it closes"
	case c.Kind == "pool" && c.Effect == Drains:
		return "is made anew; the old one answers what it has, then it closes"
	case c.Kind == "node" && c.Effect == NeedsRestart:
		return "part of it needs a restart"
	}
	return string(c.Effect)
}

// Summary counts the resources that change.
type Summary struct {
	Add    int `json:"add"`
	Change int `json:"change"`
	Remove int `json:"remove"`
}

// Summarize counts changes.
func Summarize(changes []Change) (s Summary) {
	for _, c := range changes {
		switch c.Action {
		case Add:
			s.Add++
		case Modify:
			s.Change++
		case Remove:
			s.Remove++
		}
	}
	return s
}

// Restarts are the fields that take effect at the next start only, as "node.zone".
func Restarts(changes []Change) (paths []string) {
	for _, c := range changes {
		for _, f := range c.Fields {
			if f.Effect == NeedsRestart {
				paths = append(paths, c.Kind+"."+f.Path)
			}
		}
	}
	return paths
}

// Text writes changes for people.
func Text(changes []Change) string {
	signs := map[Action]string{Add: "+", Modify: "~", Remove: "-"}
	var b strings.Builder
	for _, c := range changes {
		title := c.Kind
		if c.Name != "" {
			title = fmt.Sprintf("%s %q", c.Kind, c.Name)
		}
		fmt.Fprintf(&b, "  %s %s: %s\n", signs[c.Action], title, c.Description())
		width := 0
		for _, f := range c.Fields {
			width = max(width, len(f.Path))
		}
		for _, f := range c.Fields {
			fmt.Fprintf(&b, "      %s %-*s = ", signs[f.Action], width, f.Path)
			switch f.Action {
			case Add:
				fmt.Fprintf(&b, "%s", f.New)
			case Remove:
				fmt.Fprintf(&b, "%s", f.Old)
			case Modify:
				fmt.Fprintf(&b, "%s -> %s", f.Old, f.New)
			}
			if c.Action == Modify {
				fmt.Fprintf(&b, "  (%s)", f.Effect)
			}
			b.WriteByte('\n')
		}
		b.WriteByte('\n')
	}
	s := Summarize(changes)
	fmt.Fprintf(&b, "Plan: %d to add, %d to change, %d to remove.\n", s.Add, s.Change, s.Remove)
	return b.String()
}
