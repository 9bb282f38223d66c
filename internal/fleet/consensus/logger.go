package consensus

import "fmt"

// discardLogger discards the Raft library's log messages: the packages that make decisions log these themselves. It panics where the
// library expects the process to be terminated.
type discardLogger struct{}

func (discardLogger) Debug(...any)                   {}
func (discardLogger) Debugf(string, ...any)          {}
func (discardLogger) Error(...any)                   {}
func (discardLogger) Errorf(string, ...any)          {}
func (discardLogger) Info(...any)                    {}
func (discardLogger) Infof(string, ...any)           {}
func (discardLogger) Warning(...any)                 {}
func (discardLogger) Warningf(string, ...any)        {}
func (discardLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (discardLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
