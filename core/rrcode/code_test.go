package rrcode

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestDocumentedTable checks that docs/CODES.md lists the same codes as the table, in
// order, each with its name, class and description.
func TestDocumentedTable(t *testing.T) {
	text, err := os.ReadFile("../../docs/CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	var got, want []string
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, "|")
		if len(cells) == 7 && strings.Trim(cells[1], " 0123456789") == "" {
			got = append(got, strings.Join(cells[1:5], "|"))
		}
	}
	for _, c := range All() {
		want = append(want, fmt.Sprintf(" %d | %s | %s | %s ", uint32(c), c, c.Class(), c.Description()))
	}
	for i := range max(len(got), len(want)) {
		g, w := "nothing", "nothing"
		if i < len(got) {
			g = got[i]
		}
		if i < len(want) {
			w = want[i]
		}
		if g != w {
			t.Errorf("row %d: got %s, want %s", i, g, w)
		}
	}
}

func TestClasses(t *testing.T) {
	names := make(map[string]Code)
	for _, c := range All() {
		if other, ok := names[c.String()]; ok {
			t.Errorf("%d and %d share the name %s", other, c, c)
		}
		names[c.String()] = c
		if c.Class() == ClassNone || c.Description() == "" {
			t.Errorf("%d: got class %v and text %q, want both", c, c.Class(), c.Description())
		}
	}
	exits := map[Class]int{ClassComplete: 0, ClassNotRun: 3, ClassMayHaveRun: 4, ClassFailed: 5, ClassNone: 1}
	for class, want := range exits {
		if got := class.ExitStatus(); got != want {
			t.Errorf("%v: got exit status %d, want %d", class, got, want)
		}
	}
	if got := Code(999).Class(); got != ClassMayHaveRun {
		t.Errorf("got class %v of an unknown code, want may have run", got)
	}
}
