package policy

// epsilon keeps divisors above 0.
const epsilon = 1e-9

// averageWindow is the number of samples over which an average is taken.
const averageWindow = 128

// average is an exponential moving average; the first averageWindow samples count equally.
type average struct {
	mean    float64
	samples int // averageWindow at most
}

func (a *average) add(sample float64) {
	a.samples = min(a.samples+1, averageWindow)
	a.mean += (sample - a.mean) / float64(a.samples)
}
