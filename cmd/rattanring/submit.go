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

// submitOptions are the flags of submit.
type submitOptions struct {
	entryOptions
	tenant, class, service string
	id                     string
	tasks                  int
	standInRunTime         time.Duration
	bodyFile               string
	declaredRunTime        time.Duration
	jobTimeout             time.Duration
	nonIdempotent          bool
	isRetry                bool
	retries                int
	asJSON                 bool
}

func (a *app) submit() *ffcli.Command {
	s := submitOptions{
		tenant:         "default",
		class:          "default",
		service:        "torri",
		tasks:          1,
		standInRunTime: 250 * time.Millisecond,
		jobTimeout:     30 * time.Second,
		retries:        2,
	}
	fs := a.newFlagSet("submit")
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

func (s *submitOptions) register(fs *flag.FlagSet) {
	s.entryOptions.register(fs)
	fs.Var(rrflag.Name{Dest: &s.tenant}, "tenant", "`name` of the tenant")
	fs.Var(rrflag.Name{Dest: &s.class}, "class", "`name` of the kind of job")
	fs.Var(rrflag.Name{Dest: &s.service}, "service", "`name` of the service whose minions run the tasks")
	fs.Var(rrflag.Int{Dest: &s.tasks, Min: 1, Max: 100_000}, "tasks", "`number` of tasks")
	fs.Var(rrflag.Duration{Dest: &s.standInRunTime, Min: 0, Max: time.Hour}, "run", "`time` that a stand-in minion takes for each task; ignored with -body-file")
	fs.StringVar(&s.bodyFile, "body-file", "", "`file` with the body of each task")
	fs.Var(rrflag.Duration{Dest: &s.declaredRunTime, Min: 0, Max: time.Hour}, "expect", "declared run `time` of each task; 0s declares none")
	fs.Var(rrflag.Duration{Dest: &s.jobTimeout, Min: time.Millisecond, Max: 24 * time.Hour}, "patience", "`time` until the deadline")
	fs.Var(rrflag.Bool{Dest: &s.nonIdempotent}, "once", "the job is not idempotent: run it at most once over all retries")
	fs.Var(rrflag.Bool{Dest: &s.isRetry}, "again", "the request id was submitted before")
	fs.Var(rrflag.Name{Dest: &s.id, Optional: true}, "id", "request `id`; a version 7 UUID with -once, made if empty")
	fs.Var(rrflag.Int{Dest: &s.retries, Min: 0, Max: 100}, "retries", "further `tries` at other entries, after a refusal or a broken connection")
	fs.Var(rrflag.Bool{Dest: &s.asJSON}, "json", "print JSON")
}

// standInTask is the task body that a stand-in minion expects.
type standInTask struct {
	Run string `json:"run"`
}

// job returns the job that the flags describe, with the deadline counted from now.
func (s *submitOptions) job(now time.Time) (rrtask.Job, error) {
	body, err := s.body()
	if err != nil {
		return rrtask.Job{}, err
	}
	if err := s.ensureID(); err != nil {
		return rrtask.Job{}, err
	}
	job := rrtask.Job{
		ID:            s.id,
		Tenant:        s.tenant,
		Class:         s.class,
		Service:       s.service,
		Deadline:      now.Add(s.jobTimeout),
		NonIdempotent: s.nonIdempotent,
		IsRetry:       s.isRetry,
		Tasks:         make([]rrtask.Task, s.tasks),
	}
	for i := range job.Tasks {
		job.Tasks[i] = rrtask.Task{Index: i, Body: body, DeclaredRunTime: s.declaredRunTime}
	}
	return job, nil
}

// body returns the content of the body file, or the body that tells a stand-in minion
// its run time.
func (s *submitOptions) body() ([]byte, error) {
	if s.bodyFile != "" {
		return os.ReadFile(s.bodyFile)
	}
	return json.Marshal(standInTask{s.standInRunTime.String()})
}

// ensureID generates a request ID if none is set, and returns a usage error for an ID
// that -once does not allow.
func (s *submitOptions) ensureID() error {
	if s.id == "" {
		id, err := uuid.NewV7()
		s.id = id.String()
		return err
	}
	id, err := uuid.Parse(s.id)
	if s.nonIdempotent && (err != nil || id.Version() != 7 || id.String() != s.id) {
		return &usageError{fmt.Sprintf("invalid value %q for flag -id: want a version 7 UUID in lower case with -once", s.id)}
	}
	return nil
}

func (a *app) runSubmit(ctx context.Context, s submitOptions) error {
	job, err := s.job(time.Now())
	if err != nil {
		return err
	}
	client := s.client()
	client.MaxRetries = s.retries
	client.OnRetry = a.printRetry
	answer := client.Submit(ctx, job)
	if s.asJSON {
		a.out.Write(rrrender.EncodeAnswer(answer))
	} else if err := rrrender.WriteAnswer(a.out, answer); err != nil {
		return err
	}
	return checkOutcome(answer.Code)
}

func (a *app) printRetry(t rrcall.Attempt) {
	fmt.Fprintf(a.errs, "entry %s: %d %s, retry in %s\n", t.Entry, uint32(t.Code), t.Code, t.Wait.Round(time.Millisecond))
}
