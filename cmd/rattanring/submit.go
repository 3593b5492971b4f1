package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/core/rrtask"
	"rattanring/io/rrcall"
	"rattanring/io/rrflag"
	"rattanring/io/rrrender"
)

// submission is what the flags of submit say.
type submission struct {
	fleet
	tenant, class, service string
	id                     string
	tasks                  int
	run                    time.Duration
	bodyFile               string
	expect                 time.Duration
	patience               time.Duration
	once                   bool
	again                  bool
	retries                int
	json                   bool
}

func (a *app) submit() *ffcli.Command {
	s := submission{
		tenant:   "default",
		class:    "default",
		service:  "torri",
		tasks:    1,
		run:      250 * time.Millisecond,
		patience: 30 * time.Second,
		retries:  2,
	}
	fs := a.flags("submit")
	s.register(fs)
	c := a.command("submit", "rattanring submit [flags]", "run one job and print its answer",
		fs, func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			return a.runSubmit(ctx, s)
		})
	c.LongHelp = `The exit status is 0 when every task ran, 3 when nothing was started, 4 when tasks
may have run, and 5 when tasks ran and failed.`
	return c
}

func (s *submission) register(fs *flag.FlagSet) {
	s.fleet.register(fs)
	fs.Var(rrflag.Name{P: &s.tenant}, "tenant", "`name` of the tenant")
	fs.Var(rrflag.Name{P: &s.class}, "class", "`name` of the kind of job")
	fs.Var(rrflag.Name{P: &s.service}, "service", "`name` of the service whose minions run the tasks")
	fs.Var(rrflag.Int{P: &s.tasks, Min: 1, Max: 100_000}, "tasks", "`number` of tasks")
	fs.Var(rrflag.Duration{P: &s.run, Min: 0, Max: time.Hour}, "run", "`time` that a stand-in minion takes for each task; ignored with -body-file")
	fs.StringVar(&s.bodyFile, "body-file", "", "`file` with the body of each task")
	fs.Var(rrflag.Duration{P: &s.expect, Min: 0, Max: time.Hour}, "expect", "declared run `time` of each task; 0s declares none")
	fs.Var(rrflag.Duration{P: &s.patience, Min: time.Millisecond, Max: 24 * time.Hour}, "patience", "`time` until the deadline")
	fs.Var(rrflag.Bool{P: &s.once}, "once", "the job is not idempotent: run it at most once over all retries")
	fs.Var(rrflag.Bool{P: &s.again}, "again", "the request id was submitted before")
	fs.Var(rrflag.Name{P: &s.id, Optional: true}, "id", "request `id`; a version 7 UUID with -once, made if empty")
	fs.Var(rrflag.Int{P: &s.retries, Min: 0, Max: 100}, "retries", "further `tries` at other entries, after a refusal or a broken connection")
	fs.Var(rrflag.Bool{P: &s.json}, "json", "print JSON")
}

// work is the body that a stand-in minion reads.
type work struct {
	Run string `json:"run"`
}

// job returns the job that the flags describe, with the deadline counted from now.
func (s *submission) job(now time.Time) (rrtask.Job, error) {
	body, err := s.body()
	if err != nil {
		return rrtask.Job{}, err
	}
	if err := s.checkID(); err != nil {
		return rrtask.Job{}, err
	}
	job := rrtask.Job{
		ID:            s.id,
		Tenant:        s.tenant,
		Class:         s.class,
		Service:       s.service,
		Deadline:      now.Add(s.patience),
		NonIdempotent: s.once,
		IsRetry:       s.again,
		Tasks:         make([]rrtask.Task, s.tasks),
	}
	for i := range job.Tasks {
		job.Tasks[i] = rrtask.Task{Index: i, Body: body, DeclaredRunTime: s.expect}
	}
	return job, nil
}

func (s *submission) body() ([]byte, error) {
	if s.bodyFile != "" {
		return os.ReadFile(s.bodyFile)
	}
	return json.Marshal(work{s.run.String()})
}

// checkID makes the request id if there is none.
func (s *submission) checkID() error {
	if s.id == "" {
		id, err := uuid.NewV7()
		s.id = id.String()
		return err
	}
	id, err := uuid.Parse(s.id)
	if s.once && (err != nil || id.Version() != 7 || id.String() != s.id) {
		return &usageError{fmt.Sprintf("invalid value %q for flag -id: want a version 7 UUID in lower case with -once", s.id)}
	}
	return nil
}

func (a *app) runSubmit(ctx context.Context, s submission) error {
	job, err := s.job(time.Now())
	if err != nil {
		return err
	}
	client := s.client()
	client.MaxRetries = s.retries
	client.OnRetry = a.noteRetry
	answer := client.Submit(ctx, job)
	if s.json {
		a.out.Write(rrrender.EncodeAnswer(answer))
	} else if err := rrrender.WriteAnswer(a.out, answer); err != nil {
		return err
	}
	return outcome(answer.Code)
}

func (a *app) noteRetry(t rrcall.Attempt) {
	fmt.Fprintf(a.errs, "entry %s: %d %s, retry in %s\n", t.Entry, uint32(t.Code), t.Code, t.Wait.Round(time.Millisecond))
}
