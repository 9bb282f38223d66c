package policy

// epsilon is the lower bound of divisors that could be 0.
const epsilon = 1e-9

// averageWindow is the number of samples after which an average starts to forget the oldest ones.
const averageWindow = 128

// average is a mean of samples. The first averageWindow samples count equally; after that it is an exponential
// moving average.
type average struct {
	mean    float64
	samples int // number of samples so far, at most averageWindow
}

func (a *average) add(sample float64) {
	a.samples = min(a.samples+1, averageWindow)
	a.mean += (sample - a.mean) / float64(a.samples)
}
