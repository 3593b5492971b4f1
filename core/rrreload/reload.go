// Package rrreload decides what a changed settings file means for a running process: what takes
// effect, what needs a restart and what is refused.
package rrreload

import "fmt"

// Effect says when a change of a setting takes effect.
type Effect int

// Effects of a change.
const (
	AtRestart Effect = iota // the process keeps the value with which it started
	AtOnce
	OtherProcess // the file belongs to another process, and none of it takes effect
)

// Setting is one setting in a file. The zero value has no name and takes effect at a restart.
type Setting struct {
	Name    string
	Value   string // text that is equal for equal values
	Effect  Effect
	Invalid bool // the value makes no sense; a file that changes a setting to it is rejected
}

// File is the result of one read of the settings file. The zero value is an empty file without settings.
type File struct {
	Content  string    // text of the file
	Settings []Setting // each name once
	Err      error     // why the file can't be used; Settings is then ignored
}

// Change is a setting whose value in the file differs from the one in force.
type Change struct {
	Name string
	Old  string // in force
	New  string // in the file
}

// Result is what became of a file.
type Result string

// Results of a reload.
const (
	Applied   Result = "applied"   // at least one setting took effect
	Unchanged Result = "unchanged" // the file is valid, and nothing in it takes effect now
	Rejected  Result = "rejected"  // nothing of the file is used
)

// Decision says what the process does after a read of the settings file.
type Decision struct {
	Result    Result
	Err       error    // why the file is rejected
	New       bool     // the file differs from the last valid one, or is rejected for the first time; to be logged
	Effective []Change // take effect now
	Pending   []Change // need a restart, each reported once until its value changes again
	Withdrawn []Change // needed a restart and no longer do, since the file has the value in force again
}

// Reloader holds the settings in force. Create it with New. It is not safe for concurrent use.
type Reloader struct {
	inForce      map[string]string
	pending      map[string]string // value in the last valid file of each setting that needs a restart
	accepted     string            // content of the last valid file
	lastRejected *rejection        // nil after a valid file
}

// rejection identifies a rejected file, or a failed read, which has no content.
type rejection struct {
	content, reason string
}

// New returns a Reloader of a process that started with a file. All its settings are in force, also those
// that are marked as invalid.
func New(f File) *Reloader {
	r := &Reloader{inForce: make(map[string]string), pending: make(map[string]string), accepted: f.Content}
	for _, s := range f.Settings {
		r.inForce[s.Name] = s.Value
	}
	return r
}

// Step decides about a file. Afterwards the settings that take effect at once are in force. A file that is
// rejected changes no setting.
func (r *Reloader) Step(f File) Decision {
	if err := r.check(f); err != nil {
		now := rejection{content: f.Content, reason: err.Error()}
		isNew := r.lastRejected == nil || *r.lastRejected != now
		r.lastRejected = &now
		return Decision{Result: Rejected, Err: err, New: isNew}
	}
	d := Decision{Result: Unchanged, New: f.Content != r.accepted}
	r.lastRejected, r.accepted = nil, f.Content
	for _, s := range f.Settings {
		change := Change{Name: s.Name, Old: r.inForce[s.Name], New: s.Value}
		waiting, isPending := r.pending[s.Name]
		switch {
		case s.Effect == AtOnce && change.Old != change.New:
			r.inForce[s.Name] = s.Value
			d.Effective = append(d.Effective, change)
			d.Result = Applied
		case s.Effect == AtRestart && change.Old != change.New && (!isPending || waiting != s.Value):
			r.pending[s.Name] = s.Value
			d.Pending = append(d.Pending, change)
		case isPending && change.Old == change.New:
			delete(r.pending, s.Name)
			d.Withdrawn = append(d.Withdrawn, change)
		}
	}
	return d
}

// RestartNeeded reports whether the last valid file has a setting that takes effect only at a restart.
func (r *Reloader) RestartNeeded() bool {
	return len(r.pending) > 0
}

// check returns an error that says why no part of a file can be used. A value in force is usable even if it is
// marked as invalid, since the process runs with it.
func (r *Reloader) check(f File) error {
	if f.Err != nil {
		return f.Err
	}
	for _, s := range f.Settings {
		if s.Effect == OtherProcess && s.Value != r.inForce[s.Name] {
			return fmt.Errorf("settings of another process: %s is %s, this process has %s", s.Name, s.Value, r.inForce[s.Name])
		}
	}
	for _, s := range f.Settings {
		if s.Invalid && s.Value != r.inForce[s.Name] {
			return fmt.Errorf("settings: %s makes no sense: %s", s.Name, s.Value)
		}
	}
	return nil
}
