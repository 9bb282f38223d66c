// Package hclconfig reads HCL files that people write: blocks, each figure with its unit and bounds, all faults at once by file,
// line and column. It owns the form of messages. It must never know what a file is about, and never fill in what is wrong.
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

// Fault is one thing that is wrong with a file.
type Fault struct {
	File         string
	Line, Column int
	What         string
}

func (f Fault) Error() string { return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.What) }

// Faults are all of them, in the order of the file.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Reader gathers what is wrong.
type Reader struct{ Faults Faults }

// At notes a fault at a place.
func (r *Reader) At(where hcl.Range, format string, args ...any) {
	r.Faults = append(r.Faults, Fault{where.Filename, where.Start.Line, where.Start.Column, fmt.Sprintf(format, args...)})
}

// Diags takes over what the library has found wrong.
func (r *Reader) Diags(all hcl.Diagnostics) {
	for _, d := range all {
		where := hcl.Range{}
		if d.Subject != nil {
			where = *d.Subject
		}
		r.At(where, "%s: %s", d.Summary, strings.ReplaceAll(d.Detail, "\n", " "))
	}
}

// File reads a file's text as HCL; path is its name in messages. It answers nil where nothing can be read of it.
func (r *Reader) File(text []byte, path string) hcl.Body {
	file, diags := hclparse.NewParser().ParseHCL(text, path)
	r.Diags(diags)
	if file == nil || diags.HasErrors() {
		return nil
	}
	return file.Body
}

// Err is all that is wrong, in the order of the file; nil where nothing is.
func (r *Reader) Err() error {
	if len(r.Faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.Faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.Faults
}

// Start is where a file begins.
func Start(path string) hcl.Range {
	return hcl.Range{Filename: path, Start: hcl.Pos{Line: 1, Column: 1}}
}

// Block is one block of a file while it is read.
type Block struct {
	r     *Reader
	name  string
	Where hcl.Range
	attrs hcl.Attributes
	In    map[string][]*hcl.Block
}

// Open reads a block's content: which attributes and which blocks it may hold.
func (r *Reader) Open(name string, body hcl.Body, where hcl.Range, attrs string, blocks ...hcl.BlockHeaderSchema) *Block {
	schema := &hcl.BodySchema{Blocks: blocks}
	for _, a := range strings.Fields(attrs) {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: a})
	}
	content, diags := body.Content(schema)
	r.Diags(diags)
	b := &Block{r: r, name: name, Where: where, attrs: hcl.Attributes{}, In: map[string][]*hcl.Block{}}
	if content != nil {
		b.attrs = content.Attributes
		for _, in := range content.Blocks {
			b.In[in.Type] = append(b.In[in.Type], in)
		}
	}
	return b
}

// Only answers the one block of a kind, nil where there is none.
func (b *Block) Only(kind string, must bool) *hcl.Block {
	all := b.In[kind]
	if len(all) == 0 {
		if must {
			b.r.At(b.Where, "%s wants a block %q", b.name, kind)
		}
		return nil
	}
	for _, more := range all[1:] {
		b.r.At(more.DefRange, "a second block %q; the first is in line %d", kind, all[0].DefRange.Start.Line)
	}
	return all[0]
}

// Has tells whether an attribute stands there.
func (b *Block) Has(name string) bool { return b.attrs[name] != nil }

// Must notes which attributes are missing.
func (b *Block) Must(names ...string) {
	for _, n := range names {
		if !b.Has(n) {
			b.r.At(b.Where, "%s wants %q", b.name, n)
		}
	}
}

// value answers an attribute's value, false where it is not told or wrong.
func (b *Block) value(name string) (cty.Value, hcl.Range, bool) {
	a := b.attrs[name]
	if a == nil {
		return cty.NilVal, b.Where, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		b.r.Diags(diags)
		return cty.NilVal, a.Expr.Range(), false
	}
	return v, a.Expr.Range(), !v.IsNull()
}

// Text reads a text, which is one of those told if any are.
func (b *Block) Text(name, otherwise string, among ...string) string {
	v, where, told := b.value(name)
	if !told {
		return otherwise
	}
	if v.Type() != cty.String {
		b.r.At(where, "%s: wants a text in quotes", name)
		return otherwise
	}
	if s := v.AsString(); len(among) == 0 || slices.Contains(among, s) {
		return s
	}
	b.r.At(where, "%s: %q is none of %s%s", name, v.AsString(), strings.Join(among, ", "), Nearest(v.AsString(), among))
	return otherwise
}

// Yes reads true or false.
func (b *Block) Yes(name string, otherwise bool) bool {
	v, where, told := b.value(name)
	if !told {
		return otherwise
	}
	if v.Type() != cty.Bool {
		b.r.At(where, "%s: wants true or false", name)
		return otherwise
	}
	return v.True()
}

// Number reads a number within bounds.
func (b *Block) Number(name string, otherwise, least, most float64) float64 {
	v, where, told := b.value(name)
	if !told {
		return otherwise
	}
	if v.Type() != cty.Number {
		b.r.At(where, "%s: wants a number", name)
		return otherwise
	}
	n, _ := v.AsBigFloat().Float64()
	if n < least || n > most {
		b.r.At(where, "%s: %v lies outside %v to %v", name, n, least, most)
		return otherwise
	}
	return n
}

// Whole reads a whole number within bounds.
func (b *Block) Whole(name string, otherwise, least, most int) int {
	n := b.Number(name, float64(otherwise), float64(least), float64(most))
	if n != float64(int(n)) {
		_, where, _ := b.value(name)
		b.r.At(where, "%s: %v is no whole number", name, n)
		return otherwise
	}
	return int(n)
}

// Span reads a time, which always has its unit.
func (b *Block) Span(name string, otherwise, least, most time.Duration) time.Duration {
	v, where, told := b.value(name)
	if !told {
		return otherwise
	}
	return b.spanOf(name, v, where, otherwise, least, most)
}

func (b *Block) spanOf(name string, v cty.Value, where hcl.Range, otherwise, least, most time.Duration) time.Duration {
	if v.Type() == cty.Number {
		n, _ := v.AsBigFloat().Float64()
		b.r.At(where, `%s: %v has no unit; wants a time such as "%vms" or "%vs"`, name, n, n, n)
		return otherwise
	}
	if v.Type() != cty.String {
		b.r.At(where, `%s: wants a time such as "250ms"`, name)
		return otherwise
	}
	d, err := time.ParseDuration(v.AsString())
	switch {
	case err != nil:
		b.r.At(where, `%s: %q is no time; wants one such as "250ms", "1.5s" or "2m"`, name, v.AsString())
	case d < least || d > most:
		b.r.At(where, "%s: %v lies outside %v to %v", name, d, least, most)
	default:
		return d
	}
	return otherwise
}

// Spans reads a range of times: ["200ms", "1s"].
func (b *Block) Spans(name string, otherwise [2]time.Duration, most time.Duration) [2]time.Duration {
	v, where, told := b.value(name)
	if !told {
		return otherwise
	}
	if !v.Type().IsTupleType() || v.LengthInt() != 2 {
		b.r.At(where, `%s: wants two times, such as ["200ms", "1s"]`, name)
		return otherwise
	}
	both := v.AsValueSlice()
	out := [2]time.Duration{b.spanOf(name, both[0], where, otherwise[0], 0, most), b.spanOf(name, both[1], where, otherwise[1], 0, most)}
	if out[0] > out[1] {
		b.r.At(where, "%s: %v is longer than %v", name, out[0], out[1])
		return otherwise
	}
	return out
}

// Share reads a part: "30%", or a number from 0 to 1.
func (b *Block) Share(name string, otherwise float64) float64 {
	v, where, told := b.value(name)
	if !told {
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
		b.r.At(where, `%s: wants a share such as "30%%", or a number from 0 to 1`, name)
		return otherwise
	}
	return n
}

// Numbers reads a list of whole numbers.
func (b *Block) Numbers(name string, otherwise []uint64, most int) []uint64 {
	v, where, told := b.value(name)
	if !told {
		return otherwise
	}
	if !v.Type().IsTupleType() || v.LengthInt() == 0 || v.LengthInt() > most {
		b.r.At(where, "%s: wants a list of 1 to %d whole numbers, such as [1, 2, 3]", name, most)
		return otherwise
	}
	var all []uint64
	for _, one := range v.AsValueSlice() {
		if one.IsNull() || one.Type() != cty.Number {
			b.r.At(where, "%s: wants whole numbers", name)
			return otherwise
		}
		n, exact := one.AsBigFloat().Uint64()
		if exact != 0 || slices.Contains(all, n) {
			b.r.At(where, "%s: wants whole numbers, each once", name)
			return otherwise
		}
		all = append(all, n)
	}
	return all
}

// Texts reads a list of texts, each once; places are where each stands.
func (b *Block) Texts(name string, most int) (all []string, places []hcl.Range) {
	a := b.attrs[name]
	if a == nil {
		return nil, nil
	}
	items, diags := hcl.ExprList(a.Expr)
	if diags.HasErrors() || len(items) == 0 || len(items) > most {
		b.r.At(a.Expr.Range(), "%s: wants a list of 1 to %d texts", name, most)
		return nil, nil
	}
	for _, item := range items {
		v, diags := item.Value(nil)
		switch {
		case diags.HasErrors():
			b.r.Diags(diags)
		case v.IsNull() || v.Type() != cty.String:
			b.r.At(item.Range(), "%s: wants texts in quotes", name)
		case slices.Contains(all, v.AsString()):
			b.r.At(item.Range(), "%s: %q stands twice", name, v.AsString())
		default:
			all, places = append(all, v.AsString()), append(places, item.Range())
		}
	}
	return all, places
}

// At is where an attribute's value stands; the block's head where it is not told.
func (b *Block) At(name string) hcl.Range {
	if a := b.attrs[name]; a != nil {
		return a.Expr.Range()
	}
	return b.Where
}

// Nearest suggests the known name that a misspelt one is likely to mean.
func Nearest(name string, among []string) string {
	best, least := "", 3
	for _, a := range among {
		if d := distance(name, a); d < least {
			best, least = a, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// distance is Levenshtein's.
func distance(a, b string) int {
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
