package rrtrace

import (
	"fmt"
	"strings"
	"testing"
)

func ExampleGather() {
	entry := "level=info ts=2026-01-01T00:00:02Z msg=job id=5c0e outcome=lost\n" +
		"level=info ts=2026-01-01T00:00:02Z msg=job id=5c0e11 outcome=completed\n"
	owner := `{"ts":"2026-01-01T00:00:01Z","msg":"run failed","id":"5c0e"}` + "\n"
	lines, err := Gather("5c0e", strings.NewReader(entry), strings.NewReader(owner))
	if err != nil {
		panic(err)
	}
	for _, l := range lines {
		fmt.Println(l.Text)
	}
	// Output:
	// {"ts":"2026-01-01T00:00:01Z","msg":"run failed","id":"5c0e"}
	// level=info ts=2026-01-01T00:00:02Z msg=job id=5c0e outcome=lost
}

func TestLongLine(t *testing.T) {
	if _, err := Gather("x", strings.NewReader(strings.Repeat("x", maxLineBytes+1))); err == nil {
		t.Error("got no error for a line that is too long")
	}
}
