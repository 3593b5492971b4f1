// Package rrwire defines the messages between callers, operators and entries, and
// converts them to and from the types of the core packages.
package rrwire

import (
	"fmt"
	"math"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// FieldError says that a field of a message has a value that is not allowed.
type FieldError struct {
	Field   string
	Value   string
	Allowed string // allowed range
}

// Error returns the field, its value and the allowed range.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s is not allowed, want %s", e.Field, e.Value, e.Allowed)
}

// ToJob converts a submission that was received at now. The error is a *FieldError
// for a task whose index is not its position. The caller has to check the limits.
func ToJob(m *Job, now time.Time) (rrtask.Job, error) {
	job := rrtask.Job{
		ID:            m.GetId(),
		Tenant:        m.GetTenant(),
		Class:         m.GetClass(),
		Service:       m.GetService(),
		Deadline:      now.Add(millisToDuration(m.GetPatience())),
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

// FromJob converts a job that is sent at now.
func FromJob(job rrtask.Job, now time.Time) *Job {
	return &Job{
		Id:       job.ID,
		Tenant:   job.Tenant,
		Class:    job.Class,
		Service:  job.Service,
		Patience: remainingMillis(job.Deadline, now),
		Once:     job.NonIdempotent,
		Retry:    job.IsRetry,
		Tasks:    FromTasks(job.Tasks),
	}
}

// ToTasks converts tasks and keeps their order. A nil task becomes the zero task.
func ToTasks(ms []*Task) []rrtask.Task {
	tasks := make([]rrtask.Task, len(ms))
	for i, m := range ms {
		tasks[i] = rrtask.Task{
			Index:           int(m.GetIndex()),
			Body:            m.GetBody(),
			DeclaredRunTime: millisToDuration(m.GetExpect()),
			Resources:       ToResources(m.GetSize()),
		}
	}
	return tasks
}

// FromTasks converts tasks and keeps their order.
func FromTasks(tasks []rrtask.Task) []*Task {
	ms := make([]*Task, len(tasks))
	for i, t := range tasks {
		ms[i] = &Task{
			Index:  uint32(t.Index),
			Body:   t.Body,
			Expect: durationToMillis(t.DeclaredRunTime),
			Size:   FromResources(t.Resources),
		}
	}
	return ms
}

// ToResources converts resources. Nil means zero resources.
func ToResources(m *Size) rrtask.Resources {
	return rrtask.Resources{MilliCores: m.GetCores(), MemoryBytes: m.GetMemory(), Accelerators: m.GetAccels()}
}

// FromResources converts resources. It returns nil for zero resources.
func FromResources(r rrtask.Resources) *Size {
	if r.IsZero() {
		return nil
	}
	return &Size{Cores: r.MilliCores, Memory: r.MemoryBytes, Accels: r.Accelerators}
}

// ToResult converts the result of one task.
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

// FromResult converts the result of one task.
func FromResult(r rrtask.Result) *Result {
	return &Result{
		Index:  uint32(r.Index),
		Code:   uint32(r.Code),
		Body:   r.Body,
		Detail: r.Detail,
		Run:    clampUint32(r.RunTime.Microseconds()),
		Minion: r.Minion,
	}
}

// ToResults converts results and keeps their order. It returns nil if there are none.
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

// FromResults converts results and keeps their order. It returns nil if there are
// none.
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

// ToAnswer converts the answer to one job.
func ToAnswer(m *Answer) rrtask.Answer {
	return rrtask.Answer{
		RequestID:   m.GetId(),
		Code:        rrcode.Code(m.GetCode()),
		Detail:      m.GetDetail(),
		Results:     ToResults(m.GetResults()),
		RetryAfter:  millisToDuration(m.GetAfter()),
		Coordinator: m.GetEntry(),
	}
}

// FromAnswer converts the answer to one job.
func FromAnswer(a rrtask.Answer) *Answer {
	return &Answer{
		Id:      a.RequestID,
		Code:    uint32(a.Code),
		Detail:  a.Detail,
		Results: FromResults(a.Results),
		After:   durationToMillis(a.RetryAfter),
		Entry:   a.Coordinator,
	}
}

// ToBatch converts a batch that was received at now. It leaves out the incarnation of
// the owner and the indexes of the results that the sender already has; the caller
// reads them from the message.
func ToBatch(m *Batch, now time.Time) rrdispatcher.Batch {
	return rrdispatcher.Batch{
		Key:           rrdispatcher.BatchKey{Coordinator: m.GetFrom().GetEntry(), Incarnation: m.GetFrom().GetLife(), Seq: m.GetSeq()},
		Job:           m.GetJob(),
		Tenant:        m.GetTenant(),
		Class:         m.GetClass(),
		Service:       m.GetService(),
		Deadline:      now.Add(millisToDuration(m.GetPatience())),
		AcceptedAt:    now.Add(-millisToDuration(m.GetAge())),
		RemainingWork: microsToDuration(m.GetRest()),
		Tasks:         ToTasks(m.GetTasks()),
	}
}

// FromBatch converts a batch that is sent at now to the given incarnation of an owner.
func FromBatch(b rrdispatcher.Batch, ownerIncarnation uint64, now time.Time) *Batch {
	return &Batch{
		From:     &Origin{Entry: b.Key.Coordinator, Life: b.Key.Incarnation},
		Seq:      b.Key.Seq,
		Life:     ownerIncarnation,
		Job:      b.Job,
		Tenant:   b.Tenant,
		Class:    b.Class,
		Service:  b.Service,
		Patience: remainingMillis(b.Deadline, now),
		Rest:     durationToMicros(b.RemainingWork),
		Age:      durationToMillis(now.Sub(b.AcceptedAt)),
		Tasks:    FromTasks(b.Tasks),
	}
}

// ToLoad converts an owner's load. Nil means zero load. Work in backlog buckets beyond
// the last known one is added to the last.
func ToLoad(m *Load) rrdispatcher.Load {
	load := rrdispatcher.Load{
		UsableSlots: int(m.GetSlots()),
		BusySlots:   int(m.GetBusy()),
		QueuedTasks: int(m.GetQueued()),
		RunningWork: microsToDuration(m.GetRunning()),
	}
	for i, work := range m.GetBacklog() {
		load.Backlog[min(i, rrdispatcher.BacklogBuckets-1)] += microsToDuration(work)
	}
	return load
}

// FromLoad converts an owner's load. It omits empty backlog buckets at the end.
func FromLoad(load rrdispatcher.Load) *Load {
	m := &Load{
		Slots:   uint32(load.UsableSlots),
		Busy:    uint32(load.BusySlots),
		Queued:  uint32(load.QueuedTasks),
		Running: durationToMicros(load.RunningWork),
	}
	used := 0
	for i, work := range load.Backlog {
		if work > 0 {
			used = i + 1
		}
	}
	for _, work := range load.Backlog[:used] {
		m.Backlog = append(m.Backlog, durationToMicros(work))
	}
	return m
}

// ToHealthReport converts a report on the health of one minion.
func ToHealthReport(m *Verdict) rrdispatcher.HealthReport {
	return rrdispatcher.HealthReport{
		Minion: m.GetMinion(),
		State:  rrdispatcher.MinionState(m.GetState()),
		Since:  time.UnixMilli(int64(m.GetStamp())),
	}
}

// FromHealthReport converts a report on the health of one minion.
func FromHealthReport(r rrdispatcher.HealthReport) *Verdict {
	return &Verdict{
		Minion: r.Minion,
		State:  uint32(r.State),
		Stamp:  uint64(r.Since.UnixMilli()),
	}
}

func millisToDuration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// durationToMillis rounds up: a short positive duration must not become zero.
func durationToMillis(d time.Duration) uint32 {
	ms := d.Milliseconds()
	if d%time.Millisecond > 0 {
		ms++
	}
	return clampUint32(ms)
}

// remainingMillis returns the time to the deadline. It rounds down: the receiver's
// deadline must not be later than the sender's.
func remainingMillis(deadline, now time.Time) uint32 {
	return clampUint32(deadline.Sub(now).Milliseconds())
}

// maxDurationMicros bounds a received duration. The sum of a few of them still fits into
// an int64 of nanoseconds.
const maxDurationMicros = uint64(24 * 365 * time.Hour / time.Microsecond)

func microsToDuration(us uint64) time.Duration {
	return time.Duration(min(us, maxDurationMicros)) * time.Microsecond
}

func durationToMicros(d time.Duration) uint64 {
	return uint64(max(d, 0).Microseconds())
}

func clampUint32(n int64) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}
