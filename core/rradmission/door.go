// Package rradmission decides whether an entry takes a job: by its estimated
// completion, the tenant's quota, the backlog and the budget of retries.
package rradmission

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
)

// Request describes one submission.
type Request struct {
	Tenant              string
	Tasks               int           // number of tasks
	TotalRunTime        time.Duration // sum of the estimated run times
	EstimatedCompletion time.Duration // estimated time until completion, were the job taken now
	Timeout             time.Duration // time until the deadline
	Backlog             time.Duration // queued work per slot of the fleet
	Slots               int           // slots of the fleet that take work
	Retry               bool          // the caller submits this job again
	Unschedulable       bool          // no worker is large enough for some task
}

// Decision is the answer to a Request. A zero Code admits the job; any other is of the
// class not run.
type Decision struct {
	Code       rrcode.Code
	RetryAfter time.Duration // zero when a retry is of no use
}

// Controller admits the jobs of one entry. The zero value applies the default
// configuration as the only entry. It is not safe for concurrent use.
type Controller struct {
	FreeRetries int // tasks that may be retried before any start has earned them

	cfg     rrconf.Config
	rules   rrconf.Thresholds
	entries int // entries that share the quotas
	tenants map[string]*tenant
	other   tenant // of the names beyond maxTenants
	work    time.Duration
	retries budget
	flow    flow
	asked   uint64 // refusals so far, for spreading retries
}

// tenant is what the door holds of one tenant.
type tenant struct {
	work    time.Duration // admitted and not done
	tasks   int
	retries budget
}

func (t *tenant) idle() bool {
	return t.work == 0 && t.tasks == 0
}

// maxTenants bounds the tenants that are told apart. Names come from outside.
const maxTenants = 2048

// SetConfig puts a configuration in force. Each of the entries enforces an equal
// part of every quota.
func (d *Controller) SetConfig(cfg rrconf.Config, entries int) {
	d.cfg = cfg
	d.rules = cfg.ActiveThresholds()
	d.entries = max(entries, 1)
}

// Admit decides about one job and counts it as outstanding when it is admitted.
// The caller calls Release when an admitted job has ended.
func (d *Controller) Admit(now time.Time, a Request) Decision {
	if d.entries == 0 {
		d.SetConfig(rrconf.Default(), 1)
	}
	entry, ok := d.cfg.Tenant(a.Tenant)
	if !ok {
		return Decision{Code: rrcode.UnknownTenant}
	}
	t := d.tenant(a.Tenant)
	if v := d.refuse(now, a, entry, t); v.Code != 0 {
		return v
	}
	if a.Retry && !d.spend(t, a.Tasks) {
		return Decision{rrcode.RetryBudgetExhausted, d.spread(retryWait)}
	}
	d.flow.add(now, a.TotalRunTime)
	t.work += a.TotalRunTime
	t.tasks += a.Tasks
	d.work += a.TotalRunTime
	return Decision{}
}

// refuse returns the first reason against a job, or the zero Decision.
func (d *Controller) refuse(now time.Time, a Request, entry rrconf.Tenant, t *tenant) Decision {
	limit := time.Duration(float64(a.Timeout) * d.rules.DeadlineFactor)
	switch {
	case a.Unschedulable:
		return Decision{Code: rrcode.NeverRunnable}
	case a.Slots <= 0:
		return Decision{rrcode.NoMinions, d.spread(retryWait)}
	}
	if over := d.stretch(now, a) - limit; over > 0 {
		return Decision{rrcode.DeadlineUnreachable, d.spread(over)}
	}
	if over := d.overQuota(a, entry, t) - limit; over > 0 {
		return Decision{rrcode.QuotaExceeded, d.spread(over)}
	}
	if over := d.overBacklog(a, entry, t); over > 0 {
		return Decision{rrcode.Overloaded, d.spread(over)}
	}
	return Decision{}
}

// mostStretch bounds the factor by which smaller jobs to come delay one.
const mostStretch = 3

// stretch returns the estimated time until completion when smaller jobs go on to
// come as of late and take their part of the slots first.
func (d *Controller) stretch(now time.Time, a Request) time.Duration {
	slots := float64(a.Slots) / float64(d.entries)
	left := max(1-d.flow.smaller(now, a.TotalRunTime)/slots, 1.0/mostStretch)
	return time.Duration(float64(a.EstimatedCompletion) / left)
}

// overQuota returns how long the tenant's outstanding work and the job take on
// this entry's part of the tenant's quota.
func (d *Controller) overQuota(a Request, entry rrconf.Tenant, t *tenant) time.Duration {
	if entry.Quota == 0 {
		return 0
	}
	part := float64(entry.Quota) / float64(d.entries)
	return time.Duration(float64(t.work+a.TotalRunTime) / max(part, 1))
}

// fairBacklog is the part of the backlog limit from which on tenants with more
// than their share of the outstanding work are refused.
const fairBacklog = 0.5

// overBacklog returns by how much the backlog exceeds what the tenant may add to.
func (d *Controller) overBacklog(a Request, entry rrconf.Tenant, t *tenant) time.Duration {
	if a.Backlog > d.rules.MaxBacklog {
		return a.Backlog - d.rules.MaxBacklog
	}
	fair := time.Duration(float64(d.rules.MaxBacklog) * fairBacklog)
	if a.Backlog > fair && d.greedy(entry, t) {
		return a.Backlog - fair
	}
	return 0
}

// greedy reports whether a tenant has more than its weighted share of the
// outstanding work of this entry, among the tenants that have any.
func (d *Controller) greedy(entry rrconf.Tenant, t *tenant) bool {
	total := 0
	if t.idle() {
		return false
	}
	for name, o := range d.tenants {
		if o.idle() {
			continue
		}
		other, _ := d.cfg.Tenant(name)
		total += max(other.Weight, 1)
	}
	share := float64(max(entry.Weight, 1)) / float64(max(total, 1))
	return float64(t.work) > share*float64(d.work)
}

// spend takes a retry from the budgets of the tenant and of the entry.
func (d *Controller) spend(t *tenant, tasks int) bool {
	if !t.retries.has(tasks, d.FreeRetries) || !d.retries.has(tasks, d.FreeRetries) {
		return false
	}
	t.retries.spent += float64(tasks)
	d.retries.spent += float64(tasks)
	return true
}

// Release ends an admitted job of so many tasks and so much work. Its tasks earn the
// tenant retries.
func (d *Controller) Release(now time.Time, name string, tasks int, work time.Duration) {
	t := d.tenant(name)
	t.tasks = max(0, t.tasks-tasks)
	t.work = max(0, t.work-work)
	d.work = max(0, d.work-work)
	t.retries.earn(float64(tasks) * d.rules.RetryRatio)
}

// RecordStarts earns retries for n task starts.
func (d *Controller) RecordStarts(n int) {
	d.retries.earn(float64(n) * d.rules.RetryRatio)
}

// Outstanding returns the tasks and the work of a tenant that are admitted and
// not done.
func (d *Controller) Outstanding(name string) (tasks int, work time.Duration) {
	t := d.tenants[name]
	if t == nil {
		return 0, 0
	}
	return t.tasks, t.work
}

func (d *Controller) tenant(name string) *tenant {
	if t := d.tenants[name]; t != nil {
		return t
	}
	if len(d.tenants) >= maxTenants {
		d.prune()
	}
	if len(d.tenants) >= maxTenants {
		return &d.other
	}
	if d.tenants == nil {
		d.tenants = make(map[string]*tenant)
	}
	t := &tenant{}
	d.tenants[name] = t
	return t
}

func (d *Controller) prune() {
	for name, t := range d.tenants {
		if t.idle() {
			delete(d.tenants, name)
		}
	}
}
