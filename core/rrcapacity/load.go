package rrcapacity

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

// DeclaredLoad is what the tasks of one worker declare, averaged over the lag of its
// reports. The zero value is empty.
type DeclaredLoad struct {
	parts []part
	at    time.Time // of the averages
}

// part is the load of one label.
type part struct {
	label         ClassKey
	now           rrtask.Resources // running tasks
	cores, memory float64          // averages
}

// Start adds a task with its declared size.
func (l *DeclaredLoad) Start(now time.Time, label ClassKey, declared rrtask.Resources) {
	l.Advance(now)
	i := l.find(label)
	l.parts[i].now = Add(l.parts[i].now, declared)
}

// End removes a task that Start added.
func (l *DeclaredLoad) End(now time.Time, label ClassKey, declared rrtask.Resources) {
	l.Advance(now)
	i := l.find(label)
	l.parts[i].now = Sub(l.parts[i].now, declared)
}

// Advance brings the averages up to date.
func (l *DeclaredLoad) Advance(now time.Time) {
	keep := math.Exp(-float64(max(0, now.Sub(l.at))) / float64(lag))
	l.at = now
	for i := range l.parts {
		p := &l.parts[i]
		p.cores += (float64(p.now.MilliCores) - p.cores) * (1 - keep)
		p.memory += (float64(p.now.MemoryBytes) - p.memory) * (1 - keep)
	}
	l.parts = slices.DeleteFunc(l.parts, func(p part) bool {
		return p.now.IsZero() && p.cores < leastPart && p.memory < leastPart
	})
}

func (l *DeclaredLoad) find(label ClassKey) int {
	i := slices.IndexFunc(l.parts, func(p part) bool { return p.label == label })
	if i < 0 {
		i = len(l.parts)
		l.parts = append(l.parts, part{label: label})
	}
	return i
}

// Add returns the sum of two sizes.
func Add(a, b rrtask.Resources) rrtask.Resources {
	return rrtask.Resources{MilliCores: a.MilliCores + b.MilliCores, MemoryBytes: a.MemoryBytes + b.MemoryBytes, Accelerators: a.Accelerators + b.Accelerators}
}

// Sub returns a less b, and zero where b is more.
func Sub(a, b rrtask.Resources) rrtask.Resources {
	return rrtask.Resources{
		MilliCores:   a.MilliCores - min(a.MilliCores, b.MilliCores),
		MemoryBytes:  a.MemoryBytes - min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: a.Accelerators - min(a.Accelerators, b.Accelerators),
	}
}

// Max returns the greater of two sizes in each part.
func Max(a, b rrtask.Resources) rrtask.Resources {
	return rrtask.Resources{MilliCores: max(a.MilliCores, b.MilliCores), MemoryBytes: max(a.MemoryBytes, b.MemoryBytes), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// Min returns the lesser of two sizes in each part.
func Min(a, b rrtask.Resources) rrtask.Resources {
	return rrtask.Resources{MilliCores: min(a.MilliCores, b.MilliCores), MemoryBytes: min(a.MemoryBytes, b.MemoryBytes), Accelerators: min(a.Accelerators, b.Accelerators)}
}
