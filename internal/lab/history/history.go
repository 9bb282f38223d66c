// Package history records the events that the testbed observes, in a log of bounded size. Emulators and hosts write events, the checker
// and reports read them. It must never check rules, and never ask a balancer for its view.
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

// Kind is a kind of event.
type Kind uint8

// The kinds of event. Capitalized words after the semicolons are the fields of Event that the kind uses, beside At and the identifiers.
const (
	RequestSent      Kind = iota // a client has written its first line to an accepted connection; Duration: its deadline
	AnswerReceived               // a client has read a final answer; Text: up, busy or err; Number: the receipt of an up
	ClientClosed                 // a client has closed its connection
	ConnectionEnded              // a client has observed the end of its connection; Text: end or reset
	MigrateReceived              // a client has read MOVE
	AttemptReceived              // a server has read a complete first line; Duration: time since its first byte; Text: the key, on sockets
	EffectApplied                // a session has taken effect at its server; Number: the receipt
	AttemptEnded                 // an attempt or session has ended at its server; Text: refused, failed, server or peer (who ended it)
	BalancerNotified             // a list with a server's state was written to a balancer; Text: ready, draining or gone
	ServerStarted                // a server's process has started; Number: connections that fill it; Text: cold or warm
	ServerStopped                // a server, or the link to it, has stopped answering; Text: crash, vanish, stop or link
	ServerOverloaded             // a cold server was overloaded and has failed
	BalancerStarted              // a balancer's process has started
	BalancerKilled               // a balancer was killed; Text: why (planned: at the end of a planned restart)
	LineDelayed                  // a line has reached its client late; Duration: its time in transit
	Note                         // a note for readers of the log; Text
)

// kindNames are the names of the kinds in written logs.
var kindNames = [...]string{"taken", "answered", "left", "ended", "moved", "sent", "ran", "over", "told", "started", "stopped",
	"fell", "begun", "killed", "held", "noted"}

// String returns the name of the kind in written logs.
func (k Kind) String() string { return kindNames[k] }

// Event is one observation. Balancer and Server are indices, or -1 for none; At is the time since the start of the run.
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

// Log collects events; it is safe for concurrent use. Events beyond its capacity are dropped and counted.
type Log struct {
	mu       sync.Mutex
	events   []Event
	capacity int
	dropped  int
}

// New returns a log for a number of events.
func New(capacity int) *Log { return &Log{capacity: capacity} }

// Add adds an event.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) >= l.capacity {
		l.dropped++
		return
	}
	l.events = append(l.events, e)
}

// Events returns the events so far, sorted by time; events of the same time are in the order in which they were added.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.events)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Dropped returns the number of dropped events. A run with dropped events cannot be checked.
func (l *Log) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Write writes events as lines of text. The same events always give the same text.
func Write(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	for _, e := range events {
		_, _ = fmt.Fprintf(out, "%d %s b%d s%d c%x g%d %d %g %s\n",
			e.At.Nanoseconds(), e.Kind, e.Balancer, e.Server, e.Session, e.Class, e.Duration.Nanoseconds(), e.Number, e.Text)
	}
	return out.Flush()
}
