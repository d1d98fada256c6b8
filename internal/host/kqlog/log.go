package kqlog

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// Log writes short sentences behind the fixed prefix of one part.
type Log struct {
	out    *log.Logger
	prefix string
	sink   *sink
}

// Flush waits until what was logged is written, but not for long.
func (l *Log) Flush() {
	if l.sink != nil {
		l.sink.flush()
	}
}

// Dropped returns how many lines were left out because the reader is slow.
func (l *Log) Dropped() int64 {
	if l.sink == nil {
		return 0
	}
	return l.sink.droppedLines()
}

// Stdout as a path is standard output.
const Stdout = "-"

// Open returns the log of the host; path empty means stderr, Stdout standard
// output, level empty info. No part ever waits for a line to be written.
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

// Part returns the log of one part; its prefix stands before each sentence.
func (l *Log) Component(name string) *Log {
	return &Log{out: l.out, prefix: name + ": ", sink: l.sink}
}

// Info begins a structured line; nil if the level leaves it out.
func (l *Log) Info() *log.Entry {
	return l.out.Info()
}

// Debugf logs details for developers.
func (l *Log) Debugf(format string, args ...any) {
	l.out.Debug().Msgf(l.prefix+format, args...)
}

// Infof logs what operators may want to know.
func (l *Log) Infof(format string, args ...any) {
	l.out.Info().Msgf(l.prefix+format, args...)
}

// Warnf logs what went wrong and was borne.
func (l *Log) Warnf(format string, args ...any) {
	l.out.Warn().Msgf(l.prefix+format, args...)
}

// Errorf logs what stops a part.
func (l *Log) Errorf(format string, args ...any) {
	l.out.Error().Msgf(l.prefix+format, args...)
}
