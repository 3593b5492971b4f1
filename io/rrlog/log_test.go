package rrlog

import (
	"strings"
	"testing"

	"github.com/go-kit/log/level"
)

func TestNew(t *testing.T) {
	tests := []struct {
		o     Options
		want  []string // parts of the output
		lines int
	}{
		{Options{}, []string{"level=info ts=", "request=r1 msg=taken"}, 2},
		{Options{Level: "error"}, []string{"level=error"}, 1},
		{Options{Level: "debug", Format: "json"}, []string{`"level":"debug"`, `"request":"r1"`}, 3},
	}
	for _, tt := range tests {
		var b strings.Builder
		logger := WithRequestID(New(&b, tt.o), "r1")
		level.Debug(logger).Log("msg", "seen")
		level.Info(logger).Log("msg", "taken")
		level.Error(logger).Log("msg", "lost")
		got := b.String()
		if n := strings.Count(got, "\n"); n != tt.lines {
			t.Errorf("%+v: got %d lines, want %d", tt.o, n, tt.lines)
		}
		for _, want := range tt.want {
			if !strings.Contains(got, want) {
				t.Errorf("%+v: got %q, want it to hold %q", tt.o, got, want)
			}
		}
	}
}
