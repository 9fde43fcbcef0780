package config

import (
	"errors"
	"fmt"
	"math/big"
	"strings"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// literalValue takes an expression for the plain value that it must be.
func literalValue(e hclsyntax.Expression) (cty.Value, error) {
	if t, ok := e.(*hclsyntax.ScopeTraversalExpr); ok {
		return cty.NilVal, fmt.Errorf("found the bare name %s; allowed: a plain value: text stands in quotes", t.Traversal.RootName())
	}
	v, diags := e.Value(nil)
	if diags.HasErrors() {
		return cty.NilVal, errors.New(strings.ToLower(diags[0].Summary) + ": " + diags[0].Detail)
	}
	if v.IsNull() || !v.IsWhollyKnown() {
		return cty.NilVal, errors.New("found null; leave the field out instead")
	}
	return v, nil
}

// describeValue describes a value of the wrong kind.
func describeValue(v cty.Value) string {
	switch t := v.Type(); {
	case t == cty.String:
		return fmt.Sprintf("found the text %q", v.AsString())
	case t == cty.Number:
		return "found the number " + v.AsBigFloat().Text('g', 12)
	case t == cty.Bool:
		return fmt.Sprintf("found %v", v.True())
	case t.IsTupleType():
		return "found a list"
	}
	return "found " + v.Type().FriendlyName()
}

func text(to *string) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.String {
			return fmt.Errorf("%s; allowed: text in quotes", describeValue(v))
		}
		*to = v.AsString()
		return nil
	}
}

func enumeration[T ~string](to *T) func(cty.Value) error {
	return func(v cty.Value) error {
		var word string
		err := text(&word)(v)
		*to = T(word)
		return err
	}
}

func textList(to *[]string) func(cty.Value) error {
	return func(v cty.Value) error {
		if !v.Type().IsTupleType() {
			return fmt.Errorf("%s; allowed: a list, as in [\"a\", \"b\"]", describeValue(v))
		}
		for it := v.ElementIterator(); it.Next(); {
			_, e := it.Element()
			if e.IsNull() || e.Type() != cty.String {
				return errors.New("a list's entry is no text in quotes")
			}
			*to = append(*to, e.AsString())
		}
		return nil
	}
}

func boolean(to *bool) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Bool {
			return fmt.Errorf("%s; allowed: true, false", describeValue(v))
		}
		*to = v.True()
		return nil
	}
}

func integer(to *int) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Number {
			return fmt.Errorf("%s; allowed: a whole number", describeValue(v))
		}
		n, acc := v.AsBigFloat().Int64()
		if acc != big.Exact || int64(int(n)) != n {
			return fmt.Errorf("%s; allowed: a whole number", describeValue(v))
		}
		*to = int(n)
		return nil
	}
}

func decimal(to *float64) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Number {
			return fmt.Errorf("%s; allowed: a number", describeValue(v))
		}
		*to, _ = v.AsBigFloat().Float64()
		return nil
	}
}

func duration(to *Duration) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.String {
			return fmt.Errorf("%s; allowed: a number with a unit in quotes, such as \"250ms\", \"1.5s\" or \"2m\"", describeValue(v))
		}
		return to.UnmarshalText([]byte(v.AsString()))
	}
}

func size(to *Size) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.String {
			return fmt.Errorf("%s; allowed: a whole number with a unit in quotes, such as \"64KiB\" or \"192MiB\"", describeValue(v))
		}
		return to.UnmarshalText([]byte(v.AsString()))
	}
}
