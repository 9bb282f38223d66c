package scale

import (
	"fmt"
	"slices"
)

// Spread is the distribution of the balancers' connections over the control processes.
type Spread struct {
	Least   int // connections of the control process that has least
	Most    int // connections of the control process that has most
	Allowed int // highest value of Most that is still even
	Mean    float64
}

// NewSpread returns the spread for the numbers of connections of all control processes that run. It is even if none has more than twice the mean
// plus ten: the numbers differ by design, as balancers prefer their own region and connect to control processes of different zones.
func NewSpread(connections []int) Spread {
	if len(connections) == 0 {
		return Spread{}
	}
	sum := 0
	for _, n := range connections {
		sum += n
	}
	mean := float64(sum) / float64(len(connections))
	return Spread{Least: slices.Min(connections), Most: slices.Max(connections), Mean: mean, Allowed: int(2*mean) + 10}
}

// WithinAllowed reports whether no control process has too many connections.
func (s Spread) WithinAllowed() bool { return s.Most <= s.Allowed }

func (s Spread) String() string {
	return fmt.Sprintf("%d to %d connections at a control process, %.1f on the mean, %d allowed", s.Least, s.Most, s.Mean, s.Allowed)
}
