// This file owns the first kind of holding: words, which is what operators said of a balancer. A word is one record under the
// balancer's name; the last one said is the one that holds, in the order in which the holders took them.

package fleet

import (
	"crypto/rand"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/replication"
)

const (
	wordTry   = 2 * time.Second // one try to have a word held, or to hear one
	wordAgain = time.Second     // after a try that nobody answered
	wordTries = 30
)

// AdminState is what operators said.
type AdminState struct {
	OutOfService bool   `json:"out"` // of service
	SetAt        int64  `json:"at"`  // Unix seconds, by the clock of the balancer that was told
	SetBy        string `json:"by"`  // the member that was told
}

func wordKey(name string) string { return "word/" + name }

// SetAdminState has the fleet hold a word about a balancer, beside the caller. It goes on trying until holders have it or a later word
// is said; what came of it is logged.
func (f *Fleet) SetAdminState(name string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.said++
	number := f.said
	f.all.Add(1)
	go func() {
		defer f.all.Done()
		f.say(name, number, AdminState{OutOfService: out, SetAt: time.Now().Unix()})
	}()
}

func (f *Fleet) say(name string, number int, w AdminState) {
	key, version := wordKey(name), uint64(0)
	for try := range wordTries {
		if try > 0 && !f.rest(wordAgain) || f.overtaken(number) {
			return
		}
		h, self := f.holding()
		if h == nil {
			continue
		}
		w.SetBy = self
		text, err := json.Marshal(w)
		if err != nil {
			panic(err) // plain values
		}
		op := replication.Operation{ID: rand.Text(), Key: key, ExpectedVersion: version, Value: text, CreatedAt: w.SetAt}
		for range wordTries { // another word may come between
			r := f.ask(op)
			if r.Outcome == replication.OutcomeCommitted {
				f.log.Info("fleet: word is held", zap.String("of", name), zap.Bool("out", w.OutOfService), zap.Uint64("version", r.Record.Version))
				return
			}
			if r.Outcome != replication.OutcomeConflict || f.overtaken(number) {
				break
			}
			if version = r.Record.Version; r.Record.Deleted {
				version = 0
			}
			op.ID, op.ExpectedVersion = rand.Text(), version
		}
	}
	f.log.Error("fleet: word is not held: it dies with this process", zap.String("of", name), zap.Bool("out", w.OutOfService))
}

// LoadAdminState asks for the last word about a balancer and hands it on, once: as soon as it is heard, and false where none was said.
// Where nobody answers it goes on asking, and a word that is heard late is handed on late.
func (f *Fleet) LoadAdminState(name string, within time.Duration, heard func(out bool)) {
	f.all.Add(1)
	go func() {
		defer f.all.Done()
		began := time.Now()
		for range wordTries {
			if h, _ := f.holding(); h != nil {
				r := f.ask(replication.Operation{ID: rand.Text(), Key: wordKey(name), ReadOnly: true})
				if r.Outcome == replication.OutcomeConflict {
					var w AdminState
					if len(r.Record.Value) > 0 && !r.Record.Deleted {
						if err := json.Unmarshal(r.Record.Value, &w); err != nil {
							f.log.Error("fleet: a word that can't be read", zap.String("of", name), zap.Error(err))
						}
					}
					f.log.Info("fleet: word is heard", zap.String("of", name), zap.Bool("out", w.OutOfService), zap.Uint64("version", r.Record.Version),
						zap.Duration("after", time.Since(began)), zap.Bool("late", time.Since(began) > within))
					heard(w.OutOfService)
					return
				}
			}
			if !f.rest(wordAgain / 5) {
				return
			}
		}
		f.log.Error("fleet: no word is heard: nobody who holds it has answered", zap.String("of", name))
	}()
}

// ask waits for one operation.
func (f *Fleet) ask(op replication.Operation) replication.Result {
	h, _ := f.holding()
	out := make(chan replication.Result, 1)
	h.Submit(op, wordTry, func(r replication.Result) { out <- r })
	select {
	case r := <-out:
		return r
	case <-f.over:
		return replication.Result{Outcome: replication.OutcomeUnknown}
	}
}

// rest waits, false where this part has ended meanwhile.
func (f *Fleet) rest(d time.Duration) bool {
	select {
	case <-f.over:
		return false
	case <-time.After(d):
		return true
	}
}

func (f *Fleet) overtaken(number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return number != f.said
}
