package rrinvariant

import "testing"

func TestAssert(t *testing.T) {
	v := New("even")
	var got []string
	SetViolationHandler(func(v *Invariant) { got = append(got, v.Name()) })
	defer SetViolationHandler(nil)
	v.Assert(true)
	v.Assert(false)
	if len(got) != 1 || got[0] != "even" || v.Violations() != 1 {
		t.Errorf("got %v and %d, want one report and 1", got, v.Violations())
	}
}
