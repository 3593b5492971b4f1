// Package rrlog creates the loggers of a process.
package rrlog

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Options choose what is logged and how.
type Options struct {
	Level  string // minimum level: debug, info, warn or error; any other value means info
	Format string // json; any other value means logfmt
}

// New returns a logger that writes whole lines to w and is safe for concurrent
// use. It drops lines below the level.
func New(w io.Writer, o Options) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	if o.Format == "json" {
		logger = log.NewJSONLogger(log.NewSyncWriter(w))
	}
	logger = level.NewFilter(logger, levelOption(o.Level))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}

func levelOption(name string) level.Option {
	switch name {
	case "debug":
		return level.AllowDebug()
	case "warn":
		return level.AllowWarn()
	case "error":
		return level.AllowError()
	}
	return level.AllowInfo()
}

// WithRequestID returns a logger that adds the request ID to each line.
func WithRequestID(logger log.Logger, id string) log.Logger {
	return log.With(logger, "request", id)
}
