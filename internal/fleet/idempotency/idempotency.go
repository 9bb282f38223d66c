// Package idempotency decides what a balancer may do with a circuit whose grade is held: before the first byte goes to a server the
// fleet has to hold that it will, and before a success is told, that it was. It is pure: results of operations in, the next operation
// or a word out. It must never let a byte out on an operation whose end is not known, and never let two owners take themselves for
// the one: who takes over writes the old one's end first, in the one order that all holders have.
package idempotency

import (
	"encoding/json"
	"fmt"
	"time"

	"sabletally/internal/fleet/replication"
)

const (
	stepsMost = 6                // operations for one question: each that conflicts tells what is there by now
	RecordTTL = 10 * time.Minute // how long one is held from its first promise on
)

// Key is where the intent of a circuit's id lies.
func Key(id uint64) string { return fmt.Sprintf("intent/%016x", id) }

// KeyPrefix is what all keys of intents begin with.
const KeyPrefix = "intent/"

// state of an intent.
type state string

const (
	meant    state = "meant"    // its owner may write to a server
	answered state = "answered" // Answer is the final answer
	broken   state = "broken"   // somebody asked again while nothing was answered: it may have run, and will not again
	never    state = "never"    // it never ran: whoever asks next may
)

// Record is a record's value.
type Record struct {
	State    state  `json:"state"`
	Owner    string `json:"owner"`            // of a circuit, never of another one
	Endpoint string `json:"server,omitempty"` // of the newest try
	Answer   []byte `json:"answer,omitempty"`
}

// Decision on a question.
type Decision uint8

const (
	Wait        Decision = iota // for an operation's end
	Proceed                     // the owner may write
	Replay                      // it was answered: Answer is the word
	Abandoned                   // it is broken off
	Unavailable                 // no promise in time: it never ran here
	Recorded                    // the answer is held
)

// Claim is one circuit's intent, from its first try to its answer.
type Claim struct {
	Key       string
	Owner     string
	CreatedAt int64
	version   uint64 // of this owner's newest write
	mine      bool
	over      bool // another's word holds
	goal      goal
	next      Record
	steps     int
	ops       int

	Answer []byte // with Same
}

type goal uint8

const (
	begin goal = iota
	takeOver
	tell
	undo
)

// New is a circuit for which nothing was asked yet.
func New(id uint64, owner string, born int64) *Claim {
	return &Claim{Key: Key(id), Owner: owner, CreatedAt: born}
}

// NeedsWithdrawal tells whether an intent of this owner's may be held that nobody will act on: one that is, or one of which it was not heard
// whether it is.
func (c *Claim) NeedsWithdrawal() bool { return c.ops > 0 && !c.over }

// Begin asks for the right to write to a server: the first operation of it.
func (c *Claim) Begin(server string) replication.Operation {
	c.goal, c.steps = begin, 0
	c.next = Record{State: meant, Owner: c.Owner, Endpoint: server}
	return c.op(c.version)
}

// RecordAnswer has the final answer held.
func (c *Claim) RecordAnswer(answer []byte) replication.Operation {
	c.goal, c.steps = tell, 0
	c.next = Record{State: answered, Owner: c.Owner, Answer: answer}
	return c.op(c.version)
}

// Withdraw says of an intent that is left that it never ran: the last thing that is asked for a circuit, and nobody waits for it.
// Without it whoever asks again would be told that it may have run.
func (c *Claim) Withdraw() replication.Operation {
	c.goal, c.steps = undo, 0
	c.next = Record{State: never, Owner: c.Owner}
	if c.mine {
		return c.op(c.version)
	}
	c.ops++ // not known whether it is there: look first
	return replication.Operation{ID: fmt.Sprintf("%s.%d", c.Owner, c.ops), Key: c.Key, ReadOnly: true}
}

func (c *Claim) op(version uint64) replication.Operation {
	text, err := json.Marshal(c.next)
	if err != nil {
		panic(err) // plain values
	}
	c.ops++
	return replication.Operation{ID: fmt.Sprintf("%s.%d", c.Owner, c.ops), Key: c.Key, ExpectedVersion: version, Value: text, CreatedAt: c.CreatedAt}
}

// HandleResult takes an operation's end: a verdict, or Wait and the next operation.
func (c *Claim) HandleResult(r replication.Result) (Decision, replication.Operation) {
	switch r.Outcome {
	case replication.OutcomeCommitted:
		switch c.goal {
		case takeOver:
			c.over = true
			return Abandoned, replication.Operation{}
		case undo:
			return Unavailable, replication.Operation{}
		}
		c.version, c.mine = r.Record.Version, true
		if c.goal == tell {
			return Recorded, replication.Operation{}
		}
		return Proceed, replication.Operation{}
	case replication.OutcomeConflict:
	default:
		return Unavailable, replication.Operation{}
	}
	c.steps++
	var there Record
	if r.Record.Deleted || r.Record.Version == 0 { // it was held for its time and dropped
		if c.mine || c.steps > stepsMost {
			return Unavailable, replication.Operation{}
		}
		return Wait, c.op(0)
	}
	if err := json.Unmarshal(r.Record.Value, &there); err != nil || c.steps > stepsMost {
		return Unavailable, replication.Operation{}
	}
	switch {
	case c.goal == undo && there.Owner == c.Owner && there.State == meant:
		return Wait, c.op(r.Record.Version)
	case c.goal == undo:
		return Unavailable, replication.Operation{}
	case there.State == answered:
		c.Answer, c.over = there.Answer, true
		return Replay, replication.Operation{}
	case there.State == broken, c.mine: // another one has taken over what this owner had
		c.over = true
		return Abandoned, replication.Operation{}
	case there.State == never:
		return Wait, c.op(r.Record.Version)
	}
	c.goal = takeOver
	c.next = Record{State: broken, Owner: c.Owner}
	return Wait, c.op(r.Record.Version)
}
