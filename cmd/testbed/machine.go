package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

const megabyte = 1e6

// residentMB is the resident memory of a process, 0 if it is not known.
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

// machineMemory is the memory of this machine and the part of it that is available, in MB.
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

// openFiles is the limit of open descriptors of a process.
func openFileLimit() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return int(min(limit.Cur, 1<<30)), nil // an unlimited number does not fit an int
}

// readWrittenBytes is the number of bytes that a process has read and written.
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
