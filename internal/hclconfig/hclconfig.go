// Package hclconfig reads HCL files that people write: blocks with typed attributes, each with its unit and bounds. It
// reports everything that is wrong at once, by file, line and column, and owns the form of these messages. It must
// never know what a file is about, and never replace a wrong value silently.
package hclconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/zclconf/go-cty/cty"
)

// Diagnostic is one error in a file.
type Diagnostic struct {
	File         string
	Line, Column int
	Message      string
}

func (f Diagnostic) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Diagnostics are all errors in a file, in the order of the file.
type Diagnostics []Diagnostic

func (f Diagnostics) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Reader collects the errors of one file.
type Reader struct{ Diagnostics Diagnostics }

// Errorf adds an error at a place in the file.
func (r *Reader) Errorf(where hcl.Range, format string, args ...any) {
	r.Diagnostics = append(r.Diagnostics, Diagnostic{where.Filename, where.Start.Line, where.Start.Column, fmt.Sprintf(format, args...)})
}

// AddHCL adds the errors that the HCL library has found.
func (r *Reader) AddHCL(all hcl.Diagnostics) {
	for _, d := range all {
		where := hcl.Range{}
		if d.Subject != nil {
			where = *d.Subject
		}
		r.Errorf(where, "%s: %s", d.Summary, strings.ReplaceAll(d.Detail, "\n", " "))
	}
}

// Parse parses a file's text; path names it in messages. It returns nil if the text is not HCL.
func (r *Reader) Parse(text []byte, path string) hcl.Body {
	file, diags := hclparse.NewParser().ParseHCL(text, path)
	r.AddHCL(diags)
	if file == nil || diags.HasErrors() {
		return nil
	}
	return file.Body
}

// Err returns all errors in the order of the file as Diagnostics, nil if there are none.
func (r *Reader) Err() error {
	if len(r.Diagnostics) == 0 {
		return nil
	}
	slices.SortStableFunc(r.Diagnostics, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.Diagnostics
}

// FileStart returns the first place of a file.
func FileStart(path string) hcl.Range {
	return hcl.Range{Filename: path, Start: hcl.Pos{Line: 1, Column: 1}}
}

// Block is one block of a file. Its methods return otherwise for an attribute that is absent or wrong.
type Block struct {
	reader *Reader
	name   string
	Range  hcl.Range
	attrs  hcl.Attributes
	Blocks map[string][]*hcl.Block
}

// Block opens a block, given the attributes (separated by spaces) and blocks that it may hold.
func (r *Reader) Block(name string, body hcl.Body, where hcl.Range, attrs string, blocks ...hcl.BlockHeaderSchema) *Block {
	schema := &hcl.BodySchema{Blocks: blocks}
	for _, a := range strings.Fields(attrs) {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: a})
	}
	content, diags := body.Content(schema)
	r.AddHCL(diags)
	b := &Block{reader: r, name: name, Range: where, attrs: hcl.Attributes{}, Blocks: map[string][]*hcl.Block{}}
	if content != nil {
		b.attrs = content.Attributes
		for _, in := range content.Blocks {
			b.Blocks[in.Type] = append(b.Blocks[in.Type], in)
		}
	}
	return b
}

// Single returns the only block of a kind, nil if there is none; must makes that an error.
func (b *Block) Single(kind string, must bool) *hcl.Block {
	all := b.Blocks[kind]
	if len(all) == 0 {
		if must {
			b.reader.Errorf(b.Range, "%s wants a block %q", b.name, kind)
		}
		return nil
	}
	for _, more := range all[1:] {
		b.reader.Errorf(more.DefRange, "a second block %q; the first is in line %d", kind, all[0].DefRange.Start.Line)
	}
	return all[0]
}

// Has reports whether an attribute is present.
func (b *Block) Has(name string) bool { return b.attrs[name] != nil }

// Require adds an error for each attribute that is missing.
func (b *Block) Require(names ...string) {
	for _, n := range names {
		if !b.Has(n) {
			b.reader.Errorf(b.Range, "%s wants %q", b.name, n)
		}
	}
}

// value returns an attribute's value; ok is false if it is absent or wrong.
func (b *Block) value(name string) (cty.Value, hcl.Range, bool) {
	a := b.attrs[name]
	if a == nil {
		return cty.NilVal, b.Range, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		b.reader.AddHCL(diags)
		return cty.NilVal, a.Expr.Range(), false
	}
	return v, a.Expr.Range(), !v.IsNull()
}

// String reads a string, which has to be one of allowed if any are given.
func (b *Block) String(name, otherwise string, allowed ...string) string {
	v, where, ok := b.value(name)
	if !ok {
		return otherwise
	}
	if v.Type() != cty.String {
		b.reader.Errorf(where, "%s: wants a text in quotes", name)
		return otherwise
	}
	if s := v.AsString(); len(allowed) == 0 || slices.Contains(allowed, s) {
		return s
	}
	b.reader.Errorf(where, "%s: %q is none of %s%s", name, v.AsString(), strings.Join(allowed, ", "), Suggestion(v.AsString(), allowed))
	return otherwise
}

// Bool reads a boolean.
func (b *Block) Bool(name string, otherwise bool) bool {
	v, where, ok := b.value(name)
	if !ok {
		return otherwise
	}
	if v.Type() != cty.Bool {
		b.reader.Errorf(where, "%s: wants true or false", name)
		return otherwise
	}
	return v.True()
}

// Number reads a number within bounds.
func (b *Block) Number(name string, otherwise, minimum, maximum float64) float64 {
	v, where, ok := b.value(name)
	if !ok {
		return otherwise
	}
	if v.Type() != cty.Number {
		b.reader.Errorf(where, "%s: wants a number", name)
		return otherwise
	}
	n, _ := v.AsBigFloat().Float64()
	if n < minimum || n > maximum {
		b.reader.Errorf(where, "%s: %v lies outside %v to %v", name, n, minimum, maximum)
		return otherwise
	}
	return n
}

// Int reads an integer within bounds.
func (b *Block) Int(name string, otherwise, minimum, maximum int) int {
	n := b.Number(name, float64(otherwise), float64(minimum), float64(maximum))
	if n != float64(int(n)) {
		_, where, _ := b.value(name)
		b.reader.Errorf(where, "%s: %v is no whole number", name, n)
		return otherwise
	}
	return int(n)
}

// Duration reads a duration within bounds, which has to have a unit.
func (b *Block) Duration(name string, otherwise, minimum, maximum time.Duration) time.Duration {
	v, where, ok := b.value(name)
	if !ok {
		return otherwise
	}
	return b.parseDuration(name, v, where, otherwise, minimum, maximum)
}

func (b *Block) parseDuration(name string, v cty.Value, where hcl.Range, otherwise, minimum, maximum time.Duration) time.Duration {
	if v.Type() == cty.Number {
		n, _ := v.AsBigFloat().Float64()
		b.reader.Errorf(where, `%s: %v has no unit; wants a time such as "%vms" or "%vs"`, name, n, n, n)
		return otherwise
	}
	if v.Type() != cty.String {
		b.reader.Errorf(where, `%s: wants a time such as "250ms"`, name)
		return otherwise
	}
	d, err := time.ParseDuration(v.AsString())
	switch {
	case err != nil:
		b.reader.Errorf(where, `%s: %q is no time; wants one such as "250ms", "1.5s" or "2m"`, name, v.AsString())
	case d < minimum || d > maximum:
		b.reader.Errorf(where, "%s: %v lies outside %v to %v", name, d, minimum, maximum)
	default:
		return d
	}
	return otherwise
}

// DurationRange reads a range of durations: ["200ms", "1s"].
func (b *Block) DurationRange(name string, otherwise [2]time.Duration, maximum time.Duration) [2]time.Duration {
	v, where, ok := b.value(name)
	if !ok {
		return otherwise
	}
	if !v.Type().IsTupleType() || v.LengthInt() != 2 {
		b.reader.Errorf(where, `%s: wants two times, such as ["200ms", "1s"]`, name)
		return otherwise
	}
	both := v.AsValueSlice()
	out := [2]time.Duration{b.parseDuration(name, both[0], where, otherwise[0], 0, maximum), b.parseDuration(name, both[1], where, otherwise[1], 0, maximum)}
	if out[0] > out[1] {
		b.reader.Errorf(where, "%s: %v is longer than %v", name, out[0], out[1])
		return otherwise
	}
	return out
}

// Fraction reads a fraction: "30%", or a number from 0 to 1.
func (b *Block) Fraction(name string, otherwise float64) float64 {
	v, where, ok := b.value(name)
	if !ok {
		return otherwise
	}
	n := -1.0
	switch v.Type() {
	case cty.Number:
		n, _ = v.AsBigFloat().Float64()
	case cty.String:
		if text, percent := strings.CutSuffix(strings.TrimSpace(v.AsString()), "%"); percent {
			if f, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil {
				n = f / 100
			}
		}
	}
	if n < 0 || n > 1 {
		b.reader.Errorf(where, `%s: wants a share such as "30%%", or a number from 0 to 1`, name)
		return otherwise
	}
	return n
}

// UintList reads a list of distinct integers of maxItems at most.
func (b *Block) UintList(name string, otherwise []uint64, maxItems int) []uint64 {
	v, where, ok := b.value(name)
	if !ok {
		return otherwise
	}
	if !v.Type().IsTupleType() || v.LengthInt() == 0 || v.LengthInt() > maxItems {
		b.reader.Errorf(where, "%s: wants a list of 1 to %d whole numbers, such as [1, 2, 3]", name, maxItems)
		return otherwise
	}
	var all []uint64
	for _, one := range v.AsValueSlice() {
		if one.IsNull() || one.Type() != cty.Number {
			b.reader.Errorf(where, "%s: wants whole numbers", name)
			return otherwise
		}
		n, exact := one.AsBigFloat().Uint64()
		if exact != 0 || slices.Contains(all, n) {
			b.reader.Errorf(where, "%s: wants whole numbers, each once", name)
			return otherwise
		}
		all = append(all, n)
	}
	return all
}

// StringList reads a list of distinct strings of maxItems at most, with the place of each.
func (b *Block) StringList(name string, maxItems int) (items []string, places []hcl.Range) {
	a := b.attrs[name]
	if a == nil {
		return nil, nil
	}
	expressions, diags := hcl.ExprList(a.Expr)
	if diags.HasErrors() || len(expressions) == 0 || len(expressions) > maxItems {
		b.reader.Errorf(a.Expr.Range(), "%s: wants a list of 1 to %d texts", name, maxItems)
		return nil, nil
	}
	for _, expression := range expressions {
		v, diags := expression.Value(nil)
		switch {
		case diags.HasErrors():
			b.reader.AddHCL(diags)
		case v.IsNull() || v.Type() != cty.String:
			b.reader.Errorf(expression.Range(), "%s: wants texts in quotes", name)
		case slices.Contains(items, v.AsString()):
			b.reader.Errorf(expression.Range(), "%s: %q stands twice", name, v.AsString())
		default:
			items = append(items, v.AsString())
			places = append(places, expression.Range())
		}
	}
	return items, places
}

// AttributeRange returns the place of an attribute's value, or of the block if it is absent.
func (b *Block) AttributeRange(name string) hcl.Range {
	if a := b.attrs[name]; a != nil {
		return a.Expr.Range()
	}
	return b.Range
}

// maxSuggestionDistance is the largest edit distance of a misspelled name.
const maxSuggestionDistance = 2

// Suggestion names the known name that a misspelled one is likely to mean, as the end of a message; "" if there is none.
func Suggestion(name string, allowed []string) string {
	best, smallest := "", maxSuggestionDistance+1
	for _, a := range allowed {
		if d := editDistance(name, a); d < smallest {
			best, smallest = a, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// editDistance is the Levenshtein distance.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		corner := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := corner
			if a[i] != b[j] {
				cost = 1 + min(corner, row[j], row[j+1])
			}
			corner, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
