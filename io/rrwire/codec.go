package rrwire

import (
	"fmt"
	"math"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// FieldError names the field of a message that has no meaning in the domain.
type FieldError struct {
	Field string
	Value string
	Want  string // allowed range
}

// Error returns the field, its value and the allowed range.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s is not allowed, want %s", e.Field, e.Value, e.Want)
}

// ToJob maps a submission received at now. The error is a *FieldError that names
// a task whose index is not its position; limits are the caller's business.
func ToJob(m *Job, now time.Time) (rrtask.Job, error) {
	job := rrtask.Job{
		ID:            m.GetId(),
		Tenant:        m.GetTenant(),
		Class:         m.GetClass(),
		Service:       m.GetService(),
		Deadline:      now.Add(toMillis(m.GetPatience())),
		NonIdempotent: m.GetOnce(),
		IsRetry:       m.GetRetry(),
		Tasks:         ToTasks(m.GetTasks()),
	}
	for i, t := range job.Tasks {
		if t.Index != i {
			field := fmt.Sprintf("tasks[%d].index", i)
			return rrtask.Job{}, &FieldError{field, fmt.Sprint(t.Index), "the position in the job"}
		}
	}
	return job, nil
}

// FromJob maps a job for sending at now.
func FromJob(job rrtask.Job, now time.Time) *Job {
	return &Job{
		Id:       job.ID,
		Tenant:   job.Tenant,
		Class:    job.Class,
		Service:  job.Service,
		Patience: patience(job.Deadline, now),
		Once:     job.NonIdempotent,
		Retry:    job.IsRetry,
		Tasks:    FromTasks(job.Tasks),
	}
}

// ToTasks maps tasks in their order. A missing task becomes the zero task.
func ToTasks(ms []*Task) []rrtask.Task {
	tasks := make([]rrtask.Task, len(ms))
	for i, m := range ms {
		tasks[i] = rrtask.Task{
			Index:           int(m.GetIndex()),
			Body:            m.GetBody(),
			DeclaredRunTime: toMillis(m.GetExpect()),
			Resources:       ToSize(m.GetSize()),
		}
	}
	return tasks
}

// FromTasks maps tasks in their order.
func FromTasks(tasks []rrtask.Task) []*Task {
	ms := make([]*Task, len(tasks))
	for i, t := range tasks {
		ms[i] = &Task{
			Index:  uint32(t.Index),
			Body:   t.Body,
			Expect: fromMillis(t.DeclaredRunTime),
			Size:   FromSize(t.Resources),
		}
	}
	return ms
}

// ToSize maps a size. Nil is the zero size.
func ToSize(m *Size) rrtask.Resources {
	return rrtask.Resources{MilliCores: m.GetCores(), MemoryBytes: m.GetMemory(), Accelerators: m.GetAccels()}
}

// FromSize maps a size. It returns nil for the zero size.
func FromSize(s rrtask.Resources) *Size {
	if s.IsZero() {
		return nil
	}
	return &Size{Cores: s.MilliCores, Memory: s.MemoryBytes, Accels: s.Accelerators}
}

// ToResult maps the outcome of one task.
func ToResult(m *Result) rrtask.Result {
	return rrtask.Result{
		Index:   int(m.GetIndex()),
		Code:    rrcode.Code(m.GetCode()),
		Body:    m.GetBody(),
		Detail:  m.GetDetail(),
		RunTime: time.Duration(m.GetRun()) * time.Microsecond,
		Minion:  m.GetMinion(),
	}
}

// FromResult maps the outcome of one task.
func FromResult(r rrtask.Result) *Result {
	return &Result{
		Index:  uint32(r.Index),
		Code:   uint32(r.Code),
		Body:   r.Body,
		Detail: r.Detail,
		Run:    clamp(r.RunTime.Microseconds()),
		Minion: r.Minion,
	}
}

// ToResults maps results in their order. It returns nil when there are none.
func ToResults(ms []*Result) []rrtask.Result {
	if len(ms) == 0 {
		return nil
	}
	results := make([]rrtask.Result, len(ms))
	for i, m := range ms {
		results[i] = ToResult(m)
	}
	return results
}

// FromResults maps results in their order. It returns nil when there are none.
func FromResults(results []rrtask.Result) []*Result {
	if len(results) == 0 {
		return nil
	}
	ms := make([]*Result, len(results))
	for i, r := range results {
		ms[i] = FromResult(r)
	}
	return ms
}

// ToAnswer maps the outcome of one job.
func ToAnswer(m *Answer) rrtask.Answer {
	return rrtask.Answer{
		RequestID:   m.GetId(),
		Code:        rrcode.Code(m.GetCode()),
		Detail:      m.GetDetail(),
		Results:     ToResults(m.GetResults()),
		RetryAfter:  toMillis(m.GetAfter()),
		Coordinator: m.GetEntry(),
	}
}

// FromAnswer maps the outcome of one job.
func FromAnswer(a rrtask.Answer) *Answer {
	return &Answer{
		Id:      a.RequestID,
		Code:    uint32(a.Code),
		Detail:  a.Detail,
		Results: FromResults(a.Results),
		After:   fromMillis(a.RetryAfter),
		Entry:   a.Coordinator,
	}
}

// ToBatch maps a batch received at now. The incarnation of the keeper and the
// indexes that the sender has stay in the message.
func ToBatch(m *Batch, now time.Time) rrdispatcher.Batch {
	return rrdispatcher.Batch{
		Key:           rrdispatcher.BatchKey{Coordinator: m.GetFrom().GetEntry(), Incarnation: m.GetFrom().GetLife(), Seq: m.GetSeq()},
		Job:           m.GetJob(),
		Tenant:        m.GetTenant(),
		Class:         m.GetClass(),
		Service:       m.GetService(),
		Deadline:      now.Add(toMillis(m.GetPatience())),
		AcceptedAt:    now.Add(-toMillis(m.GetAge())),
		RemainingWork: toMicros(m.GetRest()),
		Tasks:         ToTasks(m.GetTasks()),
	}
}

// FromBatch maps a batch for sending at now to the incarnation life of a keeper.
func FromBatch(b rrdispatcher.Batch, life uint64, now time.Time) *Batch {
	return &Batch{
		From:     &Origin{Entry: b.Key.Coordinator, Life: b.Key.Incarnation},
		Seq:      b.Key.Seq,
		Life:     life,
		Job:      b.Job,
		Tenant:   b.Tenant,
		Class:    b.Class,
		Service:  b.Service,
		Patience: patience(b.Deadline, now),
		Rest:     fromMicros(b.RemainingWork),
		Age:      fromMillis(now.Sub(b.AcceptedAt)),
		Tasks:    FromTasks(b.Tasks),
	}
}

// ToLoad maps a keeper's load. Nil is the zero load, and octaves past the last
// one count as the last.
func ToLoad(m *Load) rrdispatcher.Load {
	load := rrdispatcher.Load{
		UsableSlots: int(m.GetSlots()),
		BusySlots:   int(m.GetBusy()),
		QueuedTasks: int(m.GetQueued()),
		RunningWork: toMicros(m.GetRunning()),
	}
	for i, work := range m.GetBacklog() {
		load.Backlog[min(i, rrdispatcher.BacklogBuckets-1)] += toMicros(work)
	}
	return load
}

// FromLoad maps a keeper's load. Empty octaves at the end are left out.
func FromLoad(load rrdispatcher.Load) *Load {
	m := &Load{
		Slots:   uint32(load.UsableSlots),
		Busy:    uint32(load.BusySlots),
		Queued:  uint32(load.QueuedTasks),
		Running: fromMicros(load.RunningWork),
	}
	used := 0
	for i, work := range load.Backlog {
		if work > 0 {
			used = i + 1
		}
	}
	for _, work := range load.Backlog[:used] {
		m.Backlog = append(m.Backlog, fromMicros(work))
	}
	return m
}

// ToVerdict maps a finding about one minion.
func ToVerdict(m *Verdict) rrdispatcher.HealthReport {
	return rrdispatcher.HealthReport{
		Minion: m.GetMinion(),
		State:  rrdispatcher.MinionState(m.GetState()),
		Since:  time.UnixMilli(int64(m.GetStamp())),
	}
}

// FromVerdict maps a finding about one minion.
func FromVerdict(v rrdispatcher.HealthReport) *Verdict {
	return &Verdict{
		Minion: v.Minion,
		State:  uint32(v.State),
		Stamp:  uint64(v.Since.UnixMilli()),
	}
}

func toMillis(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// fromMillis rounds up, so that a short positive time does not become none.
func fromMillis(d time.Duration) uint32 {
	ms := d.Milliseconds()
	if d%time.Millisecond > 0 {
		ms++
	}
	return clamp(ms)
}

// patience rounds down, so that a deadline never moves back on its way.
func patience(deadline, now time.Time) uint32 {
	return clamp(deadline.Sub(now).Milliseconds())
}

// maxMicros keeps sums of a few durations from outside within an int64.
const maxMicros = uint64(24 * 365 * time.Hour / time.Microsecond)

func toMicros(us uint64) time.Duration {
	return time.Duration(min(us, maxMicros)) * time.Microsecond
}

func fromMicros(d time.Duration) uint64 {
	return uint64(max(d, 0).Microseconds())
}

func clamp(n int64) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}
