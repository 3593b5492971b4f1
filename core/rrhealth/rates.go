package rrhealth

// maxLabels bounds the pairs of tenant and class that FailureRates tells apart. Names
// come from outside; the rest share one rate.
const maxLabels = 128

// rateMemory is the number of tasks that a rate looks back on.
const rateMemory = 4

// FailureRates holds the recent share of failures of each tenant and class on one
// minion. The zero value has seen nothing.
type FailureRates struct {
	labels map[label]*rate
	rest   rate // of the labels beyond maxLabels
	all    rate
}

type label struct {
	tenant, class string
}

// rate is a moving average of failures.
type rate struct {
	runs  float64 // tasks seen, up to rateMemory
	share float64 // of them that failed
}

// Observe records the end of one task.
func (r *FailureRates) Observe(tenant, class string, failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	r.find(label{tenant, class}).add(x)
	r.all.add(x)
}

func (r *rate) add(x float64) {
	r.runs = min(r.runs+1, rateMemory)
	r.share += (x - r.share) / r.runs
}

// Rate returns the share of failures of a tenant and class, and false when none
// of its tasks ran.
func (r *FailureRates) Rate(tenant, class string) (float64, bool) {
	c := r.labels[label{tenant, class}]
	if c == nil {
		return 0, false
	}
	return c.share, true
}

// Overall returns the share of failures of all tasks, and false when none ran.
func (r *FailureRates) Overall() (float64, bool) {
	return r.all.share, r.all.runs > 0
}

func (r *FailureRates) find(l label) *rate {
	if c := r.labels[l]; c != nil {
		return c
	}
	if len(r.labels) >= maxLabels {
		return &r.rest
	}
	if r.labels == nil {
		r.labels = make(map[label]*rate)
	}
	c := &rate{}
	r.labels[l] = c
	return c
}
