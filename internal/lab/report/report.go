package report

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Report is an experiment's outcome.
type Report struct {
	Name, Title, Mode string
	Command           string // that made it
	Made              time.Time
	Cores             int // of the machine that made it
	Runs              []Run
	Arms              []Arm
	Kept              bool
}

// Arm is one arm over all seeds.
type Arm struct {
	Name    string
	Kept    int // runs that broke no rule
	Runs    int
	Figures []Figure
}

// Figure is one figure of an arm: its mean over seeds and, seed by seed against the first arm, the ratio.
type Figure struct {
	Name               string
	Mean               float64
	Ratio, Least, Most float64 // 0 where there is none: the first arm, or a figure that is 0 there
}

// figures are what is compared, in the order of the tables.
var figures = []struct {
	name string
	of   func(*Run) float64
}{
	{"served", func(r *Run) float64 { return r.Served }},
	{"worst 10 s", func(r *Run) float64 { return r.Worst }},
	{"set-up p50 ms", func(r *Run) float64 { return r.SetupP50 }},
	{"set-up p99 ms", func(r *Run) float64 { return r.SetupP99 }},
	{"message p50 ms", func(r *Run) float64 { return r.MessageP50 }},
	{"message p99 ms", func(r *Run) float64 { return r.MessageP99 }},
	{"set-ups", func(r *Run) float64 { return float64(r.Setups) }},
	{"nacks", func(r *Run) float64 { return float64(r.Nacks) }},
	{"moves", func(r *Run) float64 { return float64(r.Moves) }},
	{"tries", func(r *Run) float64 { return float64(r.Tries) }},
	{"worst server's load", func(r *Run) float64 { return r.WorstLoad }},
	{"spread of load", func(r *Run) float64 { return r.Spread }},
	{"servers a group", func(r *Run) float64 { return float64(r.GroupServers) / math.Max(1, float64(r.Groups)) }},
	{"balancers' CPU s", func(r *Run) float64 { return r.BalancerCPU }},
	{"balancer MB", func(r *Run) float64 { return r.BalancerMB }},
}

// Summarize fills in the arms from the runs.
func (r *Report) Summarize() {
	r.Arms, r.Kept = nil, true
	var order []string
	by := map[string][]*Run{}
	for i := range r.Runs {
		run := &r.Runs[i]
		if by[run.Arm] == nil {
			order = append(order, run.Arm)
		}
		by[run.Arm] = append(by[run.Arm], run)
		r.Kept = r.Kept && run.Kept
	}
	for n, name := range order {
		a := Arm{Name: name, Runs: len(by[name])}
		for _, run := range by[name] {
			if run.Kept {
				a.Kept++
			}
		}
		for _, f := range figures {
			one := Figure{Name: f.name}
			var ratios []float64
			for _, run := range by[name] {
				v := f.of(run)
				one.Mean += v / float64(a.Runs)
				for _, first := range by[order[0]] {
					if n > 0 && first.Seed == run.Seed && f.of(first) != 0 {
						ratios = append(ratios, v/f.of(first))
					}
				}
			}
			if len(ratios) > 0 {
				one.Least, one.Most = slices.Min(ratios), slices.Max(ratios)
				for _, q := range ratios {
					one.Ratio += q / float64(len(ratios))
				}
			}
			a.Figures = append(a.Figures, one)
		}
		r.Arms = append(r.Arms, a)
	}
}

// Text is the report as a table for a terminal or a page in Markdown.
func (r *Report) Text() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s (%s): %s\n\n| figure |", r.Name, r.Mode, r.Title)
	for _, a := range r.Arms {
		fmt.Fprintf(&out, " %s |", a.Name)
	}
	out.WriteString("\n| --- |" + strings.Repeat(" --- |", len(r.Arms)) + "\n")
	for i, f := range figures {
		if !slices.ContainsFunc(r.Arms, func(a Arm) bool { return a.Figures[i].Mean != 0 }) {
			continue
		}
		fmt.Fprintf(&out, "| %s |", f.name)
		for _, a := range r.Arms {
			fmt.Fprintf(&out, " %s |", a.Figures[i].text())
		}
		out.WriteString("\n")
	}
	out.WriteString("| rules kept |")
	for _, a := range r.Arms {
		fmt.Fprintf(&out, " %d of %d |", a.Kept, a.Runs)
	}
	out.WriteString("\n")
	return out.String()
}

// text is a mean and, where there is one, the ratio to the first arm with its least and most over the seeds.
func (f Figure) text() string {
	mean := fmt.Sprintf("%.3f", f.Mean)
	if f.Mean >= 100 {
		mean = fmt.Sprintf("%.0f", f.Mean)
	} else if f.Mean >= 10 {
		mean = fmt.Sprintf("%.1f", f.Mean)
	}
	switch {
	case f.Ratio == 0:
		return mean
	case f.Most-f.Least < 0.005:
		return fmt.Sprintf("%s (x%.2f)", mean, f.Ratio)
	}
	return fmt.Sprintf("%s (x%.2f, %.2f to %.2f)", mean, f.Ratio, f.Least, f.Most)
}

// Write writes report.json and report.html into a folder, which it makes.
func (r *Report) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), text, 0o644); err != nil {
		return err
	}
	page, err := r.page()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "report.html"), page, 0o644)
}
