package policy

import (
	"slices"
	"testing"
	"time"
)

// Many come to one of 300 balancers while the store answers nobody: it may turn most away, but not all for four seconds on end, or
// it never learns that the trouble is over. Who few come to may wait longer, so that all together do not keep the store down.
func TestABalancerThatManyComeToDoesNotTurnAllAwayForLong(t *testing.T) {
	type out struct {
		Decision
		try int
		at  time.Duration
	}
	for _, c := range []struct {
		name  string
		every time.Duration
		how   Outcome
	}{
		{"eight a second, time-outs", 125 * ms, TimedOut},
		{"eight a second, failures", 125 * ms, Failed},
		{"forty a second, time-outs", 25 * ms, TimedOut},
	} {
		d := deployment()
		d.Balancers = 300
		b := started(d, fleet(30))
		var due []out // tries
		tried := map[SessionID]int{}
		var tries []time.Duration
		turned, worst, since := 0, 0, time.Duration(0)
		const lasts = 60 * time.Second
		id := SessionID(1)
		for now := time.Duration(0); now < lasts; now += 5 * ms {
			b.AdvanceClock(now)
			due = slices.DeleteFunc(due, func(o out) bool {
				if o.at <= now {
					b.AttemptEnded(o.Session, o.try, false, c.how)
				}
				return o.at <= now
			})
			if now%c.every == 0 {
				b.AddSession(SessionRequest{ID: id, Key: uint64(id), Timeout: 2 * time.Second})
				id++
			}
			for _, d := range pull(b) {
				switch d.Action {
				case StartAttempt:
					tries = append(tries, now)
					due = append(due, out{d, tried[d.Session], now + d.Duration})
					tried[d.Session]++
					turned, since = 0, now
				case Reject:
					if turned++; turned >= 15 && now-since >= 4*time.Second {
						worst = max(worst, int((now-since)/time.Millisecond))
					}
				}
			}
		}
		if worst > 0 {
			t.Errorf("%s: turned all away for %d ms, 15 or more", c.name, worst)
		}
		// A brake it stays: a try a second at the most, once it is on.
		const on = 10 * time.Second
		from, _ := slices.BinarySearch(tries, on)
		if n, most := len(tries)-from, int((lasts-on)/time.Second); n > most {
			t.Errorf("%s: %d tries in %v while none comes to stand, at most %d are wanted", c.name, n, lasts-on, most)
		}
	}
}
