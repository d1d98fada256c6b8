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
}

// Open returns the log of the host; path empty means stderr, level empty info.
func Open(host, level, path string) (*Log, error) {
	var w io.Writer = os.Stderr
	if path != "" {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		w = f
	}
	if level == "" {
		level = "info"
	}
	out := &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("host", host).Value(),
		Writer:     &log.IOWriter{Writer: w},
	}
	return &Log{out: out}, nil
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	return &Log{out: &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}}
}

// Part returns the log of one part; its prefix stands before each sentence.
func (l *Log) Part(name string) *Log {
	return &Log{out: l.out, prefix: name + ": "}
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
