package config

import (
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// field reads one attribute of a block.
type field struct {
	name     string
	required bool
	set      func(cty.Value) error
}

// block reads one kind of blocks within another.
type block struct {
	kind     string
	labelled bool // by a name
	required bool
	single   bool
	read     func(b *hclsyntax.Body, path, label string)
}

// body reads a block's fields and blocks; what it does not know is an error.
func (r *reader) body(b *hclsyntax.Body, path string, fields []field, blocks []block) {
	at := b.MissingItemRange()
	if own, ok := r.ranges[path]; ok {
		at = own
	}
	for _, f := range fields {
		r.field(b.Attributes[f.name], at, path, f)
	}
	r.unknownFields(b, path, fields, blocks)
	r.blocks(b, at, path, fields, blocks)
}

// joinPath is the path of what stands in a block.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// field reads an attribute; nil: the block, which stands at a place, has none of the name.
func (r *reader) field(a *hclsyntax.Attribute, block hcl.Range, path string, f field) {
	fieldPath := joinPath(path, f.name)
	if a == nil {
		if f.required {
			r.fail(block, path, "%s is missing", f.name)
			r.unread[fieldPath] = true
		}
		return
	}
	r.ranges[fieldPath] = a.SrcRange
	v, err := literalValue(a.Expr)
	if err == nil {
		err = f.set(v)
	}
	if err != nil {
		r.fail(a.Expr.Range(), fieldPath, "%v", err)
		r.unread[fieldPath] = true
	}
}

// allowedNames lists what may stand in a block, for messages.
func allowedNames(fields []field, blocks []block) string {
	names := make([]string, 0, len(fields)+len(blocks))
	for _, f := range fields {
		names = append(names, f.name)
	}
	for _, k := range blocks {
		names = append(names, k.kind+" { }")
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func hasField(fields []field, name string) bool {
	return slices.ContainsFunc(fields, func(f field) bool { return f.name == name })
}

// findBlock is the kind of blocks of a name; nil: there is none.
func findBlock(blocks []block, kind string) *block {
	i := slices.IndexFunc(blocks, func(k block) bool { return k.kind == kind })
	if i < 0 {
		return nil
	}
	return &blocks[i]
}

// unknownFields reports the attributes that a block can't have.
func (r *reader) unknownFields(b *hclsyntax.Body, path string, fields []field, blocks []block) {
	for name, a := range b.Attributes {
		switch {
		case findBlock(blocks, name) != nil:
			r.fail(a.NameRange, joinPath(path, name), "found a field; allowed: a block, as in %s { }", name)
		case !hasField(fields, name):
			r.fail(a.NameRange, joinPath(path, name), "found an unknown field; allowed here: %s", allowedNames(fields, blocks))
		}
	}
}

// blocks reads the blocks within a block, which stands at a place.
func (r *reader) blocks(b *hclsyntax.Body, at hcl.Range, path string, fields []field, blocks []block) {
	counts := map[string]int{}
	for _, sub := range b.Blocks {
		kind := findBlock(blocks, sub.Type)
		if kind == nil {
			r.unknownBlock(sub, path, fields, blocks)
			continue
		}
		subPath := joinPath(path, sub.Type)
		label, ok := r.label(sub, kind, subPath)
		if !ok {
			if kind.labelled {
				r.unread[subPath] = true
				counts[sub.Type]++
			}
			continue
		}
		if kind.labelled && sub.Type != "node" { // there is one node: its fields are known without its name
			subPath += "." + label
		}
		counts[sub.Type]++
		if counts[sub.Type] == 2 && kind.single {
			r.fail(sub.DefRange(), subPath, "found a second block; allowed: one")
			continue
		}
		if _, twice := r.ranges[subPath]; !twice || kind.single {
			r.ranges[subPath] = sub.DefRange()
		}
		kind.read(sub.Body, subPath, label)
	}
	for _, k := range blocks {
		if k.required && counts[k.kind] == 0 {
			r.fail(at, path, "the block %s { } is missing", k.kind)
			r.unread[joinPath(path, k.kind)] = true
		}
	}
}

// unknownBlock reports a block that can't stand where it does.
func (r *reader) unknownBlock(sub *hclsyntax.Block, path string, fields []field, blocks []block) {
	if hasField(fields, sub.Type) {
		r.fail(sub.TypeRange, joinPath(path, sub.Type), "found a block; allowed: a field, as in %s = ...", sub.Type)
		return
	}
	r.fail(sub.TypeRange, joinPath(path, sub.Type), "found an unknown block; allowed here: %s", allowedNames(fields, blocks))
}

// label is a block's name, empty for a kind that has none; false: it has too few or too many, which is reported.
func (r *reader) label(sub *hclsyntax.Block, kind *block, path string) (string, bool) {
	switch {
	case kind.labelled && len(sub.Labels) != 1:
		r.fail(sub.DefRange(), path, "found %d names; allowed: one, as in %s \"name\" { }", len(sub.Labels), sub.Type)
		return "", false
	case !kind.labelled && len(sub.Labels) != 0:
		r.fail(sub.DefRange(), path, "found the name %q; allowed: none, as in %s { }", sub.Labels[0], sub.Type)
		return "", false
	case kind.labelled:
		return sub.Labels[0], true
	}
	return "", true
}
