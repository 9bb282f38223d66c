package main

import (
	"bytes"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/cluster"
)

// suspend stops a process and waits until each of its threads is stopped: a signal is only queued when it is sent, and
// on a busy machine a thread runs on for milliseconds.
func suspend(t *testing.T, p *cluster.Process) {
	t.Helper()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); !isSuspended(t, p.Pid()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("process %d is not stopped by SIGSTOP", p.Pid())
		}
	}
}

// isSuspended reports whether every thread of a process is stopped, by the state that /proc shows.
func isSuspended(t *testing.T, pid int) bool {
	t.Helper()
	threads := fmt.Sprintf("/proc/%d/task", pid)
	entries, err := os.ReadDir(threads)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		stat, err := os.ReadFile(fmt.Sprintf("%s/%s/stat", threads, entry.Name()))
		if err != nil {
			continue // the thread has just ended
		}
		_, afterName, found := bytes.Cut(stat[bytes.LastIndexByte(stat, ')'):], []byte(" "))
		if !found || afterName[0] != 'T' {
			return false
		}
	}
	return true
}
