package rrhealth

// maxLabels bounds the pairs of tenant and class that Rates tells apart. Names
// come from outside; the rest share one rate.
const maxLabels = 128

// rateMemory is the number of tasks that a rate looks back on.
const rateMemory = 4

// Rates holds the recent share of failures of each tenant and class on one
// minion. The zero value has seen nothing.
type Rates struct {
	all  map[label]*rate
	rest rate
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
func (r *Rates) Observe(tenant, class string, failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	c := r.find(label{tenant, class})
	c.runs = min(c.runs+1, rateMemory)
	c.share += (x - c.share) / c.runs
}

// Recent returns the share of failures of a tenant and class, and false when none
// of its tasks ran.
func (r *Rates) Recent(tenant, class string) (float64, bool) {
	c := r.all[label{tenant, class}]
	if c == nil {
		return 0, false
	}
	return c.share, true
}

func (r *Rates) find(l label) *rate {
	if c := r.all[l]; c != nil {
		return c
	}
	if len(r.all) >= maxLabels {
		return &r.rest
	}
	if r.all == nil {
		r.all = make(map[label]*rate)
	}
	c := &rate{}
	r.all[l] = c
	return c
}
