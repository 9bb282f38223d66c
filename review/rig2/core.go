package main

import (
	"runtime"
	"syscall"
	"unsafe"
)

// coreSet is a set of processors, as the kernel has it.
type coreSet [128]uint64

func (s *coreSet) get() bool {
	_, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(*s), uintptr(unsafe.Pointer(s)))
	return errno == 0
}

func (s *coreSet) set() {
	_, _, _ = syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(*s), uintptr(unsafe.Pointer(s)))
}

// pinToOneCore has the calling thread, and thus the process that it starts next, run on one core: the last one that this process may use.
// The function that it returns undoes that for the thread.
func pinToOneCore() (release func()) {
	runtime.LockOSThread()
	var all coreSet
	if !all.get() {
		return runtime.UnlockOSThread
	}
	var one coreSet
	for word := range all {
		for bit := range 64 {
			if all[word]&(1<<bit) != 0 {
				one = coreSet{}
				one[word] = 1 << bit
			}
		}
	}
	one.set()
	return func() {
		all.set()
		runtime.UnlockOSThread()
	}
}
