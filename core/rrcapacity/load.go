package rrcapacity

import (
	"math"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// reportLag is the approximate lag of workers' reports. Loads are averaged over it to
// match the reports.
const reportLag = time.Second

// minClassLoad is the mean load below which an idle class is removed, in thousandths of a
// core and in bytes.
const minClassLoad = 1

// DeclaredLoad is the sum of the resources that the tasks of one worker declare, by
// class and averaged over the lag of its reports. The zero value is empty.
type DeclaredLoad struct {
	classes   []classLoad
	updatedAt time.Time // of the last Advance
}

// classLoad is the load of one class.
type classLoad struct {
	class                 ClassKey
	running               rrtask.Resources // declared by its running tasks
	meanCores, meanMemory float64          // moving averages of running
}

// Start adds a task with its declared resources.
func (l *DeclaredLoad) Start(now time.Time, class ClassKey, declared rrtask.Resources) {
	l.Advance(now)
	i := l.classIndex(class)
	l.classes[i].running = Add(l.classes[i].running, declared)
}

// End removes a task that Start added.
func (l *DeclaredLoad) End(now time.Time, class ClassKey, declared rrtask.Resources) {
	l.Advance(now)
	i := l.classIndex(class)
	l.classes[i].running = Sub(l.classes[i].running, declared)
}

// Advance updates the moving averages to now.
func (l *DeclaredLoad) Advance(now time.Time) {
	decay := math.Exp(-float64(max(0, now.Sub(l.updatedAt))) / float64(reportLag))
	l.updatedAt = now
	for i := range l.classes {
		c := &l.classes[i]
		c.meanCores += (float64(c.running.MilliCores) - c.meanCores) * (1 - decay)
		c.meanMemory += (float64(c.running.MemoryBytes) - c.meanMemory) * (1 - decay)
	}
	l.classes = slices.DeleteFunc(l.classes, func(c classLoad) bool {
		return c.running.IsZero() && c.meanCores < minClassLoad && c.meanMemory < minClassLoad
	})
}

func (l *DeclaredLoad) classIndex(class ClassKey) int {
	i := slices.IndexFunc(l.classes, func(c classLoad) bool { return c.class == class })
	if i < 0 {
		i = len(l.classes)
		l.classes = append(l.classes, classLoad{class: class})
	}
	return i
}

// Add returns a plus b.
func Add(a, b rrtask.Resources) rrtask.Resources {
	return rrtask.Resources{MilliCores: a.MilliCores + b.MilliCores, MemoryBytes: a.MemoryBytes + b.MemoryBytes, Accelerators: a.Accelerators + b.Accelerators}
}

// Sub returns a minus b, but zero for each resource where b is greater.
func Sub(a, b rrtask.Resources) rrtask.Resources {
	return rrtask.Resources{
		MilliCores:   a.MilliCores - min(a.MilliCores, b.MilliCores),
		MemoryBytes:  a.MemoryBytes - min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: a.Accelerators - min(a.Accelerators, b.Accelerators),
	}
}

// Max returns the greater value of each resource.
func Max(a, b rrtask.Resources) rrtask.Resources {
	return rrtask.Resources{MilliCores: max(a.MilliCores, b.MilliCores), MemoryBytes: max(a.MemoryBytes, b.MemoryBytes), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// Min returns the lesser value of each resource.
func Min(a, b rrtask.Resources) rrtask.Resources {
	return rrtask.Resources{MilliCores: min(a.MilliCores, b.MilliCores), MemoryBytes: min(a.MemoryBytes, b.MemoryBytes), Accelerators: min(a.Accelerators, b.Accelerators)}
}
