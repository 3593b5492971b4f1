package rrdemo

import (
	"bytes"
	"strings"
	"testing"
)

func TestShow(t *testing.T) {
	var out, logs bytes.Buffer
	d := New(&out)
	d.Logs = &logs
	if err := d.Show(t.Context()); err != nil {
		t.Errorf("got %v and\n%s\nlogs\n%s", err, out.String(), logs.String())
	}
	for _, want := range []string{"Preset peak is version 1", "RESPONSE÷IDEAL", "No task started twice"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got %s, want it to contain %q", out.String(), want)
		}
	}
}
