package rrhealth

// maxClasses bounds the pairs of tenant and class whose rates are kept, because callers
// choose the names. Rate has no value for further classes.
const maxClasses = 128

// rateWindow is the number of tasks that a moving average covers.
const rateWindow = 4

// FailureRates holds the recent share of failures of each tenant's classes on one
// minion. The zero value is empty.
type FailureRates struct {
	classes      map[classKey]*rate
	otherClasses rate // of the classes beyond maxClasses; not read
	all          rate
}

type classKey struct {
	tenant, class string
}

// rate is a moving average of failures.
type rate struct {
	runs        float64 // tasks observed, at most rateWindow
	failureRate float64 // share of them that failed
}

// Observe records the end of one task.
func (r *FailureRates) Observe(tenant, class string, failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	r.class(classKey{tenant, class}).add(x)
	r.all.add(x)
}

func (r *rate) add(x float64) {
	r.runs = min(r.runs+1, rateWindow)
	r.failureRate += (x - r.failureRate) / r.runs
}

// Rate returns the share of failures of a tenant's class. It returns false if none of its
// tasks ran, or if the class is beyond maxClasses.
func (r *FailureRates) Rate(tenant, class string) (float64, bool) {
	c := r.classes[classKey{tenant, class}]
	if c == nil {
		return 0, false
	}
	return c.failureRate, true
}

// Overall returns the share of failures of all tasks. It returns false if none ran.
func (r *FailureRates) Overall() (float64, bool) {
	return r.all.failureRate, r.all.runs > 0
}

func (r *FailureRates) class(key classKey) *rate {
	if c := r.classes[key]; c != nil {
		return c
	}
	if len(r.classes) >= maxClasses {
		return &r.otherClasses
	}
	if r.classes == nil {
		r.classes = make(map[classKey]*rate)
	}
	c := &rate{}
	r.classes[key] = c
	return c
}
