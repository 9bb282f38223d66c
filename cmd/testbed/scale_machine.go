package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// residentMB is the memory that a process holds.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / megabyte
}

// machineMemory is what this machine has and what is free now.
func machineMemory() (total, available float64, err error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(f[1], 64)
		switch f[0] {
		case "MemTotal:":
			total = kb * 1024 / megabyte
		case "MemAvailable:":
			available = kb * 1024 / megabyte
		}
	}
	return total, available, nil
}

// openFiles is how many descriptors a process may have.
func openFiles() (int, error) {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0, err
	}
	return int(min(l.Cur, 1<<30)), nil
}
