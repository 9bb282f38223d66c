// Command rig2 plays the cases of the second independent review. Each case starts the project's own programs, with stand-ins for clients,
// servers and the platform, and judges one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// brokenError says how the rule was broken.
type brokenError struct{ how string }

func (e *brokenError) Error() string { return e.how }

func broken(format string, args ...any) error { return &brokenError{fmt.Sprintf(format, args...)} }

// run is what a case is given.
type run struct {
	rec     *recorder
	tmp     string // temporary folder
	trouble bool   // whether the disruption happens
}

var cases = map[string]func(*run) error{}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	tmp, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(tmp) }()
	}
	defer killAll()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](&run{rec: rec, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0"}) }()
	select {
	case err = <-done:
	case s := <-ended:
		err = fmt.Errorf("ended by a signal: %v", s)
	case <-time.After(caseTimeout):
		err = errors.New("the case takes too long")
	}
	var b *brokenError
	switch {
	case err == nil:
		rec.add("verdict: the rule held")
		return exitHeld
	case errors.As(err, &b):
		rec.add("verdict: the rule was broken: %s", b.how)
		return exitBroken
	}
	rec.add("verdict: the case could not run: %v", err)
	return exitNotRun
}
