// Package rrcoord decides what the coordinator of a job does, from its
// acceptance to its answer.
//
// The coordinator alone decides where a task of its jobs starts. A task is
// placed a second time only when the first placement is known not to have
// started it: the keeper handed it back, or no byte of the batch was written.
// Everything else that goes wrong after a send ends the job with an outcome
// that says that it may have run.
package rrcoord

import (
	"time"

	"rattanring/core/rradmit"
	"rattanring/core/rrcode"
	"rattanring/core/rrkeep"
	"rattanring/core/rrlearn"
	"rattanring/core/rrsplit"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// Times and limits of a coordinator.
const (
	graceAtEnd   = 2 * time.Second        // wait for keepers' answers before an ending job is answered
	lingerGone   = time.Second            // wait for a caller to reconnect
	scanEvery    = 40 * time.Millisecond  // between two looks at all jobs
	placeEvery   = 100 * time.Millisecond // between two placements of tasks that were handed back
	maxTries     = 10                     // placements of one task
	maxHistories = 2000                   // answered jobs that Explain remembers
)

// Fleet is what the coordinator knows about other entries.
type Fleet interface {
	// Keepers returns the live keepers with minions of the service, the
	// coordinator's own included.
	Keepers(now time.Time, service string) []rrsplit.Keeper
	// Peer returns address and incarnation of a live peer.
	Peer(now time.Time, name string) (addr string, life uint64, ok bool)
	// Sent counts work sent to a peer until its load is heard again.
	Sent(name string, work time.Duration)
	// Suspect notes that the peer refused a connection or a batch.
	Suspect(now time.Time, name string)
	// Fits reports whether some minion of the service is large enough.
	Fits(service string, size rrtask.Size) bool
}

// Local is the entry's own keeper.
type Local interface {
	Add(now time.Time, b rrkeep.Batch) bool
	Drop(now time.Time, key rrkeep.Key) int
	Progress(key rrkeep.Key) (queued, running int)
	Rest(now time.Time, key rrkeep.Key, rest time.Duration)
	Load(now time.Time) rrkeep.Load
}

// Coord coordinates the jobs of one entry. Create it with New.
type Coord struct {
	Split rrsplit.Ask // thresholds of the division; Works and Rest are set for each job
	Out   Out

	entry   string
	life    uint64
	learn   *rrlearn.Table
	fleet   Fleet
	local   Local
	door    *rradmit.Door
	jobs    map[string]*job
	batches map[uint64]*batch
	remote  map[uint64]*batch // those of batches that other keepers have
	scanned time.Time         // last look at all jobs
	seq     uint64
	leaving bool
	closed  closedJobs
	load    Outstanding
}

// Out holds the effects since they were last taken.
type Out struct {
	Runs   []Run
	Takes  []Take
	Drops  []Drop
	Finals []Final
	Claims []Claim
}

// Reset empties o and keeps its memory.
func (o *Out) Reset() {
	clear(o.Runs)
	clear(o.Takes)
	clear(o.Drops)
	clear(o.Finals)
	clear(o.Claims)
	o.Runs = o.Runs[:0]
	o.Takes = o.Takes[:0]
	o.Drops = o.Drops[:0]
	o.Finals = o.Finals[:0]
	o.Claims = o.Claims[:0]
}

// Claim asks for the claim of a non-idempotent job.
type Claim struct {
	Job      string
	Tenant   string
	Deadline time.Time
	First    bool // the caller says that it never submitted the job before
}

// New returns the coordinator of one incarnation of an entry.
func New(entry string, life uint64, learn *rrlearn.Table, fleet Fleet, local Local, door *rradmit.Door) *Coord {
	return &Coord{
		entry:   entry,
		life:    life,
		learn:   learn,
		fleet:   fleet,
		local:   local,
		door:    door,
		jobs:    make(map[string]*job),
		batches: make(map[uint64]*batch),
		remote:  make(map[uint64]*batch),
		closed:  newClosedJobs(maxHistories),
	}
}

// Jobs returns the number of jobs that are not answered.
func (c *Coord) Jobs() int {
	return len(c.jobs)
}

// Batches returns the number of batches at other keepers.
func (c *Coord) Batches() int {
	return len(c.remote)
}

// forget removes a batch.
func (c *Coord) forget(b *batch) {
	delete(c.batches, b.seq)
	delete(c.remote, b.seq)
	delete(b.job.batches, b.seq)
}

// Leave refuses jobs from now on. Jobs taken before go on to their answers.
func (c *Coord) Leave() {
	c.leaving = true
}

// Submit takes a job for the caller tok. A job with the id and tenant of one
// that is running here joins it.
func (c *Coord) Submit(now time.Time, tok Token, in rrtask.Job) {
	if j, ok := c.jobs[in.ID]; ok {
		c.join(now, tok, j, in.Tenant)
		return
	}
	j := newJob(now, in)
	j.tokens = append(j.tokens, tok)
	c.estimate(j)
	if j.Once {
		c.jobs[j.ID] = j
		j.note(now, rrstatus.Step{What: rrstatus.Claiming})
		c.Out.Claims = append(c.Out.Claims, Claim{Job: j.ID, Tenant: j.Tenant, Deadline: j.Deadline, First: !j.Retry})
		return
	}
	c.admit(now, j)
}

func (c *Coord) join(now time.Time, tok Token, j *job, tenant string) {
	if j.Tenant != tenant {
		answer := rrtask.Answer{Job: j.ID, Code: rrcode.BadRequest, Detail: "the request id belongs to another tenant", Entry: c.entry}
		c.Out.Finals = append(c.Out.Finals, Final{Tokens: []Token{tok}, Answer: answer, Tenant: tenant})
		return
	}
	j.tokens = append(j.tokens, tok)
	j.goneAt = time.Time{}
	j.note(now, rrstatus.Step{What: rrstatus.Joined})
}

// Join adds a caller to a job that is running here, for a retry that came to
// another entry. It reports false when no such job runs.
func (c *Coord) Join(now time.Time, tok Token, id, tenant string) bool {
	j, ok := c.jobs[id]
	if !ok || !j.granted {
		return false
	}
	c.join(now, tok, j, tenant)
	return true
}

// Granted notes that the claim of the job is held.
func (c *Coord) Granted(now time.Time, id string) {
	j, ok := c.jobs[id]
	if !ok || j.granted {
		return
	}
	j.note(now, rrstatus.Step{What: rrstatus.Claimed})
	c.admit(now, j)
}

// Settled answers a job whose claim was not granted. Nothing of it started here.
func (c *Coord) Settled(now time.Time, id string, a rrtask.Answer) {
	j, ok := c.jobs[id]
	if !ok || j.granted {
		return
	}
	a.Job = id
	c.answer(now, j, a, false)
}

// Claiming returns tenant and deadline of a job whose claim is not decided.
func (c *Coord) Claiming(id string) (tenant string, deadline time.Time, ok bool) {
	j, ok := c.jobs[id]
	if !ok || j.granted {
		return "", time.Time{}, false
	}
	return j.Tenant, j.Deadline, true
}

// estimate sets the estimated work of each task.
func (c *Coord) estimate(j *job) {
	var last, work time.Duration = -1, 0
	for i := range j.Tasks {
		if e := j.Tasks[i].Expect; e != last {
			last = e
			work = c.learn.Estimate(j.Tenant, j.Class, e)
		}
		j.slots[i].work = work
		j.rest += work
	}
}

// admit passes a job through the door and places it.
func (c *Coord) admit(now time.Time, j *job) {
	j.granted = true
	if c.leaving {
		c.refuse(now, j, rrcode.Leaving, time.Second)
		return
	}
	keepers := c.fleet.Keepers(now, j.Service)
	plan := rrsplit.Split(c.ask(j, all(len(j.Tasks))), keepers)
	v := c.door.Admit(now, rradmit.Ask{
		Tenant:   j.Tenant,
		Tasks:    len(j.Tasks),
		Work:     j.rest,
		Finish:   max(plan.Finish, c.fairFinish(j, keepers)),
		Patience: j.Deadline.Sub(now),
		Backlog:  backlog(keepers),
		Slots:    slotsOf(keepers),
		Retry:    j.Retry,
		Misfit:   !c.fits(j),
	})
	if v.Code != 0 {
		c.refuse(now, j, v.Code, v.RetryAfter)
		return
	}
	j.admitted = true
	j.work = j.rest
	j.ahead = &c.load
	c.load.add(j.work, j.work)
	c.jobs[j.ID] = j
	j.note(now, rrstatus.Step{What: rrstatus.Accepted, Tasks: len(j.Tasks)})
	c.place(now, j, plan, all(len(j.Tasks)))
}

// fairFinish estimates the completion of a job on the assumption that every other
// entry has as much outstanding work as this one. In a burst that is nearer to the
// truth than loads heard seconds ago.
func (c *Coord) fairFinish(j *job, keepers []rrsplit.Keeper) time.Duration {
	slots := slotsOf(keepers)
	if slots == 0 {
		return 0
	}
	work := c.load.before(j.rest)*time.Duration(len(keepers)) + j.rest
	return work / time.Duration(slots)
}

// fits reports whether each task of the job fits some minion of its service.
func (c *Coord) fits(j *job) bool {
	for i := range j.Tasks {
		if size := j.Tasks[i].Size; !size.IsZero() && !c.fleet.Fits(j.Service, size) {
			return false
		}
	}
	return true
}

func slotsOf(keepers []rrsplit.Keeper) int {
	slots := 0
	for i := range keepers {
		slots += keepers[i].Load.Slots
	}
	return slots
}

// backlog returns the queued work per slot over all keepers.
func backlog(keepers []rrsplit.Keeper) time.Duration {
	var work time.Duration
	slots := slotsOf(keepers)
	for i := range keepers {
		for _, w := range keepers[i].Load.Backlog {
			work += w
		}
		work += keepers[i].Sent
	}
	if slots == 0 {
		return 0
	}
	return work / time.Duration(slots)
}

func (c *Coord) refuse(now time.Time, j *job, code rrcode.Code, after time.Duration) {
	j.note(now, rrstatus.Step{What: rrstatus.Refused, Detail: code.String()})
	c.answer(now, j, rrtask.Answer{Job: j.ID, Code: code, Detail: code.Text(), RetryAfter: after}, j.Once)
}

// ask describes the tasks at the given indexes for a division.
func (c *Coord) ask(j *job, tasks []int) rrsplit.Ask {
	a := c.Split
	a.Rest = j.rest
	a.Works = make([]time.Duration, len(tasks))
	for at, i := range tasks {
		a.Works[at] = j.slots[i].work
	}
	return a
}

func all(n int) []int {
	at := make([]int, n)
	for i := range at {
		at[i] = i
	}
	return at
}

// place hands the tasks at the given indexes to the keepers of the plan.
func (c *Coord) place(now time.Time, j *job, plan rrsplit.Plan, tasks []int) {
	for _, s := range plan.Shares {
		own := make([]int, len(s.Tasks))
		for at, t := range s.Tasks {
			own[at] = tasks[t]
		}
		c.placeAt(now, j, s.Name, own, plan.Finish)
	}
	if j.idle > 0 {
		j.retryAt = now.Add(placeEvery)
	}
}

func (c *Coord) placeAt(now time.Time, j *job, keeper string, tasks []int, finish time.Duration) {
	c.seq++
	b := &batch{seq: c.seq, job: j, keeper: keeper, local: keeper == c.entry, tasks: tasks, out: len(tasks), sentAt: now, due: now.Add(finish)}
	if !b.local {
		addr, life, ok := c.fleet.Peer(now, keeper)
		if !ok {
			return
		}
		b.addr, b.life = addr, life
	}
	var work time.Duration
	for _, i := range tasks {
		s := &j.slots[i]
		assertPlace(s)
		s.phase, s.seq = placed, b.seq
		s.tries++
		j.idle--
		work += s.work
	}
	c.batches[b.seq] = b
	j.batches[b.seq] = b
	if b.local {
		j.note(now, rrstatus.Step{What: rrstatus.Placed, Tasks: len(tasks)})
		c.local.Add(now, c.message(b))
		return
	}
	c.remote[b.seq] = b
	j.note(now, rrstatus.Step{What: rrstatus.Sent, Peer: keeper, Tasks: len(tasks)})
	c.fleet.Sent(keeper, work)
	c.call(now, b)
}

// message returns the batch as its keeper gets it.
func (c *Coord) message(b *batch) rrkeep.Batch {
	j := b.job
	tasks := make([]rrtask.Task, len(b.tasks))
	for at, i := range b.tasks {
		tasks[at] = j.Tasks[i]
	}
	return rrkeep.Batch{
		Key:      c.key(b),
		Job:      j.ID,
		Tenant:   j.Tenant,
		Class:    j.Class,
		Service:  j.Service,
		Deadline: j.Deadline,
		Accepted: j.accepted,
		Rest:     j.rest,
		Tasks:    tasks,
	}
}

func (c *Coord) key(b *batch) rrkeep.Key {
	return rrkeep.Key{Entry: c.entry, Life: c.life, Seq: b.seq}
}

// call sends a batch, or attaches to it again. Once the keeper has answered for
// it, the tasks are not sent again.
func (c *Coord) call(now time.Time, b *batch) {
	run := Run{To: b.keeper, Addr: b.addr, Life: b.life, Batch: c.message(b), Load: c.local.Load(now)}
	if b.taken {
		run.Batch.Tasks = nil
		run.Have = b.ended()
	}
	b.calling = true
	b.retryAt = time.Time{}
	c.Out.Runs = append(c.Out.Runs, run)
}

// ended returns the indexes of the tasks of b that are no longer in its hands.
func (b *batch) ended() []int {
	var have []int
	for _, i := range b.tasks {
		if !b.has(i) {
			have = append(have, i)
		}
	}
	return have
}
