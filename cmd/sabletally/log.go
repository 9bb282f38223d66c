package main

import (
	"bytes"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	logLevelVariable = "SABLETALLY_LOG" // environment variable with the lowest level that is logged
	// maxLinesPerMessage bounds the log lines per second with the same message, except at debug level, so that clients can't fill the
	// log. Counters record how often the events occurred.
	maxLinesPerMessage = 10
)

// loggers holds the process's loggers, which write JSON lines to standard error.
type loggers struct {
	log *zap.Logger
	// requested writes what operators have asked for. Its lines are not limited in number.
	requested *zap.Logger
}

// newLoggers returns loggers at the level that the environment names, info if it names none.
func newLoggers() loggers {
	level, err := zapcore.ParseLevel(os.Getenv(logLevelVariable))
	if err != nil {
		level = zapcore.InfoLevel
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(os.Stderr), level)
	sampled := core
	if level > zapcore.DebugLevel {
		sampled = zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerMessage, 0)
	}
	return loggers{log: zap.New(sampled), requested: zap.New(core)}
}

// named returns loggers whose lines carry a process's name.
func (l loggers) named(name string) loggers {
	field := zap.String("name", name)
	return loggers{log: l.log.With(field), requested: l.requested.With(field)}
}

func (l loggers) sync() { _ = l.log.Sync() } // the error is ignored, as standard error may not support syncing

// libraryLog writes the log output of a library. All its lines have the library's name as message, so that their number is limited like
// that of any other message.
type libraryLog struct {
	log  *zap.Logger
	name string
}

// Write implements io.Writer: it logs a line of the library.
func (l libraryLog) Write(text []byte) (int, error) {
	l.log.Warn(l.name, zap.ByteString("said", bytes.TrimSpace(text)))
	return len(text), nil
}
