// Package history owns what the lab observes: events with their time, in order, bounded. Emulators and hosts write
// them, the checker and reports read them. It must never check rules, and never ask a balancer for its view.
package history

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Kind says what kind of event it is.
type Kind uint8

// The kinds of event, with the fields of Event that each fills.
const (
	RequestSent      Kind = iota // a client's OPEN is written to an accepted connection; Len: its outer limit
	AnswerReceived               // a client has read a final answer; Text: up, busy, err; N: the receipt of an up
	ClientClosed                 // a client has ended its connection by itself
	ConnectionEnded              // a client has seen the end of its connection; Text: end or reset
	MigrateReceived              // a client has read MOVE
	AttemptReceived              // a server has read a first line to its end; Len: since its first byte; Text: the key, on sockets
	EffectApplied                // the effect of a session at its server; Number: the receipt
	AttemptEnded                 // an attempt or session has ended at its server; Text: refused, server (ended there) or peer
	BalancerNotified             // the list with a server's state was written to a balancer; Text: ready, draining or gone
	ServerStarted                // a server's process; N: connections that fill it; Text: cold or warm
	ServerStopped                // it, or the way to it, answers nothing more; Text: crash, vanish, stop, link
	ServerOverloaded             // it was pushed over
	BalancerStarted              // a balancer's process
	BalancerKilled               // it was killed outright
	LineDelayed                  // a line came late to its client; Len: how long it was on its way
	Note                         // anything for the reader of the log; Text
)

var kindNames = [...]string{"taken", "answered", "left", "ended", "moved", "sent", "ran", "over", "told", "started", "stopped",
	"fell", "begun", "killed", "held", "noted"}

func (w Kind) String() string { return kindNames[w] }

// Event is one of them. Balancer and Server are indices, -1 where none is meant; times count from the run's start.
type Event struct {
	At       time.Duration
	Duration time.Duration
	Session  uint64
	Number   float64
	Text     string
	Balancer int32
	Server   int32
	Class    int16
	Kind     Kind
}

// Log collects the events of many writers. It is bounded: beyond that events are dropped, and Dropped counts them.
type Log struct {
	mu     sync.Mutex
	events []Event
	most   int
	lost   int
}

// New makes a log of so many events at most.
func New(most int) *Log { return &Log{most: most} }

// Add takes an event.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) >= l.most {
		l.lost++
		return
	}
	l.events = append(l.events, e)
}

// Events returns what has come so far, by time and, at one time, in the order it came.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.events)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Dropped returns the number of events that found no room; a run with any can't be checked.
func (l *Log) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// Write writes events as lines of text, the same for the same events.
func Write(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	for _, e := range events {
		_, _ = fmt.Fprintf(out, "%d %s b%d s%d c%x g%d %d %g %s\n",
			e.At.Nanoseconds(), e.Kind, e.Balancer, e.Server, e.Session, e.Class, e.Duration.Nanoseconds(), e.Number, e.Text)
	}
	return out.Flush()
}
