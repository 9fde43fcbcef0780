package config

import (
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// field describes an attribute of a block and how its value is stored.
type field struct {
	name     string
	required bool
	set      func(cty.Value) error
}

// block describes a kind of nested blocks.
type block struct {
	kind     string
	labelled bool // has a name
	required bool
	single   bool
	read     func(b *hclsyntax.Body, path, label string)
}

// body reads the fields and the nested blocks of a block, and reports unknown ones as errors.
func (r *reader) body(b *hclsyntax.Body, path string, fields []field, blocks []block) {
	at := b.MissingItemRange()
	if blockRange, ok := r.ranges[path]; ok {
		at = blockRange
	}
	for _, f := range fields {
		r.field(b.Attributes[f.name], at, path, f)
	}
	r.unknownFields(b, path, fields, blocks)
	r.blocks(b, at, path, fields, blocks)
}

// joinPath returns the path of a field or block within the block at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// field reads an attribute. A nil attribute means that the block, whose range is given, does not have the attribute.
func (r *reader) field(attribute *hclsyntax.Attribute, block hcl.Range, path string, f field) {
	fieldPath := joinPath(path, f.name)
	if attribute == nil {
		if f.required {
			r.fail(block, path, "%s is missing", f.name)
			r.unread[fieldPath] = true
		}
		return
	}
	r.ranges[fieldPath] = attribute.SrcRange
	v, err := literalValue(attribute.Expr)
	if err == nil {
		err = f.set(v)
	}
	if err != nil {
		r.fail(attribute.Expr.Range(), fieldPath, "%v", err)
		r.unread[fieldPath] = true
	}
}

// allowedNames lists the fields and blocks that a block may contain, for messages.
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

// findBlock returns the block description of the given kind, or nil if there is none.
func findBlock(blocks []block, kind string) *block {
	i := slices.IndexFunc(blocks, func(k block) bool { return k.kind == kind })
	if i < 0 {
		return nil
	}
	return &blocks[i]
}

// unknownFields reports the attributes that are not allowed in a block.
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

// blocks reads the nested blocks of a block, and reports missing ones at the range at.
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
		if kind.labelled && sub.Type != "node" { // there is only one node, so the paths of its fields omit its name
			subPath += "." + label
		}
		counts[sub.Type]++
		if counts[sub.Type] == 2 && kind.single {
			r.fail(sub.DefRange(), subPath, "found a second block; allowed: one")
			continue
		}
		if _, seen := r.ranges[subPath]; !seen || kind.single {
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

// unknownBlock reports a block that is not allowed where it appears.
func (r *reader) unknownBlock(sub *hclsyntax.Block, path string, fields []field, blocks []block) {
	if hasField(fields, sub.Type) {
		r.fail(sub.TypeRange, joinPath(path, sub.Type), "found a block; allowed: a field, as in %s = ...", sub.Type)
		return
	}
	r.fail(sub.TypeRange, joinPath(path, sub.Type), "found an unknown block; allowed here: %s", allowedNames(fields, blocks))
}

// label returns a block's name, which is empty for a kind without names. If the number of names is wrong, it reports that and
// returns false.
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
