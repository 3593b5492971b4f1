// Package rrestimator learns how long the tasks of each tenant and class run, and
// corrects declared run times by the observed ones.
package rrestimator

import "time"

// Bounds of an Estimator and of its estimates.
const (
	MaxClasses      = 512                    // pairs of tenant and class with a model of their own
	DefaultEstimate = 250 * time.Millisecond // estimate when no run time is declared or observed
	MinEstimate     = time.Millisecond       // least estimate
	MaxEstimate     = 10 * time.Minute       // greatest estimate
)

// Estimator learns run times per tenant and class. Classes beyond MaxClasses share the
// model of all tasks until another class is no longer used. The zero value is ready to
// use.
type Estimator struct {
	classes      map[classKey]*runTimeModel
	overall      runTimeModel // of all tasks
	observations uint64       // of all tasks
	untracked    uint64       // observations of classes without a model of their own
}

type classKey struct {
	tenant, class string
}

// Observe records that a task with a declared run time, zero for none, ran for run.
func (e *Estimator) Observe(tenant, class string, declared, run time.Duration) {
	run = clampEstimate(run)
	e.observations++
	e.overall.observe(declared, run)
	if c := e.classModel(classKey{tenant, class}); c != nil {
		c.lastSeen = e.observations
		c.observe(declared, run)
	}
}

// Estimate returns the expected run time of a task: the declared run time corrected by the
// observed ones, their mean if none is declared, and DefaultEstimate if none is declared
// or observed.
func (e *Estimator) Estimate(tenant, class string, declared time.Duration) time.Duration {
	c := e.classes[classKey{tenant, class}]
	if c == nil {
		c = &e.overall
	}
	return c.estimate(declared)
}

// Len returns the number of classes with a model of their own.
func (e *Estimator) Len() int {
	return len(e.classes)
}

func (e *Estimator) classModel(key classKey) *runTimeModel {
	if c := e.classes[key]; c != nil {
		return c
	}
	if len(e.classes) >= MaxClasses && !e.evict() {
		return nil
	}
	if e.classes == nil {
		e.classes = make(map[classKey]*runTimeModel)
	}
	c := &runTimeModel{}
	e.classes[key] = c
	return c
}

// When evict removes a class.
const (
	evictInterval = 64   // untracked observations for each search for a class to evict
	evictAge      = 8192 // least number of observations since the last one of the evicted class
)

// evict removes the least recently observed class if it is older than evictAge, and
// reports whether it did.
func (e *Estimator) evict() bool {
	e.untracked++
	if e.untracked%evictInterval != 0 {
		return false
	}
	var oldest classKey
	oldestSeen := e.observations
	for key, c := range e.classes {
		if c.lastSeen < oldestSeen {
			oldest, oldestSeen = key, c.lastSeen
		}
	}
	if e.observations-oldestSeen < evictAge {
		return false
	}
	delete(e.classes, oldest)
	return true
}

func clampEstimate(d time.Duration) time.Duration {
	return min(max(d, MinEstimate), MaxEstimate)
}

func clampFloat(x, low, high float64) float64 {
	return min(max(x, low), high)
}
