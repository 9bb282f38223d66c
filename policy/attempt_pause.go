package policy

import "time"

const (
	minPausePerBalancer = 10 * time.Millisecond // shortest pause, for each balancer of the deployment
	maxPauseMultiple    = 10                    // longest pause
)

// attemptPause keeps a balancer of a large deployment from attempts after one has timed out: what is
// overloaded behind the endpoints would otherwise work only for sessions that have given up. The pause doubles with each further time-out.
type attemptPause struct {
	minLength  time.Duration // 0 in a small deployment, where the retry budget suffices
	lastLength time.Duration // of the newest pause
	until      time.Duration
}

// minPauseLength returns the shortest pause, 0 for a deployment so small that it is below all setup objectives.
func minPauseLength(config *Config) time.Duration {
	minPause := time.Duration(config.Balancers) * minPausePerBalancer
	for _, class := range config.Classes {
		if minPause < class.SetupObjective {
			return 0
		}
	}
	return minPause
}

// isSmallDeployment reports whether each balancer sees enough attempts to rely on its own counts.
func (b *Balancer) isSmallDeployment() bool { return b.pause.minLength == 0 }

// pauseAttempts begins a pause, twice as long as the one before.
func (b *Balancer) pauseAttempts() {
	b.pause.lastLength = min(max(2*b.pause.lastLength, b.pause.minLength), maxPauseMultiple*b.pause.minLength)
	b.pause.until = b.now + b.random.jitter(b.pause.lastLength)
}

func (p *attemptPause) end(now time.Duration) { p.until = min(p.until, now) }

// shorten halves the next pause.
func (p *attemptPause) shorten() {
	p.lastLength /= 2
	if p.lastLength < p.minLength {
		p.lastLength = 0
	}
}
