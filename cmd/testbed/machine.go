package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

const megabyte = 1e6 // bytes

// residentMB returns the resident memory of a process in MB, or 0 if it cannot be read.
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

// machineMemory returns the total and the available memory of this machine, in MB.
func machineMemory() (total, available float64, err error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kibibytes, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "MemTotal:":
			total = kibibytes * 1024 / megabyte
		case "MemAvailable:":
			available = kibibytes * 1024 / megabyte
		}
	}
	return total, available, nil
}

// openFileLimit returns the soft limit of open descriptors of this process.
func openFileLimit() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return int(min(limit.Cur, 1<<30)), nil // RLIM_INFINITY does not fit an int
}

// processIOBytes returns the number of bytes that a process has read and written, over files and connections alike.
func processIOBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, err
	}
	var total int64
	for line := range strings.Lines(string(text)) {
		for _, prefix := range []string{"rchar:", "wchar:"} {
			if rest, found := strings.CutPrefix(line, prefix); found {
				count, _ := strconv.ParseInt(strings.TrimSpace(rest), 10, 64)
				total += count
			}
		}
	}
	return total, nil
}
