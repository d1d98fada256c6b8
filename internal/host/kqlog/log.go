package kqlog

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// Log writes messages that start with the fixed prefix of one component.
type Log struct {
	out    *log.Logger
	prefix string
	sink   *sink
}

// Flush waits until all lines logged so far are written, at most 200 ms.
func (l *Log) Flush() {
	if l.sink != nil {
		l.sink.flush()
	}
}

// Dropped returns how many lines were discarded because the output is read
// too slowly.
func (l *Log) Dropped() int64 {
	if l.sink == nil {
		return 0
	}
	return l.sink.droppedLines()
}

// Stdout is the path that stands for standard output.
const Stdout = "-"

// Open returns the log of the host. An empty path means standard error, Stdout
// standard output; an empty level means info. Logging never blocks on the output.
func Open(host, level, path string) (*Log, error) {
	var w io.Writer = os.Stderr
	if path == Stdout {
		w = os.Stdout
	} else if path != "" {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		w = f
	}
	if level == "" {
		level = "info"
	}
	sink := newSink(w)
	out := &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("host", host).Value(),
		Writer:     &log.IOWriter{Writer: sink},
	}
	return &Log{out: out, sink: sink}, nil
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	return &Log{out: &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}}
}

// To returns a log that writes each line to w before it goes on; w must be safe for
// concurrent use.
func To(w io.Writer) *Log {
	return &Log{out: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w}}}
}

// Component returns a log whose messages start with the name of the component.
func (l *Log) Component(name string) *Log {
	return &Log{out: l.out, prefix: name + ": ", sink: l.sink}
}

// Info starts a structured line; it returns nil if the level is disabled.
func (l *Log) Info() *log.Entry {
	return l.out.Info()
}

// Warn starts a structured line at the warning level; it returns nil if the level is
// disabled.
func (l *Log) Warn() *log.Entry {
	return l.out.Warn()
}

// Debugf logs details for developers.
func (l *Log) Debugf(format string, args ...any) {
	l.out.Debug().Msgf(l.prefix+format, args...)
}

// Infof logs normal operation for operators.
func (l *Log) Infof(format string, args ...any) {
	l.out.Info().Msgf(l.prefix+format, args...)
}

// Warnf logs a fault after which the component continues.
func (l *Log) Warnf(format string, args ...any) {
	l.out.Warn().Msgf(l.prefix+format, args...)
}

// Errorf logs a fault that stops a component.
func (l *Log) Errorf(format string, args ...any) {
	l.out.Error().Msgf(l.prefix+format, args...)
}
