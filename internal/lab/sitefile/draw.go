// Package sitefile draws random deployments for the bench. It takes a site file that is known to work and replaces the figures that
// determine the capacity and the warm-up of servers by figures drawn from a seed. It must never change a file in place, and it does
// not know how a balancer uses the figures.
package sitefile

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Size selects the range from which the number of connections that fill a core is drawn.
type Size string

// The sizes to choose from. AnySize draws one of the other two.
const (
	AnySize   Size = "any"
	SmallSize Size = "small"
	LargeSize Size = "large"
)

// logRange is a range of a figure that is drawn with a log-uniform distribution: equal ratios have equal probabilities.
type logRange struct{ least, most float64 }

// The ranges of the drawn figures, which are wider than those of any single deployment, and the names in the file.
var (
	smallCore        = logRange{2, 16}     // connections that fill a core, for SmallSize
	largeCore        = logRange{16, 400}   // connections that fill a core, for LargeSize
	coldFrom         = logRange{0.05, 0.4} // share of its capacity that a server starts with
	coldSeconds      = logRange{5, 60}     // length of a warm-up, in seconds
	fallMillis       = logRange{500, 6000} // value of fall_ms in the rules: window of the rule, in milliseconds
	fallMultiple     = logRange{1.5, 4}    // value of fall_multiple in the rules
	kindSpeedRatio   = logRange{1, 4}      // ratio between the speeds of the fastest and the slowest machine type
	classLoadRatio   = logRange{1, 30}     // ratio between the loads of the heaviest and the lightest class
	load             = logRange{0.1, 0.7}  // values of the section [load]
	loadSigma        = logRange{0.3, 1}    // value of load_sigma of the classes
	drawnRange       = logRange{0.9, 1.1}  // factors for the ends of the range that stands in the file for a drawn figure
	deploymentPrefix = "drawn"
	kindSection      = "[[tier.kind]]"
	famClassSection  = "[[fam.class]]"
)

// draw draws a figure from the range.
func (s logRange) draw(r *rand.Rand) float64 {
	return s.least * math.Exp(r.Float64()*math.Log(s.most/s.least))
}

// Deployment holds the figures drawn for one deployment.
type Deployment struct {
	name                           string
	perCore, coldFrom, coldSeconds float64
	fallMillis, fallMultiple       float64
	speedRatio, loadRatio, load    float64
	loadSigma                      float64
}

// DrawDeployment draws the figures of a deployment. The same seed and size give the same figures.
func DrawDeployment(seed uint64, size Size) (*Deployment, error) {
	r := rand.New(rand.NewPCG(seed, 1))
	core := smallCore
	switch size {
	case SmallSize:
	case LargeSize:
		core = largeCore
	case AnySize:
		if r.IntN(2) > 0 {
			core = largeCore
		}
	default:
		return nil, fmt.Errorf("unknown size %q", size)
	}
	return &Deployment{
		name:    fmt.Sprintf("%s-%s-%d", deploymentPrefix, size, seed),
		perCore: core.draw(r), coldFrom: coldFrom.draw(r), coldSeconds: coldSeconds.draw(r),
		fallMillis: fallMillis.draw(r), fallMultiple: fallMultiple.draw(r),
		speedRatio: kindSpeedRatio.draw(r), loadRatio: classLoadRatio.draw(r), load: load.draw(r), loadSigma: loadSigma.draw(r),
	}, nil
}

// Apply returns a copy of a site file with the drawn figures in place of its own.
func (d *Deployment) Apply(base []byte) ([]byte, error) {
	var out bytes.Buffer
	section, sectionCounts := "", map[string]int{}
	replaced := map[string]bool{}
	for _, line := range strings.Split(strings.TrimRight(string(base), "\n"), "\n") {
		if strings.HasPrefix(line, "[") {
			section = strings.TrimSpace(line)
			sectionCounts[section]++
		}
		key, _, isValue := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		if isValue && section == "" && key == "stock" { // left out, as it would give the drawn deployment the days of the original one
			continue
		}
		if value := d.value(section, key, sectionCounts[section]); isValue && value != "" {
			line = key + " = " + value
			replaced[key] = true
		}
		fmt.Fprintln(&out, line)
	}
	for _, key := range []string{"name", "per_core", "fall_ms", "fall_multiple", "cold_from", "cold_s"} {
		if !replaced[key] {
			return nil, fmt.Errorf("the site file has no value for %s", key)
		}
	}
	return out.Bytes(), nil
}

// value returns the replacement for the value of a key in the nth section with a name, "" if the value stays.
func (d *Deployment) value(section, key string, nth int) string {
	switch section + key {
	case "name":
		return strconv.Quote(d.name)
	case "[load]quiet", "[load]trouble", "[load]big":
		return formatRange(d.load)
	case "[rules]fall_multiple":
		return formatFigure(d.fallMultiple)
	case "[rules]fall_ms":
		return strconv.Itoa(int(d.fallMillis))
	case "[fam]per_core":
		return formatRange(d.perCore)
	case kindSection + "cold_from":
		return formatRange(d.coldFrom)
	case kindSection + "cold_s":
		return formatRange(d.coldSeconds)
	case kindSection + "speed":
		if nth == 1 {
			return formatRange(math.Sqrt(d.speedRatio))
		}
		return formatRange(1 / math.Sqrt(d.speedRatio))
	case famClassSection + "load":
		if nth == 1 {
			return "1"
		}
		return formatRange(1 / d.loadRatio)
	case famClassSection + "load_sigma":
		return formatRange(d.loadSigma)
	}
	return ""
}

// formatRange returns a range around a figure in the syntax of the file.
func formatRange(middle float64) string {
	return "[" + formatFigure(middle*drawnRange.least) + ", " + formatFigure(middle*drawnRange.most) + "]"
}

// formatFigure returns a figure in the syntax of the file.
func formatFigure(x float64) string { return strconv.FormatFloat(x, 'g', 3, 64) }
