package main

import (
	"bytes"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	logLevelVariable = "SABLETALLY_LOG"
	// maxEqualLines bounds the lines a second of one kind in the log, so that clients can't fill it. The counters tell how many there
	// were.
	maxEqualLines = 10
)

// newLogger returns a logger to standard error at the level that the environment names; info without one.
func newLogger() *zap.Logger {
	level, err := zapcore.ParseLevel(os.Getenv(logLevelVariable))
	if err != nil {
		level = zapcore.InfoLevel
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(os.Stderr), level)
	if level > zapcore.DebugLevel {
		core = zapcore.NewSamplerWithOptions(core, time.Second, maxEqualLines, 0)
	}
	return zap.New(core)
}

func syncLog(log *zap.Logger) { _ = log.Sync() } // standard error may not support it

// libraryLog is the log of a library, under one name, so that it is bounded like any other kind of line.
type libraryLog struct {
	log  *zap.Logger
	name string
}

// Write logs a line of the library.
func (l libraryLog) Write(text []byte) (int, error) {
	l.log.Warn(l.name, zap.ByteString("said", bytes.TrimSpace(text)))
	return len(text), nil
}
