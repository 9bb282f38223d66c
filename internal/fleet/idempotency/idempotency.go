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
	Keep      = 10 * time.Minute // how long one is held from its first promise on
)

// Key is where the intent of a circuit's id lies.
func Key(id uint64) string { return fmt.Sprintf("intent/%016x", id) }

// Prefix is what all keys of intents begin with.
const Prefix = "intent/"

// state of an intent.
type state string

const (
	meant    state = "meant"    // its owner may write to a server
	answered state = "answered" // Answer is the final answer
	broken   state = "broken"   // somebody asked again while nothing was answered: it may have run, and will not again
	never    state = "never"    // it never ran: whoever asks next may
)

// Intent is a record's value.
type Intent struct {
	State  state  `json:"state"`
	Owner  string `json:"owner"`            // of a circuit, never of another one
	Server string `json:"server,omitempty"` // of the newest try
	Answer []byte `json:"answer,omitempty"`
}

// Verdict on a question.
type Verdict uint8

const (
	Wait     Verdict = iota // for an operation's end
	Go                      // the owner may write
	Same                    // it was answered: Answer is the word
	Broken                  // it is broken off
	CantSay                 // no promise in time: it never ran here
	Promised                // the answer is held
)

// Circuit is one circuit's intent, from its first try to its answer.
type Circuit struct {
	Key     string
	Owner   string
	Born    int64
	version uint64 // of this owner's newest write
	mine    bool
	over    bool // another's word holds
	goal    goal
	next    Intent
	steps   int
	ops     int

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
func New(id uint64, owner string, born int64) *Circuit {
	return &Circuit{Key: Key(id), Owner: owner, Born: born}
}

// Left tells whether an intent of this owner's may be held that nobody will act on: one that is, or one of which it was not heard
// whether it is.
func (c *Circuit) Left() bool { return c.ops > 0 && !c.over }

// Begin asks for the right to write to a server: the first operation of it.
func (c *Circuit) Begin(server string) replication.Op {
	c.goal, c.steps = begin, 0
	c.next = Intent{State: meant, Owner: c.Owner, Server: server}
	return c.op(c.version)
}

// Tell has the final answer held.
func (c *Circuit) Tell(answer []byte) replication.Op {
	c.goal, c.steps = tell, 0
	c.next = Intent{State: answered, Owner: c.Owner, Answer: answer}
	return c.op(c.version)
}

// Withdraw says of an intent that is left that it never ran: the last thing that is asked for a circuit, and nobody waits for it.
// Without it whoever asks again would be told that it may have run.
func (c *Circuit) Withdraw() replication.Op {
	c.goal, c.steps = undo, 0
	c.next = Intent{State: never, Owner: c.Owner}
	if c.mine {
		return c.op(c.version)
	}
	c.ops++ // not known whether it is there: look first
	return replication.Op{ID: fmt.Sprintf("%s.%d", c.Owner, c.ops), Key: c.Key, Read: true}
}

func (c *Circuit) op(version uint64) replication.Op {
	text, err := json.Marshal(c.next)
	if err != nil {
		panic(err) // plain values
	}
	c.ops++
	return replication.Op{ID: fmt.Sprintf("%s.%d", c.Owner, c.ops), Key: c.Key, If: version, Value: text, Born: c.Born}
}

// Ended takes an operation's end: a verdict, or Wait and the next operation.
func (c *Circuit) Ended(r replication.Result) (Verdict, replication.Op) {
	switch r.Outcome {
	case replication.Done:
		switch c.goal {
		case takeOver:
			c.over = true
			return Broken, replication.Op{}
		case undo:
			return CantSay, replication.Op{}
		}
		c.version, c.mine = r.Record.Version, true
		if c.goal == tell {
			return Promised, replication.Op{}
		}
		return Go, replication.Op{}
	case replication.Conflict:
	default:
		return CantSay, replication.Op{}
	}
	c.steps++
	var there Intent
	if r.Record.Gone || r.Record.Version == 0 { // it was held for its time and dropped
		if c.mine || c.steps > stepsMost {
			return CantSay, replication.Op{}
		}
		return Wait, c.op(0)
	}
	if err := json.Unmarshal(r.Record.Value, &there); err != nil || c.steps > stepsMost {
		return CantSay, replication.Op{}
	}
	switch {
	case c.goal == undo && there.Owner == c.Owner && there.State == meant:
		return Wait, c.op(r.Record.Version)
	case c.goal == undo:
		return CantSay, replication.Op{}
	case there.State == answered:
		c.Answer, c.over = there.Answer, true
		return Same, replication.Op{}
	case there.State == broken, c.mine: // another one has taken over what this owner had
		c.over = true
		return Broken, replication.Op{}
	case there.State == never:
		return Wait, c.op(r.Record.Version)
	}
	c.goal = takeOver
	c.next = Intent{State: broken, Owner: c.Owner}
	return Wait, c.op(r.Record.Version)
}
