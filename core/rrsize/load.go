package rrsize

import (
	"math"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// Reports lag behind by about this time; loads are averaged over it to match.
const lag = time.Second

// leastPart is the part of a load below which a label is forgotten, in thousandths
// of a core and in bytes.
const leastPart = 1

// Load is what the tasks of one worker declare, averaged over the lag of its
// reports. The zero value is empty.
type Load struct {
	parts []part
	at    time.Time // of the averages
}

// part is the load of one label.
type part struct {
	label         Label
	now           rrtask.Size // running tasks
	cores, memory float64     // averages
}

// Start adds a task with its declared size.
func (l *Load) Start(now time.Time, label Label, declared rrtask.Size) {
	l.Move(now)
	i := l.find(label)
	l.parts[i].now = Add(l.parts[i].now, declared)
}

// End removes a task that Start added.
func (l *Load) End(now time.Time, label Label, declared rrtask.Size) {
	l.Move(now)
	i := l.find(label)
	l.parts[i].now = Sub(l.parts[i].now, declared)
}

// Move brings the averages up to date.
func (l *Load) Move(now time.Time) {
	keep := math.Exp(-float64(max(0, now.Sub(l.at))) / float64(lag))
	l.at = now
	for i := range l.parts {
		p := &l.parts[i]
		p.cores += (float64(p.now.Cores) - p.cores) * (1 - keep)
		p.memory += (float64(p.now.Memory) - p.memory) * (1 - keep)
	}
	l.parts = slices.DeleteFunc(l.parts, func(p part) bool {
		return p.now.IsZero() && p.cores < leastPart && p.memory < leastPart
	})
}

func (l *Load) find(label Label) int {
	i := slices.IndexFunc(l.parts, func(p part) bool { return p.label == label })
	if i < 0 {
		i = len(l.parts)
		l.parts = append(l.parts, part{label: label})
	}
	return i
}

// Add returns the sum of two sizes.
func Add(a, b rrtask.Size) rrtask.Size {
	return rrtask.Size{Cores: a.Cores + b.Cores, Memory: a.Memory + b.Memory, Accels: a.Accels + b.Accels}
}

// Sub returns a less b, and zero where b is more.
func Sub(a, b rrtask.Size) rrtask.Size {
	return rrtask.Size{
		Cores:  a.Cores - min(a.Cores, b.Cores),
		Memory: a.Memory - min(a.Memory, b.Memory),
		Accels: a.Accels - min(a.Accels, b.Accels),
	}
}

// Max returns the greater of two sizes in each part.
func Max(a, b rrtask.Size) rrtask.Size {
	return rrtask.Size{Cores: max(a.Cores, b.Cores), Memory: max(a.Memory, b.Memory), Accels: max(a.Accels, b.Accels)}
}

// Min returns the lesser of two sizes in each part.
func Min(a, b rrtask.Size) rrtask.Size {
	return rrtask.Size{Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory), Accels: min(a.Accels, b.Accels)}
}
