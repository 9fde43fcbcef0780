package config

import (
	"errors"
	"fmt"
	"math/big"
	"strings"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// literalValue returns the value of an expression, which must be a literal.
func literalValue(e hclsyntax.Expression) (cty.Value, error) {
	if t, ok := e.(*hclsyntax.ScopeTraversalExpr); ok {
		return cty.NilVal, fmt.Errorf("found the bare name %s; allowed: a literal value, with strings in quotes", t.Traversal.RootName())
	}
	v, diags := e.Value(nil)
	if diags.HasErrors() {
		return cty.NilVal, errors.New(strings.ToLower(diags[0].Summary) + ": " + diags[0].Detail)
	}
	if v.IsNull() || !v.IsWhollyKnown() {
		return cty.NilVal, errors.New("found null; omit the field instead")
	}
	return v, nil
}

// describeValue describes a value of the wrong type for messages.
func describeValue(v cty.Value) string {
	switch t := v.Type(); {
	case t == cty.String:
		return fmt.Sprintf("found the string %q", v.AsString())
	case t == cty.Number:
		return "found the number " + v.AsBigFloat().Text('g', 12)
	case t == cty.Bool:
		return fmt.Sprintf("found %v", v.True())
	case t.IsTupleType():
		return "found a list"
	}
	return "found " + v.Type().FriendlyName()
}

func text(dst *string) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.String {
			return fmt.Errorf("%s; allowed: a quoted string", describeValue(v))
		}
		*dst = v.AsString()
		return nil
	}
}

func enumeration[T ~string](dst *T) func(cty.Value) error {
	return func(v cty.Value) error {
		var word string
		err := text(&word)(v)
		*dst = T(word)
		return err
	}
}

func textList(dst *[]string) func(cty.Value) error {
	return func(v cty.Value) error {
		if !v.Type().IsTupleType() {
			return fmt.Errorf("%s; allowed: a list, as in [\"a\", \"b\"]", describeValue(v))
		}
		for it := v.ElementIterator(); it.Next(); {
			_, e := it.Element()
			if e.IsNull() || e.Type() != cty.String {
				return errors.New("found a list entry that is not a quoted string")
			}
			*dst = append(*dst, e.AsString())
		}
		return nil
	}
}

func boolean(dst *bool) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Bool {
			return fmt.Errorf("%s; allowed: true, false", describeValue(v))
		}
		*dst = v.True()
		return nil
	}
}

func integer(dst *int) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Number {
			return fmt.Errorf("%s; allowed: an integer", describeValue(v))
		}
		n, acc := v.AsBigFloat().Int64()
		if acc != big.Exact || int64(int(n)) != n {
			return fmt.Errorf("%s; allowed: an integer", describeValue(v))
		}
		*dst = int(n)
		return nil
	}
}

func decimal(dst *float64) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Number {
			return fmt.Errorf("%s; allowed: a number", describeValue(v))
		}
		*dst, _ = v.AsBigFloat().Float64()
		return nil
	}
}

func duration(dst *Duration) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.String {
			return fmt.Errorf("%s; allowed: a number with a unit in quotes, such as \"250ms\", \"1.5s\" or \"2m\"", describeValue(v))
		}
		return dst.UnmarshalText([]byte(v.AsString()))
	}
}

func size(dst *Size) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.String {
			return fmt.Errorf("%s; allowed: an integer with a unit in quotes, such as \"64KiB\" or \"192MiB\"", describeValue(v))
		}
		return dst.UnmarshalText([]byte(v.AsString()))
	}
}
