// Package report collects the figures of runs, compares arms by ratios and their range over seeds, and writes the JSON file and the HTML
// page that show them. It must never run anything, and never check the rules.
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

// Report is the result of an experiment.
type Report struct {
	Name    string
	Title   string
	Mode    string
	Command string    // command line that made the report
	Made    time.Time // time at which it was made
	Cores   int       // number of cores of the machine that made it
	Runs    []Run
	Arms    []Arm
	Kept    bool // whether no run broke a rule
}

// Arm is the result of one arm over all seeds.
type Arm struct {
	Name    string
	Kept    int // number of runs that broke no rule
	Runs    int // number of runs
	Figures []Figure
}

// Figure is one figure of an arm: its mean over the seeds, and its ratio to the first arm at the same seed. The ratios are 0 for the
// first arm, and for figures that are 0 there.
type Figure struct {
	Name  string
	Mean  float64
	Ratio float64 // mean of the ratios over the seeds
	Least float64 // smallest ratio of a seed
	Most  float64 // largest ratio of a seed
}

// figures are the figures that are compared, in the order of the tables.
var figures = []struct {
	name  string
	value func(*Run) float64
}{
	{"served", func(r *Run) float64 { return r.Served }},
	{"worst 10 s", func(r *Run) float64 { return r.Worst }},
	{"set-up p50 ms", func(r *Run) float64 { return r.SetupP50 }},
	{"set-up p99 ms", func(r *Run) float64 { return r.SetupP99 }},
	{"message p50 ms", func(r *Run) float64 { return r.MessageP50 }},
	{"message p99 ms", func(r *Run) float64 { return r.MessageP99 }},
	{"set-ups", func(r *Run) float64 { return float64(r.Setups) }},
	{"nacks", func(r *Run) float64 { return float64(r.Rejections) }},
	{"moves", func(r *Run) float64 { return float64(r.Migrations) }},
	{"tries", func(r *Run) float64 { return float64(r.Attempts) }},
	{"worst server's load", func(r *Run) float64 { return r.WorstLoad }},
	{"spread of load", func(r *Run) float64 { return r.Spread }},
	{"servers a group", func(r *Run) float64 { return float64(r.GroupServers) / math.Max(1, float64(r.Groups)) }},
	{"balancers' CPU s", func(r *Run) float64 { return r.BalancerCPU }},
	{"balancer MB", func(r *Run) float64 { return r.BalancerMB }},
}

// Summarize computes Arms and Kept from Runs.
func (r *Report) Summarize() {
	r.Arms = nil
	r.Kept = true
	var names []string
	runsByArm := map[string][]*Run{}
	for i := range r.Runs {
		run := &r.Runs[i]
		if runsByArm[run.Arm] == nil {
			names = append(names, run.Arm)
		}
		runsByArm[run.Arm] = append(runsByArm[run.Arm], run)
		r.Kept = r.Kept && run.Kept
	}
	for i, name := range names {
		var reference []*Run
		if i > 0 {
			reference = runsByArm[names[0]]
		}
		r.Arms = append(r.Arms, newArm(name, runsByArm[name], reference))
	}
}

// newArm summarizes the runs of one arm, and compares them with the runs of the reference arm that have the same seed.
func newArm(name string, runs, reference []*Run) Arm {
	arm := Arm{Name: name, Runs: len(runs)}
	for _, run := range runs {
		if run.Kept {
			arm.Kept++
		}
	}
	for _, f := range figures {
		arm.Figures = append(arm.Figures, newFigure(f.name, f.value, runs, reference))
	}
	return arm
}

// newFigure computes one figure of an arm.
func newFigure(name string, value func(*Run) float64, runs, reference []*Run) Figure {
	figure := Figure{Name: name}
	var ratios []float64
	for _, run := range runs {
		v := value(run)
		figure.Mean += v / float64(len(runs))
		for _, other := range reference {
			if other.Seed == run.Seed && value(other) != 0 {
				ratios = append(ratios, v/value(other))
			}
		}
	}
	if len(ratios) == 0 {
		return figure
	}
	figure.Least = slices.Min(ratios)
	figure.Most = slices.Max(ratios)
	for _, ratio := range ratios {
		figure.Ratio += ratio / float64(len(ratios))
	}
	return figure
}

// Text returns the report as a Markdown table.
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

// text returns the mean and, if there is one, the ratio with its range over the seeds, as a cell of a table.
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

// Write writes report.json and report.html to a directory, which it creates if needed.
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
