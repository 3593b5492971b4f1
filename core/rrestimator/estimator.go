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

// Observe records the declared run time of a task, zero if it declared none, and the
// observed one.
func (e *Estimator) Observe(tenant, class string, declared, run time.Duration) {
	run = clampEstimate(run)
	e.observations++
	e.overall.observe(declared, run)
	if c := e.classModel(classKey{tenant, class}); c != nil {
		c.lastSeen = e.observations
		c.observe(declared, run)
	}
}

// Estimate returns the expected run time of a task. If both this task and observed tasks
// of its class declare run times, it corrects the declared one by the observed errors.
// Otherwise it returns the mean observed run time, or the declared one if none was
// observed, or DefaultEstimate if there is neither. A class without a model of its own
// uses that of all tasks.
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
	evictInterval = 64   // untracked observations between two searches for a class to evict
	evictAge      = 8192 // observations of other classes after which an unobserved class may be evicted
)

// evict removes the least recently observed class if it is older than evictAge, and
// reports whether it did. Only every evictInterval-th call searches.
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
