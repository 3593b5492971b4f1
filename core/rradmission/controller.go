// Package rradmission decides whether an entry accepts a job, by its estimated
// completion, the tenant's quota, the backlog and the retry budget.
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
	EstimatedCompletion time.Duration // estimated time until completion if the job is accepted now
	Timeout             time.Duration // time until the deadline
	Backlog             time.Duration // queued work per slot of the fleet
	Slots               int           // usable slots of the fleet
	IsRetry             bool          // the caller submits this job again
	Unschedulable       bool          // some task is too large for every worker
	Evacuated           bool          // all minions that could run some task are in evacuated zones
}

// Decision is the answer to a Request. A zero Code admits the job; any other code has
// the class ClassNotRun.
type Decision struct {
	Code       rrcode.Code
	RetryAfter time.Duration // zero if a retry is useless
}

// Controller admits the jobs of one entry. The zero value applies the default
// configuration as the only entry. It is not safe for concurrent use.
type Controller struct {
	FreeRetries int // retried tasks that each budget allows in addition to the earned ones

	cfg             rrconf.Config
	thresholds      rrconf.Thresholds
	entries         int // entries that share the quotas
	tenants         map[string]*tenant
	overflowTenant  tenant // shared by the tenants beyond maxTenants
	outstandingWork time.Duration
	retries         retryBudget
	admitted        workRate
	refusals        uint64 // with a RetryAfter, counted for jitterDelay
}

// tenant is the state of one tenant.
type tenant struct {
	outstandingWork  time.Duration // admitted and not released
	outstandingTasks int
	retries          retryBudget
}

func (t *tenant) idle() bool {
	return t.outstandingWork == 0 && t.outstandingTasks == 0
}

// maxTenants bounds the tenants with state of their own, because callers choose the names.
const maxTenants = 2048

// SetConfig sets the active configuration. Each of the entries enforces an equal
// fraction of every quota.
func (c *Controller) SetConfig(cfg rrconf.Config, entries int) {
	c.cfg = cfg
	c.thresholds = cfg.ActiveThresholds()
	c.entries = max(entries, 1)
}

// Admit decides whether to accept a job and counts an admitted job as outstanding.
// The caller must call Release when an admitted job has ended.
func (c *Controller) Admit(now time.Time, req Request) Decision {
	if c.entries == 0 {
		c.SetConfig(rrconf.Default(), 1)
	}
	tenantCfg, ok := c.cfg.Tenant(req.Tenant)
	if !ok {
		return Decision{Code: rrcode.UnknownTenant}
	}
	t := c.tenantState(req.Tenant)
	if decision := c.refusal(now, req, tenantCfg, t); decision.Code != 0 {
		return decision
	}
	if req.IsRetry && !c.takeRetry(t, req.Tasks) {
		return Decision{rrcode.RetryBudgetExhausted, c.jitterDelay(defaultRetryDelay)}
	}
	c.admitted.add(now, req.TotalRunTime)
	t.outstandingWork += req.TotalRunTime
	t.outstandingTasks += req.Tasks
	c.outstandingWork += req.TotalRunTime
	return Decision{}
}

// refusal returns the first reason to refuse a job, or the zero Decision.
func (c *Controller) refusal(now time.Time, req Request, tenantCfg rrconf.Tenant, t *tenant) Decision {
	limit := time.Duration(float64(req.Timeout) * c.thresholds.DeadlineFactor)
	switch {
	case req.Unschedulable:
		return Decision{Code: rrcode.Unschedulable}
	case req.Evacuated:
		return Decision{rrcode.ZoneEvacuated, c.jitterDelay(defaultRetryDelay)}
	case req.Slots <= 0:
		return Decision{rrcode.NoMinions, c.jitterDelay(defaultRetryDelay)}
	}
	if excess := c.delayedCompletion(now, req) - limit; excess > 0 {
		return Decision{rrcode.DeadlineUnreachable, c.jitterDelay(excess)}
	}
	if excess := c.quotaTime(req, tenantCfg, t) - limit; excess > 0 {
		return Decision{rrcode.QuotaExceeded, c.jitterDelay(excess)}
	}
	if excess := c.backlogExcess(req, tenantCfg, t); excess > 0 {
		return Decision{rrcode.Overloaded, c.jitterDelay(excess)}
	}
	return Decision{}
}

// maxDelayFactor bounds the factor by which future smaller jobs delay a job.
const maxDelayFactor = 3

// delayedCompletion returns the estimated time until completion if smaller jobs continue
// to arrive at their recent rate and use slots first.
func (c *Controller) delayedCompletion(now time.Time, req Request) time.Duration {
	slots := float64(req.Slots) / float64(c.entries)
	available := max(1-c.admitted.smallerJobs(now, req.TotalRunTime)/slots, 1.0/maxDelayFactor)
	return time.Duration(float64(req.EstimatedCompletion) / available)
}

// quotaTime returns how long the tenant's outstanding work and the job take on this
// entry's fraction of the tenant's quota, or zero if the tenant has no quota.
func (c *Controller) quotaTime(req Request, tenantCfg rrconf.Tenant, t *tenant) time.Duration {
	if tenantCfg.Quota == 0 {
		return 0
	}
	quota := float64(tenantCfg.Quota) / float64(c.entries)
	return time.Duration(float64(t.outstandingWork+req.TotalRunTime) / max(quota, 1))
}

// fairBacklogFraction is the fraction of MaxBacklog above which tenants with more than
// their share of the outstanding work are refused.
const fairBacklogFraction = 0.5

// backlogExcess returns by how much the backlog exceeds the limit for the tenant's jobs.
func (c *Controller) backlogExcess(req Request, tenantCfg rrconf.Tenant, t *tenant) time.Duration {
	if req.Backlog > c.thresholds.MaxBacklog {
		return req.Backlog - c.thresholds.MaxBacklog
	}
	fair := time.Duration(float64(c.thresholds.MaxBacklog) * fairBacklogFraction)
	if req.Backlog > fair && c.exceedsFairShare(tenantCfg, t) {
		return req.Backlog - fair
	}
	return 0
}

// exceedsFairShare reports whether a tenant has more than its weighted share of this
// entry's outstanding work, among the tenants that have any.
func (c *Controller) exceedsFairShare(tenantCfg rrconf.Tenant, t *tenant) bool {
	totalWeight := 0
	if t.idle() {
		return false
	}
	for name, state := range c.tenants {
		if state.idle() {
			continue
		}
		cfg, _ := c.cfg.Tenant(name)
		totalWeight += max(cfg.Weight, 1)
	}
	share := float64(max(tenantCfg.Weight, 1)) / float64(max(totalWeight, 1))
	return float64(t.outstandingWork) > share*float64(c.outstandingWork)
}

// takeRetry takes the tasks from the retry budgets of the tenant and the entry. It
// takes nothing and returns false if either budget is too small.
func (c *Controller) takeRetry(t *tenant, tasks int) bool {
	if !t.retries.allows(tasks, c.FreeRetries) || !c.retries.allows(tasks, c.FreeRetries) {
		return false
	}
	t.retries.spent += float64(tasks)
	c.retries.spent += float64(tasks)
	return true
}

// Release ends an admitted job with the given number of tasks and amount of work. The
// tasks earn retries for the tenant.
func (c *Controller) Release(now time.Time, name string, tasks int, work time.Duration) {
	t := c.tenantState(name)
	t.outstandingTasks = max(0, t.outstandingTasks-tasks)
	t.outstandingWork = max(0, t.outstandingWork-work)
	c.outstandingWork = max(0, c.outstandingWork-work)
	t.retries.earn(float64(tasks) * c.thresholds.RetryRatio)
}

// RecordStarts adds the retries earned by n task starts to the budget of the entry.
func (c *Controller) RecordStarts(n int) {
	c.retries.earn(float64(n) * c.thresholds.RetryRatio)
}

// Outstanding returns the tasks and the work of a tenant that are admitted and not
// released.
func (c *Controller) Outstanding(name string) (tasks int, work time.Duration) {
	t := c.tenants[name]
	if t == nil {
		return 0, 0
	}
	return t.outstandingTasks, t.outstandingWork
}

func (c *Controller) tenantState(name string) *tenant {
	if t := c.tenants[name]; t != nil {
		return t
	}
	if len(c.tenants) >= maxTenants {
		c.removeIdleTenants()
	}
	if len(c.tenants) >= maxTenants {
		return &c.overflowTenant
	}
	if c.tenants == nil {
		c.tenants = make(map[string]*tenant)
	}
	t := &tenant{}
	c.tenants[name] = t
	return t
}

func (c *Controller) removeIdleTenants() {
	for name, t := range c.tenants {
		if t.idle() {
			delete(c.tenants, name)
		}
	}
}
