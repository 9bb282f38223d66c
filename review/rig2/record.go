package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(dir string) (*recorder, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// add writes one line with the time since the start in seconds.
func (r *recorder) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}
