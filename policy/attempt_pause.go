package policy

import "time"

const (
	minPausePerBalancer = 10 * time.Millisecond // shortest pause of a large deployment, divided by its number of balancers
	maxPauseMultiple    = 10                    // longest pause as a multiple of the shortest one
)

// attemptPause suspends the attempts of a balancer in a large deployment after one has timed out. Without it, an
// overloaded system behind the endpoints would work only for sessions that have already given up. The pause
// doubles with each further timeout.
type attemptPause struct {
	minLength  time.Duration // shortest pause; 0 in a small deployment, where the retry budget suffices
	lastLength time.Duration // length of the newest pause before jitter, halved by each fast setup since
	until      time.Duration // end of the newest pause
}

// minPauseLength returns the shortest pause, which grows with the number of balancers. It is 0 in a small
// deployment, where that pause would be shorter than the setup objective of a class.
func minPauseLength(config *Config) time.Duration {
	minPause := time.Duration(config.Balancers) * minPausePerBalancer
	for _, class := range config.Classes {
		if minPause < class.SetupObjective {
			return 0
		}
	}
	return minPause
}

// attemptPauseDisabled reports whether attempts are never paused, as in a small deployment: its balancers are so few that
// each sees enough attempts to rely on its own counts.
func (b *Balancer) attemptPauseDisabled() bool { return b.pause.minLength == 0 }

// pauseAttempts starts a pause that is twice as long as the previous one, within the limits.
func (b *Balancer) pauseAttempts() {
	b.pause.lastLength = min(max(2*b.pause.lastLength, b.pause.minLength), maxPauseMultiple*b.pause.minLength)
	b.pause.until = b.now + b.random.jitter(b.pause.lastLength)
}

// end ends the pause that is in progress, if there is one.
func (p *attemptPause) end(now time.Duration) { p.until = min(p.until, now) }

// shorten halves the length from which the next pause is computed.
func (p *attemptPause) shorten() {
	p.lastLength /= 2
	if p.lastLength < p.minLength {
		p.lastLength = 0
	}
}
