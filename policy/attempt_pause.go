package policy

import "time"

const (
	pauseUnitPerBalancer = 10 * time.Millisecond // shortest pause, for each balancer of the deployment
	maxPauseUnits        = 10                    // longest pause
)

// attemptPause keeps a balancer of a large deployment from attempts after one has timed out: what is
// overloaded behind the endpoints would otherwise work only for sessions that have given up. The pause doubles with each further time-out.
type attemptPause struct {
	unit   time.Duration // 0 in a small deployment, where the retry budget suffices
	length time.Duration // of the newest pause
	until  time.Duration
}

// pauseUnit returns the shortest pause, 0 for a deployment so small that it is below all setup objectives.
func pauseUnit(config *Config) time.Duration {
	unit := time.Duration(config.Balancers) * pauseUnitPerBalancer
	for _, class := range config.Classes {
		if unit < class.SetupObjective {
			return 0
		}
	}
	return unit
}

// isSmallDeployment reports whether each balancer sees enough attempts to rely on its own counts.
func (b *Balancer) isSmallDeployment() bool { return b.pause.unit == 0 }

// pauseAttempts begins a pause, twice as long as the one before.
func (b *Balancer) pauseAttempts() {
	b.pause.length = min(max(2*b.pause.length, b.pause.unit), maxPauseUnits*b.pause.unit)
	b.pause.until = b.now + b.random.jitter(b.pause.length)
}

func (p *attemptPause) end(now time.Duration) { p.until = min(p.until, now) }

// shorten halves the next pause.
func (p *attemptPause) shorten() {
	p.length /= 2
	if p.length < p.unit {
		p.length = 0
	}
}
