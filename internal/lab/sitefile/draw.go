// Package sitefile draws deployments for the bench: it takes a site file that is known to work and replaces, by a seed, the
// figures that decide how much a server bears and how fast it warms up. It must never change a file in place, and it knows
// nothing of what a balancer does with the figures.
package sitefile

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Size says how many connections fill a core of the drawn servers.
type Size string

// The sizes that can be asked for.
const (
	AnySize   Size = "any"
	SmallSize Size = "small"
	LargeSize Size = "large"
)

// span is a closed interval that a figure is drawn from, with equal chance for equal ratios.
type span struct{ least, most float64 }

// The intervals, wider than those of any one deployment.
var (
	smallCore       = span{2, 16} // connections that fill a core
	largeCore       = span{16, 400}
	coldFrom        = span{0.05, 0.4} // part of its capacity that a server starts with
	coldSeconds     = span{5, 60}     // length of a warm-up
	fallMillis      = span{500, 6000} // length of the rule's window
	fallMultiple    = span{1.5, 4}
	kindSpeedRatio  = span{1, 4}  // between the fastest and the slowest kind
	classLoadRatio  = span{1, 30} // between the heaviest and the lightest class
	load            = span{0.1, 0.7}
	loadSigma       = span{0.3, 1}
	spreadOfADrawn  = span{0.9, 1.1} // a drawn figure stands in the file as a range this wide
	namePrefix      = "drawn"
	kindSection     = "[[tier.kind]]"
	famClassSection = "[[fam.class]]"
)

func (s span) draw(r *rand.Rand) float64 {
	return s.least * math.Exp(r.Float64()*math.Log(s.most/s.least))
}

// Deployment holds the figures of one drawn deployment.
type Deployment struct {
	name                          string
	perCore, coldFrom, coldFor    float64
	fallMillis, fallMultiple      float64
	speedRatio, loadRatio, demand float64
	sigma                         float64
}

// DrawDeployment draws the figures; the same seed and size give the same figures.
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
		return nil, fmt.Errorf("size %q is not known", size)
	}
	return &Deployment{
		name:    fmt.Sprintf("%s-%s-%d", namePrefix, size, seed),
		perCore: core.draw(r), coldFrom: coldFrom.draw(r), coldFor: coldSeconds.draw(r),
		fallMillis: fallMillis.draw(r), fallMultiple: fallMultiple.draw(r),
		speedRatio: kindSpeedRatio.draw(r), loadRatio: classLoadRatio.draw(r), demand: load.draw(r), sigma: loadSigma.draw(r),
	}, nil
}

// Apply returns a copy of a site file with the drawn figures in place of its own.
func (d *Deployment) Apply(base []byte) ([]byte, error) {
	var out bytes.Buffer
	section, seen := "", map[string]int{}
	replaced := map[string]bool{}
	for _, line := range strings.Split(strings.TrimRight(string(base), "\n"), "\n") {
		if strings.HasPrefix(line, "[") {
			section = strings.TrimSpace(line)
			seen[section]++
		}
		key, _, isValue := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		if isValue && section == "" && key == "stock" { // or the days would be those of the base
			continue
		}
		if value := d.value(section, key, seen[section]); isValue && value != "" {
			line = key + " = " + value
			replaced[key] = true
		}
		fmt.Fprintln(&out, line)
	}
	for _, key := range []string{"name", "per_core", "fall_ms", "fall_multiple", "cold_from", "cold_s"} {
		if !replaced[key] {
			return nil, fmt.Errorf("the site file has no %s", key)
		}
	}
	return out.Bytes(), nil
}

// value is what stands for a key of the nth section of a name, "" where it keeps what it has.
func (d *Deployment) value(section, key string, nth int) string {
	switch section + key {
	case "name":
		return strconv.Quote(d.name)
	case "[load]quiet", "[load]trouble", "[load]big":
		return interval(d.demand)
	case "[rules]fall_multiple":
		return figure(d.fallMultiple)
	case "[rules]fall_ms":
		return strconv.Itoa(int(d.fallMillis))
	case "[fam]per_core":
		return interval(d.perCore)
	case kindSection + "cold_from":
		return interval(d.coldFrom)
	case kindSection + "cold_s":
		return interval(d.coldFor)
	case kindSection + "speed":
		if nth == 1 {
			return interval(math.Sqrt(d.speedRatio))
		}
		return interval(1 / math.Sqrt(d.speedRatio))
	case famClassSection + "load":
		if nth == 1 {
			return "1"
		}
		return interval(1 / d.loadRatio)
	case famClassSection + "load_sigma":
		return interval(d.sigma)
	}
	return ""
}

func interval(middle float64) string {
	return "[" + figure(middle*spreadOfADrawn.least) + ", " + figure(middle*spreadOfADrawn.most) + "]"
}

func figure(x float64) string { return strconv.FormatFloat(x, 'g', 3, 64) }
