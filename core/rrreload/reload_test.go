package rrreload

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// file returns a file with one setting of each effect.
func file(process, once, restart string) File {
	return File{Content: process + once + restart, Settings: []Setting{
		{Name: "once", Value: once, Effect: AtOnce, Invalid: once == "bad"},
		{Name: "restart", Value: restart, Effect: AtRestart, Invalid: restart == "bad"},
		{Name: "process", Value: process, Effect: OtherProcess},
	}}
}

// Each row is a history of one process. Guards against a change that is lost, applied in part, or logged
// at each read.
func TestStep(t *testing.T) {
	missing, half := File{Err: errors.New("no such file")}, File{Content: "{", Err: errors.New("unexpected end")}
	for _, tc := range []struct {
		name  string
		files []File
		want  []string // result, new, effective, pending, withdrawn, restart needed
	}{
		{"unchanged", []File{file("p", "1", "1"), file("p", "1", "1")}, []string{"unchanged false [] [] [] false", "unchanged false [] [] [] false"}},
		{"several changes in a row", []File{file("p", "2", "1"), file("p", "3", "1")}, []string{"applied true [{once 1 2}] [] [] false", "applied true [{once 2 3}] [] [] false"}},
		{"missing, then back", []File{missing, missing, file("p", "1", "1"), missing}, []string{"rejected true [] [] [] false", "rejected false [] [] [] false", "unchanged false [] [] [] false", "rejected true [] [] [] false"}},
		{"half written, then whole", []File{half, half, file("p", "2", "1")}, []string{"rejected true [] [] [] false", "rejected false [] [] [] false", "applied true [{once 1 2}] [] [] false"}},
		{"other process", []File{file("q", "2", "2")}, []string{"rejected true [] [] [] false"}},
		{"one bad value", []File{file("p", "2", "bad"), file("p", "bad", "2")}, []string{"rejected true [] [] [] false", "rejected true [] [] [] false"}},
		{"restart needed, other value, withdrawn, again", []File{file("p", "1", "2"), file("p", "1", "2"), file("p", "1", "3"), file("p", "1", "1"), file("p", "1", "3")}, []string{
			"unchanged true [] [{restart 1 2}] [] true", "unchanged false [] [] [] true", "unchanged true [] [{restart 1 3}] [] true",
			"unchanged true [] [] [{restart 1 1}] false", "unchanged true [] [{restart 1 3}] [] true"}},
		{"rejected while a restart is needed", []File{file("p", "1", "2"), half, file("p", "1", "2")}, []string{
			"unchanged true [] [{restart 1 2}] [] true", "rejected true [] [] [] true", "unchanged false [] [] [] true"}},
	} {
		r := New(file("p", "1", "1"))
		for i, f := range tc.files {
			d := r.Step(f)
			got := fmt.Sprintf("%v %v %v %v %v %v", d.Result, d.New, d.Effective, d.Pending, d.Withdrawn, r.RestartNeeded())
			if want := tc.want[i]; got != want {
				t.Errorf("%s, file %d: got %s, want %s", tc.name, i, got, want)
			}
			if (d.Err != nil) != (d.Result == Rejected) {
				t.Errorf("%s, file %d: got %v with error %v", tc.name, i, d.Result, d.Err)
			}
		}
	}
}

// A process that was started with a value which a reload would refuse must still accept other changes.
func TestInvalidValueInForce(t *testing.T) {
	r := New(file("p", "1", "bad"))
	if d := r.Step(file("p", "2", "bad")); d.Result != Applied {
		t.Errorf("got %+v, want the change of the other setting applied", d)
	}
}

// After any history of valid and rejected files, the settings in force are those of the last valid file
// and, where they need a restart, of the first one.
func TestLastValidFileIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SampledFrom([]string{"1", "2", "bad"})
		r := New(file("p", "1", "1"))
		once, restart := "1", "1"
		for range rapid.IntRange(0, 12).Draw(t, "files") {
			f := file(rapid.SampledFrom([]string{"p", "p", "q"}).Draw(t, "process"), value.Draw(t, "once"), value.Draw(t, "restart"))
			if rapid.IntRange(0, 3).Draw(t, "readable") == 0 {
				f.Err = errors.New("not readable")
			}
			rejected := f.Err != nil || f.Settings[2].Value == "q" || slices.ContainsFunc(f.Settings, func(s Setting) bool { return s.Invalid })
			if !rejected {
				once, restart = f.Settings[0].Value, f.Settings[1].Value
			}
			if d := r.Step(f); (d.Result == Rejected) != rejected {
				t.Fatalf("got %+v for %+v", d, f)
			}
			if got, want := fmt.Sprint(r.inForce["once"], r.inForce["restart"], r.RestartNeeded()), fmt.Sprint(once, "1", restart != "1"); got != want {
				t.Fatalf("in force: got %s, want %s", got, want)
			}
		}
	})
}
