// This file renders a report as an HTML page with plots.

package report

import (
	"bytes"
	"fmt"
	"html/template"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// curves are the plots of a page. Each shows a value over time, with one line for each arm: the mean over its seeds.
var curves = []struct {
	title, unit string
	value       func(Point) float64 // NaN if a second has no value
}{
	{"Served, of what was asked for", "part", func(p Point) float64 {
		if p.Requested == 0 {
			return math.NaN()
		}
		return math.Min(1, p.Served/p.Requested)
	}},
	{"Established sessions", "sessions", func(p Point) float64 { return p.Open }},
	{"Load of the busiest ready server", "of its capacity", func(p Point) float64 { return p.Worst }},
	{"Set-ups", "a second", func(p Point) float64 { return p.Setups }},
	{"Rejections and moves", "a second", func(p Point) float64 { return p.Rejections + p.Migrations }},
}

// meanSeries returns the mean of a value over an arm's runs, by second. Seconds in which no run has a value are left out.
func (r *Report) meanSeries(arm string, value func(Point) float64) plotter.XYs {
	sum, count := map[int]float64{}, map[int]float64{}
	last := 0
	for _, run := range r.Runs {
		if run.Arm != arm {
			continue
		}
		for _, p := range run.Series {
			at := int(math.Round(p.At))
			if v := value(p); !math.IsNaN(v) && !math.IsInf(v, 0) {
				sum[at] += v
				count[at]++
				last = max(last, at)
			}
		}
	}
	var series plotter.XYs
	for at := range last + 1 {
		if count[at] > 0 {
			series = append(series, plotter.XY{X: float64(at), Y: sum[at] / count[at]})
		}
	}
	return series
}

// plot draws curve i, with a line for each arm, as SVG.
func (r *Report) plot(i int) (template.HTML, error) {
	curve := curves[i]
	p := plot.New()
	p.Title.Text = curve.title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = curve.unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, arm := range r.Arms {
		points := r.meanSeries(arm.Name, curve.value)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(arm.Name, line)
	}
	canvas := vgsvg.New(7*vg.Inch, 2.8*vg.Inch)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start > 0 { // an HTML page must not contain the XML declaration
		text = text[start:]
	}
	return template.HTML(text), nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.R.Name}}</title>
<style>
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; } th, td { border: 1px solid #bbb; padding: .25em .6em; text-align: right; }
th:first-child, td:first-child { text-align: left; } .kept { color: #176b1d; } .broken { color: #a31515; } svg { max-width: 100%; height: auto; }
.dim { color: #666; font-size: .85em; }
</style></head><body>
<h1>{{.R.Name}}</h1><p>{{.R.Title}}</p>
<p class="dim">{{.R.Mode}}, {{.R.Made.Format "2006-01-02 15:04:05 MST"}}, {{.R.Cores}} cores. Made by: <code>{{.R.Command}}</code></p>
<table><tr><th>figure</th>{{range .R.Arms}}<th>{{.Name}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
<p class="dim">Means over the seeds; in brackets the ratio to the first arm at the same seed, and its least and most.</p>
{{range .Plots}}{{.}}
{{end}}
<h2>Verdicts</h2><ul>
{{range .R.Runs}}<li class="{{if .Kept}}kept{{else}}broken{{end}}">{{.Arm}}, seed {{.Seed}}: {{.Verdict}}{{if .Broken}}<ul>{{range .Broken}}<li>{{.}}</li>{{end}}</ul>{{end}}</li>
{{end}}</ul></body></html>
`))

// page returns the report as an HTML page without external resources.
func (r *Report) page() ([]byte, error) {
	type row struct {
		Name  string
		Cells []string
	}
	data := struct {
		R     *Report
		Rows  []row
		Plots []template.HTML
	}{R: r}
	for i, f := range figures {
		line := row{Name: f.name}
		hasValue := false
		for _, a := range r.Arms {
			hasValue = hasValue || a.Figures[i].Mean != 0
			line.Cells = append(line.Cells, a.Figures[i].text())
		}
		if hasValue {
			data.Rows = append(data.Rows, line)
		}
	}
	kept := row{Name: "rules kept"}
	for _, a := range r.Arms {
		kept.Cells = append(kept.Cells, fmt.Sprintf("%d of %d", a.Kept, a.Runs))
	}
	data.Rows = append(data.Rows, kept)
	for i := range curves {
		p, err := r.plot(i)
		if err != nil {
			return nil, err
		}
		data.Plots = append(data.Plots, p)
	}
	var out bytes.Buffer
	err := pageTemplate.Execute(&out, data)
	return out.Bytes(), err
}
