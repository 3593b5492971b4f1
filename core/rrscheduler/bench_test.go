package rrscheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPass measures one tick and pass of a full shard, in which no queued task fits, and one that
// starts the tasks of a new job on minions with free capacity.
func BenchmarkPass(b *testing.B) {
	for _, minions := range []int{108, 350, 1000} {
		for _, queued := range []int{0, 200, 2000} {
			b.Run(fmt.Sprintf("minions=%d/queued=%d", minions, queued), func(b *testing.B) {
				w := newWorld(discard{b}, 1, minions)
				w.advance(syncTime)
				w.queueJob("full", 2*minions+minions/3)
				for i := range queued {
					w.queueJob(fmt.Sprintf("q%04d", i), 4)
				}
				s := w.scheduler
				b.ReportAllocs()
				for b.Loop() {
					s.needsPass = true
					s.Step(w.now, &Tick{})
					s.Schedule(w.now)
				}
			})
		}
	}
}

// queueJob submits a long job; once the minions are full, it stays queued.
func (w *world) queueJob(id string, tasks int) {
	job := w.newJob(id, tasks, time.Hour)
	job.Deadline = w.now.Add(100 * time.Hour)
	job.TargetSlowdown, job.TargetLatency = 1e6, time.Hour
	w.submit(job, time.Hour)
}

// BenchmarkPoll measures the handling of one minion's answer to a poll.
func BenchmarkPoll(b *testing.B) {
	for _, minions := range []int{108, 350, 1000} {
		for _, queued := range []int{0, 200, 2000} {
			b.Run(fmt.Sprintf("minions=%d/queued=%d", minions, queued), func(b *testing.B) {
				w := newWorld(discard{b}, 1, minions)
				w.advance(syncTime)
				for i := range queued {
					w.queueJob(fmt.Sprintf("q%04d", i), 4)
				}
				s := w.scheduler
				m := s.minions["m00"]
				b.ReportAllocs()
				for b.Loop() {
					seq := s.poll(w.now, m, 0)
					s.Step(w.now, &PollMinionDone{MinionID: "m00", PollSeq: seq, Status: CommandOK, Incarnation: m.Incarnation, MinionClockMs: 1000})
					s.Schedule(w.now)
				}
			})
		}
	}
}

// BenchmarkStart measures a job of two tasks from its submission to its start commands, with free
// capacity.
func BenchmarkStart(b *testing.B) {
	for _, minions := range []int{108, 350, 1000} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			w := newWorld(discard{b}, 1, minions)
			w.advance(syncTime)
			s := w.scheduler
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				id := fmt.Sprint("j", i)
				job := w.newJob(id, 2, time.Second)
				s.Step(w.now, &JobSubmitted{CallID: uint64(i), Job: job})
				s.Schedule(w.now)
				j := s.jobs[id]
				for _, t := range j.orderedTasks {
					s.endRun(w.now, t.run, RunSucceeded)
				}
			}
		})
	}
}

// discard lets a world run in a benchmark without its logs.
type discard struct{ *testing.B }

func (discard) Logf(string, ...any) {}

// BenchmarkReserveCold measures the choice of the minion to reserve for a task where all minions are cold
// and the task would miss its objective on each.
func BenchmarkReserveCold(b *testing.B) {
	for _, minions := range []int{108, 1000} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			w := newWorld(discard{b}, 1, minions)
			for _, m := range w.minions {
				m.coldTime = time.Minute
				m.crash()
				m.restart()
			}
			w.advance(syncTime)
			for range 64 {
				w.scheduler.warmups["s"].ObserveRun(time.Minute, 100*time.Millisecond, 800*time.Millisecond)
			}
			w.advance(syncTime)
			w.submit(w.newJob("a", 3*minions, 100*time.Millisecond), time.Hour)
			j := w.scheduler.jobs["a"]
			j.objectiveAt, j.valueEndsAt = w.now.Add(200*time.Millisecond), w.now.Add(10*time.Second)
			t := &task{id: TaskID{Job: "a"}}
			for b.Loop() {
				w.scheduler.minionToReserve(w.now, j, t, nil)
			}
		})
	}
}
