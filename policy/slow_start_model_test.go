package policy

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartDeployments is the number of random deployments of TestSlowStartOverloadsNoEndpoint.
var slowStartDeployments = flag.Int("cold", 120, "deployments drawn for TestSlowStartOverloadsNoEndpoint; 5000 take two minutes")

// fault is the event that sends sessions to the warming endpoints.
type fault int

const (
	faultGroupsReturn      fault = iota // the members of a few groups reconnect within a second
	faultReconnectWave                  // a third of all clients reconnect within a second
	faultBalancersKilled                // 70% of the balancers are killed, and their clients reconnect within two seconds
	faultEndpointsReplaced              // 60% of the endpoints are replaced within seven seconds
	faultLateLists                      // like faultGroupsReturn, but 30% of the balancers learn two seconds late that endpoints have started
	faultCount
)

func (x fault) String() string {
	return [...]string{"groups return", "reconnect wave", "balancers killed", "endpoints replaced", "late lists"}[x]
}

// slowStartModel is a deployment with simulated endpoints. Their capacity is random and not known to the
// balancers. What they can handle is computed without constants of the package under test.
type slowStartModel struct {
	fault        fault
	uneven       bool // a tenth of the balancers get 70% of the clients
	config       Config
	endpoints    int
	capacity     float64 // capacity of the larger machine type once it is warm, in sessions of mean load
	smallerRatio float64 // capacity of the smaller machine type relative to that of the larger one
	usedFraction float64 // used fraction of the total capacity while all endpoints are warm
	cores        float64 // number of cores of the smaller machine type
	heavyRatio   float64 // load of one session in ten, relative to that of the others
	sigma        float64 // standard deviation of the logarithm of the load within a class
}

func (w slowStartModel) String() string {
	return fmt.Sprintf("%v: %d balancers (uneven %v), %d endpoints of %.1f connections and %.2f times that, %.2f full, %.1f cores, heavy %.1f, sigma %.2f, "+
		"slow start from %.2f for %v, window %v, multiple %.2f", w.fault, w.config.Balancers, w.uneven, w.endpoints, w.capacity, w.smallerRatio, w.usedFraction, w.cores, w.heavyRatio,
		w.sigma, w.config.SlowStartFloor, w.config.SlowStartWindow, w.config.OverloadWindow, w.config.OverloadMultiple)
}

// randomSlowStartModel returns a random deployment. The number of sessions is limited to limit the duration of
// the test.
func randomSlowStartModel(seed uint64) slowStartModel {
	const maxSessions = 6000
	r := rand.New(rand.NewPCG(seed, 1))
	between := func(least, most float64) float64 { return least * math.Pow(most/least, r.Float64()) }
	for {
		w := slowStartModel{
			fault: fault(seed % uint64(faultCount)), uneven: r.IntN(3) == 0, config: *testConfig(), endpoints: int(between(9, 500)),
			capacity: between(4, 800), smallerRatio: between(0.25, 1), usedFraction: between(0.1, 0.8), cores: between(1, 4), heavyRatio: between(1, 30),
			sigma: r.Float64(),
		}
		w.config.Balancers, w.config.CanHealthCheck = int(between(2, 350)), false
		w.config.Classes = append(w.config.Classes, w.config.Classes[0]) // class 1 is that of heavy sessions
		w.config.SlowStartFloor, w.config.OverloadMultiple = between(0.05, 0.4), between(1.5, 4)
		w.config.SlowStartWindow = time.Duration(between(5, 60) * float64(time.Second))
		w.config.OverloadWindow = time.Duration(between(0.5, 6) * float64(time.Second))
		connections := w.usedFraction * w.capacity * float64(w.endpoints)
		windowCapacity := w.windowCapacity(0, w.config.SlowStartWindow/2)
		if connections <= maxSessions && 3 <= w.usedFraction*w.capacity && 1 <= windowCapacity && windowCapacity <= 200 {
			return w
		}
	}
}

// warmCapacity returns the number of sessions of mean load that an endpoint can handle once it is warm. Every
// third endpoint is of the smaller machine type.
func (w slowStartModel) warmCapacity(endpoint int) float64 {
	if endpoint%3 == 2 {
		return w.capacity * w.smallerRatio
	}
	return w.capacity
}

// windowCapacity returns N of the overload rule for an endpoint at an age: OverloadMultiple times the slow-start
// factor times the load in a window if the endpoint is filled evenly over the slow start.
func (w slowStartModel) windowCapacity(endpoint int, age time.Duration) float64 {
	factor := min(1, w.config.SlowStartFloor+(1-w.config.SlowStartFloor)*float64(age)/float64(w.config.SlowStartWindow))
	return w.config.OverloadMultiple * factor * w.warmCapacity(endpoint) * w.config.OverloadWindow.Seconds() / w.config.SlowStartWindow.Seconds()
}

// TestSlowStartOverloadsNoEndpoint guards against balancers that do not coordinate and together overload a
// warming endpoint: none may get more than N + 2*sqrt(N) + 2 in any window, whatever the fault and the
// deployment. It also guards against balancers that keep this limit by sending hardly anything.
func TestSlowStartOverloadsNoEndpoint(t *testing.T) {
	used := make([]float64, *slowStartDeployments) // used fraction of the capacity, by deployment
	t.Run("points", func(t *testing.T) {
		for n := range *slowStartDeployments {
			w := randomSlowStartModel(uint64(n))
			t.Run(fmt.Sprint(n), func(t *testing.T) {
				t.Parallel()
				overload, part := w.run(uint64(n))
				used[n] = part
				if overload != "" {
					t.Errorf("%v: %s", w, overload)
				}
			})
		}
	})
	sum := 0.0
	for _, part := range used {
		sum += part
	}
	mean := sum / float64(*slowStartDeployments)
	t.Logf("warming endpoints got %.3f of their capacity", mean)
	if mean < minUsedCapacity {
		t.Errorf("warming endpoints got %.3f of their capacity: too little to test the limit", mean)
	}
}

// minUsedCapacity is the fraction of their capacity that warming endpoints must get, averaged over all
// deployments.
const minUsedCapacity = 0.05

// modelCoreCapacity is the work of one core in microseconds per second.
const modelCoreCapacity = 1e6
