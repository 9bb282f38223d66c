// Package hclconfig reads configuration files in HCL: blocks with typed attributes that are checked against units and
// bounds. It collects all errors of a file, each with file, line and column, and defines the form of these messages. It
// knows nothing of what a file configures, and never replaces an invalid value without an error.
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

func (d Diagnostic) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", d.File, d.Line, d.Column, d.Message)
}

// Diagnostics are the errors in a file. Reader.Err orders them by line and column.
type Diagnostics []Diagnostic

func (d Diagnostics) Error() string {
	lines := make([]string, len(d))
	for i, diagnostic := range d {
		lines[i] = diagnostic.Error()
	}
	return strings.Join(lines, "\n")
}

// Reader reads one file and collects its errors.
type Reader struct{ Diagnostics Diagnostics }

// Errorf adds an error at a position in the file.
func (r *Reader) Errorf(location hcl.Range, format string, args ...any) {
	r.Diagnostics = append(r.Diagnostics, Diagnostic{location.Filename, location.Start.Line, location.Start.Column, fmt.Sprintf(format, args...)})
}

// AddHCL adds the errors that the HCL library has reported.
func (r *Reader) AddHCL(all hcl.Diagnostics) {
	for _, d := range all {
		location := hcl.Range{}
		if d.Subject != nil {
			location = *d.Subject
		}
		r.Errorf(location, "%s: %s", d.Summary, strings.ReplaceAll(d.Detail, "\n", " "))
	}
}

// Parse parses a file's text; path is its name in messages. It adds an error and returns nil if the text is not valid HCL.
func (r *Reader) Parse(text []byte, path string) hcl.Body {
	file, diags := hclparse.NewParser().ParseHCL(text, path)
	r.AddHCL(diags)
	if file == nil || diags.HasErrors() {
		return nil
	}
	return file.Body
}

// Err returns all errors as Diagnostics, ordered by line and column, or nil if there are none.
func (r *Reader) Err() error {
	if len(r.Diagnostics) == 0 {
		return nil
	}
	slices.SortStableFunc(r.Diagnostics, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.Diagnostics
}

// FileStart returns the position of the first character of a file.
func FileStart(path string) hcl.Range {
	return hcl.Range{Filename: path, Start: hcl.Pos{Line: 1, Column: 1}}
}

// Block is one block of a file. The methods that read an attribute return fallback if the attribute is absent or invalid; an
// invalid one is added to the errors.
type Block struct {
	reader *Reader
	name   string // name of the block in messages
	Range  hcl.Range
	attrs  hcl.Attributes
	Blocks map[string][]*hcl.Block // nested blocks by type
}

// Block decodes a block. attrs (separated by spaces) and blocks are the attributes and nested blocks that it may have; any
// others are errors.
func (r *Reader) Block(name string, body hcl.Body, location hcl.Range, attrs string, blocks ...hcl.BlockHeaderSchema) *Block {
	schema := &hcl.BodySchema{Blocks: blocks}
	for _, a := range strings.Fields(attrs) {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: a})
	}
	content, diags := body.Content(schema)
	r.AddHCL(diags)
	b := &Block{reader: r, name: name, Range: location, attrs: hcl.Attributes{}, Blocks: map[string][]*hcl.Block{}}
	if content != nil {
		b.attrs = content.Attributes
		for _, nested := range content.Blocks {
			b.Blocks[nested.Type] = append(b.Blocks[nested.Type], nested)
		}
	}
	return b
}

// Single returns the only nested block of a type, or nil if there is none, which is an error if the block is required. A
// second block of the type is an error.
func (b *Block) Single(blockType string, required bool) *hcl.Block {
	all := b.Blocks[blockType]
	if len(all) == 0 {
		if required {
			b.reader.Errorf(b.Range, "%s requires a block %q", b.name, blockType)
		}
		return nil
	}
	for _, extra := range all[1:] {
		b.reader.Errorf(extra.DefRange, "a second block %q; the first is in line %d", blockType, all[0].DefRange.Start.Line)
	}
	return all[0]
}

// HasAttribute reports whether an attribute is present.
func (b *Block) HasAttribute(name string) bool { return b.attrs[name] != nil }

// Require adds an error for each attribute that is missing.
func (b *Block) Require(names ...string) {
	for _, n := range names {
		if !b.HasAttribute(n) {
			b.reader.Errorf(b.Range, "%s requires the attribute %q", b.name, n)
		}
	}
}

// value evaluates an attribute and returns its value with its position. It returns false if the attribute is absent, null or
// not a constant expression.
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
func (b *Block) String(name, fallback string, allowed ...string) string {
	v, location, ok := b.value(name)
	if !ok {
		return fallback
	}
	if v.Type() != cty.String {
		b.reader.Errorf(location, "%s: must be a quoted string", name)
		return fallback
	}
	if s := v.AsString(); len(allowed) == 0 || slices.Contains(allowed, s) {
		return s
	}
	b.reader.Errorf(location, "%s: %q is none of %s%s", name, v.AsString(), strings.Join(allowed, ", "), Suggestion(v.AsString(), allowed))
	return fallback
}

// Bool reads a boolean.
func (b *Block) Bool(name string, fallback bool) bool {
	v, location, ok := b.value(name)
	if !ok {
		return fallback
	}
	if v.Type() != cty.Bool {
		b.reader.Errorf(location, "%s: must be true or false", name)
		return fallback
	}
	return v.True()
}

// Number reads a number within bounds.
func (b *Block) Number(name string, fallback, minimum, maximum float64) float64 {
	v, location, ok := b.value(name)
	if !ok {
		return fallback
	}
	if v.Type() != cty.Number {
		b.reader.Errorf(location, "%s: must be a number", name)
		return fallback
	}
	n, _ := v.AsBigFloat().Float64()
	if n < minimum || n > maximum {
		b.reader.Errorf(location, "%s: %v lies outside %v to %v", name, n, minimum, maximum)
		return fallback
	}
	return n
}

// Int reads an integer within bounds.
func (b *Block) Int(name string, fallback, minimum, maximum int) int {
	n := b.Number(name, float64(fallback), float64(minimum), float64(maximum))
	if n != float64(int(n)) {
		_, location, _ := b.value(name)
		b.reader.Errorf(location, "%s: %v is not a whole number", name, n)
		return fallback
	}
	return int(n)
}

// Duration reads a duration within bounds: a string of a number and a unit.
func (b *Block) Duration(name string, fallback, minimum, maximum time.Duration) time.Duration {
	v, location, ok := b.value(name)
	if !ok {
		return fallback
	}
	return b.parseDuration(name, v, location, fallback, minimum, maximum)
}

func (b *Block) parseDuration(name string, v cty.Value, location hcl.Range, fallback, minimum, maximum time.Duration) time.Duration {
	if v.Type() == cty.Number {
		n, _ := v.AsBigFloat().Float64()
		b.reader.Errorf(location, `%s: %v has no unit; must be a duration such as "%vms" or "%vs"`, name, n, n, n)
		return fallback
	}
	if v.Type() != cty.String {
		b.reader.Errorf(location, `%s: must be a duration such as "250ms"`, name)
		return fallback
	}
	d, err := time.ParseDuration(v.AsString())
	switch {
	case err != nil:
		b.reader.Errorf(location, `%s: %q is not a duration such as "250ms", "1.5s" or "2m"`, name, v.AsString())
	case d < minimum || d > maximum:
		b.reader.Errorf(location, "%s: %v lies outside %v to %v", name, d, minimum, maximum)
	default:
		return d
	}
	return fallback
}

// DurationRange reads a range of durations, such as ["200ms", "1s"].
func (b *Block) DurationRange(name string, fallback [2]time.Duration, maximum time.Duration) [2]time.Duration {
	v, location, ok := b.value(name)
	if !ok {
		return fallback
	}
	if !v.Type().IsTupleType() || v.LengthInt() != 2 {
		b.reader.Errorf(location, `%s: must be a list of two durations, such as ["200ms", "1s"]`, name)
		return fallback
	}
	bounds := v.AsValueSlice()
	out := [2]time.Duration{b.parseDuration(name, bounds[0], location, fallback[0], 0, maximum), b.parseDuration(name, bounds[1], location, fallback[1], 0, maximum)}
	if out[0] > out[1] {
		b.reader.Errorf(location, "%s: %v is longer than %v", name, out[0], out[1])
		return fallback
	}
	return out
}

// Fraction reads a fraction: a percentage such as "30%", or a number from 0 to 1.
func (b *Block) Fraction(name string, fallback float64) float64 {
	v, location, ok := b.value(name)
	if !ok {
		return fallback
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
		b.reader.Errorf(location, `%s: must be a percentage such as "30%%", or a number from 0 to 1`, name)
		return fallback
	}
	return n
}

// UintList reads a list of 1 to maxItems distinct unsigned integers.
func (b *Block) UintList(name string, fallback []uint64, maxItems int) []uint64 {
	v, location, ok := b.value(name)
	if !ok {
		return fallback
	}
	if !v.Type().IsTupleType() || v.LengthInt() == 0 || v.LengthInt() > maxItems {
		b.reader.Errorf(location, "%s: must be a list of 1 to %d whole numbers, such as [1, 2, 3]", name, maxItems)
		return fallback
	}
	var all []uint64
	for _, item := range v.AsValueSlice() {
		if item.IsNull() || item.Type() != cty.Number {
			b.reader.Errorf(location, "%s: must hold only whole numbers", name)
			return fallback
		}
		n, accuracy := item.AsBigFloat().Uint64()
		if accuracy != 0 || slices.Contains(all, n) {
			b.reader.Errorf(location, "%s: must hold only whole numbers from 0, each once", name)
			return fallback
		}
		all = append(all, n)
	}
	return all
}

// StringList reads a list of 1 to maxItems distinct strings, with the position of each. It returns nil if the attribute is absent
// or not such a list; invalid items are left out.
func (b *Block) StringList(name string, maxItems int) (items []string, locations []hcl.Range) {
	a := b.attrs[name]
	if a == nil {
		return nil, nil
	}
	expressions, diags := hcl.ExprList(a.Expr)
	if diags.HasErrors() || len(expressions) == 0 || len(expressions) > maxItems {
		b.reader.Errorf(a.Expr.Range(), "%s: must be a list of 1 to %d strings", name, maxItems)
		return nil, nil
	}
	for _, expression := range expressions {
		v, diags := expression.Value(nil)
		switch {
		case diags.HasErrors():
			b.reader.AddHCL(diags)
		case v.IsNull() || v.Type() != cty.String:
			b.reader.Errorf(expression.Range(), "%s: must hold only quoted strings", name)
		case slices.Contains(items, v.AsString()):
			b.reader.Errorf(expression.Range(), "%s: %q is listed twice", name, v.AsString())
		default:
			items = append(items, v.AsString())
			locations = append(locations, expression.Range())
		}
	}
	return items, locations
}

// AttributeRange returns the position of an attribute's value, or of the block if the attribute is absent.
func (b *Block) AttributeRange(name string) hcl.Range {
	if a := b.attrs[name]; a != nil {
		return a.Expr.Range()
	}
	return b.Range
}

// maxSuggestionDistance is the largest edit distance at which a known name is suggested for a misspelled one.
const maxSuggestionDistance = 2

// Suggestion returns the end of an error message that suggests the allowed name closest to a misspelled one, or "" if none is
// close enough.
func Suggestion(name string, allowed []string) string {
	best, smallestDistance := "", maxSuggestionDistance+1
	for _, a := range allowed {
		if d := editDistance(name, a); d < smallestDistance {
			best, smallestDistance = a, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// editDistance returns the Levenshtein distance of two strings in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
