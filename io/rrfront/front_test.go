package rrfront

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
	"rattanring/io/rrconfigdoc"
	"rattanring/io/rrwire"
)

// fakeBackend completes every job, or returns the result of answer if that is set.
type fakeBackend struct {
	mu     sync.Mutex
	jobs   []rrtask.Job
	cfg    rrconf.Config
	answer func(ctx context.Context, job rrtask.Job) rrtask.Answer
}

func (f *fakeBackend) Submit(ctx context.Context, job rrtask.Job) rrtask.Answer {
	f.mu.Lock()
	f.jobs = append(f.jobs, job)
	f.mu.Unlock()
	if f.answer != nil {
		return f.answer(ctx, job)
	}
	return complete(job)
}

func complete(job rrtask.Job) rrtask.Answer {
	a := rrtask.Answer{RequestID: job.ID, Code: rrcode.Complete}
	for i := range job.Tasks {
		a.Results = append(a.Results, rrtask.Result{Index: i, Code: rrcode.Complete})
	}
	return a
}

func (f *fakeBackend) Cancel(_ context.Context, _ string, ids []string) (int, int) {
	return len(ids), 0
}

func (f *fakeBackend) Config() rrconf.Config {
	return f.cfg
}

func (f *fakeBackend) Apply(_ context.Context, cfg rrconf.Config) (rrcode.Code, string, rrconf.Config) {
	if cfg.Version != f.cfg.Version {
		return rrcode.Conflict, "version 1 is active", f.cfg
	}
	cfg.Version++
	f.cfg = cfg
	return rrcode.Applied, "", cfg
}

func (f *fakeBackend) Status(context.Context) rrstatus.Status {
	return rrstatus.Status{Entry: "e1"}
}

func (f *fakeBackend) Explain(_ context.Context, id string) (rrstatus.History, bool) {
	return rrstatus.History{ID: id, Tenant: "ports", Code: rrcode.Complete}, id == "r1"
}

func serve(t *testing.T, f *Frontend) string {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(f.Handler())
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

func job(change func(*rrwire.Job)) *rrwire.Job {
	m := &rrwire.Job{Id: "r1", Tenant: "ports", Class: "proof", Service: "torri", Patience: 1000}
	m.Tasks = []*rrwire.Task{{Index: 0}, {Index: 1}}
	if change != nil {
		change(m)
	}
	return m
}

const claimID = "01890a5d-ac96-774b-bcce-b302099a8057" // a version 7 UUID

func TestSubmitRefusesBadInput(t *testing.T) {
	tests := []struct {
		name   string
		change func(*rrwire.Job)
		code   rrcode.Code
		detail string
	}{
		{"no id", func(m *rrwire.Job) { m.Id = "" }, rrcode.BadRequest, "id:"},
		{"id with a slash", func(m *rrwire.Job) { m.Id = "a/b" }, rrcode.BadRequest, "id:"},
		{"long tenant", func(m *rrwire.Job) { m.Tenant = strings.Repeat("a", 65) }, rrcode.BadRequest, "tenant:"},
		{"line end in a class", func(m *rrwire.Job) { m.Class = "a\r\nb" }, rrcode.BadRequest, "class:"},
		{"no service", func(m *rrwire.Job) { m.Service = "" }, rrcode.BadRequest, "service:"},
		{"timeout missing", func(m *rrwire.Job) { m.Patience = 0 }, rrcode.BadRequest, "patience: 0s"},
		{"timeout too long", func(m *rrwire.Job) { m.Patience = 1 << 31 }, rrcode.BadRequest, "want 1ms to 10m0s"},
		{"no tasks", func(m *rrwire.Job) { m.Tasks = nil }, rrcode.BadRequest, "tasks: 0"},
		{"too many tasks", func(m *rrwire.Job) { m.Tasks = make([]*rrwire.Task, 1701) }, rrcode.TooLarge, "tasks:"},
		{"wrong task index", func(m *rrwire.Job) { m.Tasks[1].Index = 5 }, rrcode.BadRequest, "tasks[1].index"},
		{"task run time too long", func(m *rrwire.Job) { m.Tasks[1].Expect = 1 << 31 }, rrcode.BadRequest, "tasks[1].expect"},
		{"large body", func(m *rrwire.Job) { m.Tasks[0].Body = make([]byte, 1<<20) }, rrcode.TooLarge, "body:"},
		{"once without a claim id", func(m *rrwire.Job) { m.Once = true }, rrcode.BadRequest, "version 7"},
		{"once, version 4", func(m *rrwire.Job) { m.Once, m.Id = true, "f47ac10b-58cc-4372-a567-0e02b2c3d479" }, rrcode.BadRequest, "version 7"},
		{"once, other spelling", func(m *rrwire.Job) { m.Once, m.Id = true, strings.ToUpper(claimID) }, rrcode.BadRequest, "lower case"},
	}
	backend := &fakeBackend{}
	front := &Frontend{Backend: backend, Limits: Limits{MaxBodyBytes: 1 << 20}}
	url := serve(t, front)
	clients := []rrwire.Caller{
		rrwire.NewCallerProtobufClient(url, http.DefaultClient),
		rrwire.NewCallerJSONClient(url, http.DefaultClient),
	}
	for _, tt := range tests {
		for _, c := range clients {
			m := job(tt.change)
			for i, task := range m.Tasks {
				if task == nil {
					m.Tasks[i] = &rrwire.Task{Index: uint32(i)}
				}
			}
			a, err := c.Submit(t.Context(), m)
			if err != nil {
				t.Errorf("%s: %v", tt.name, err)
				continue
			}
			if got := rrcode.Code(a.Code); got != tt.code || !strings.Contains(a.Detail, tt.detail) {
				t.Errorf("%s: got %v %q, want %v %q", tt.name, got, a.Detail, tt.code, tt.detail)
			}
		}
	}
	if n := len(backend.jobs); n != 0 {
		t.Errorf("got %d jobs at the backend, want none", n)
	}
	if front.submissions.requests != 0 || front.submissions.bytes != 0 {
		t.Errorf("got %d jobs and %d bytes in flight, want none", front.submissions.requests, front.submissions.bytes)
	}
}

func TestSubmit(t *testing.T) {
	backend := &fakeBackend{}
	now := time.UnixMilli(1_700_000_000_000)
	front := &Frontend{Backend: backend, Now: func() time.Time { return now }}
	c := rrwire.NewCallerProtobufClient(serve(t, front), http.DefaultClient)
	a, err := c.Submit(t.Context(), job(func(m *rrwire.Job) { m.Once, m.Id = true, claimID }))
	if err != nil || rrcode.Code(a.Code) != rrcode.Complete || len(a.Results) != 2 {
		t.Fatalf("got %v, %v, want a complete answer", a, err)
	}
	got := backend.jobs[0]
	if !got.NonIdempotent || !got.Deadline.Equal(now.Add(time.Second)) || len(got.Tasks) != 2 {
		t.Errorf("got %+v, want a job of two tasks with a deadline in 1s", got)
	}
}

func TestInconsistentAnswersAreReplaced(t *testing.T) {
	tests := []struct {
		name   string
		change func(*rrtask.Answer)
	}{
		{"no outcome", func(a *rrtask.Answer) { a.Code = 0 }},
		{"a result is missing", func(a *rrtask.Answer) { a.Results = a.Results[:1] }},
		{"results out of order", func(a *rrtask.Answer) { a.Results[0].Index = 1 }},
		{"a task failed", func(a *rrtask.Answer) { a.Results[1].Code = rrcode.TaskFailed }},
		{"failed with results", func(a *rrtask.Answer) { a.Code = rrcode.TaskFailed }},
		{"another request", func(a *rrtask.Answer) { a.RequestID = "r2" }},
	}
	for _, tt := range tests {
		backend := &fakeBackend{answer: func(_ context.Context, job rrtask.Job) rrtask.Answer {
			a := complete(job)
			tt.change(&a)
			return a
		}}
		var violations []string
		front := &Frontend{Backend: backend, OnViolation: func(name, problem string) { violations = append(violations, name) }}
		c := rrwire.NewCallerProtobufClient(serve(t, front), http.DefaultClient)
		a, err := c.Submit(t.Context(), job(nil))
		if err != nil || rrcode.Code(a.Code) != rrcode.OutcomeLost || len(a.Results) != 0 || a.Id != "r1" {
			t.Errorf("%s: got %v, %v, want outcome-lost", tt.name, a, err)
		}
		if len(violations) != 1 {
			t.Errorf("%s: got violations %q, want one", tt.name, violations)
		}
	}
}

func TestInFlightLimits(t *testing.T) {
	entered, finish := make(chan bool), make(chan bool)
	backend := &fakeBackend{answer: func(_ context.Context, job rrtask.Job) rrtask.Answer {
		entered <- true
		<-finish
		return complete(job)
	}}
	url := serve(t, &Frontend{Backend: backend, Limits: Limits{MaxInFlightRequests: 1}})
	c := rrwire.NewCallerProtobufClient(url, http.DefaultClient)
	done := make(chan *rrwire.Answer)
	go func() {
		a, _ := c.Submit(context.Background(), job(nil))
		done <- a
	}()
	<-entered
	once := func(m *rrwire.Job) { m.Once, m.Id = true, claimID }
	again := func(m *rrwire.Job) { m.Once, m.Retry, m.Id = true, true, claimID }
	large := func(m *rrwire.Job) { m.Tasks[0].Body = make([]byte, maxInspectedBody) }
	refused := []struct {
		change func(*rrwire.Job)
		code   rrcode.Code
	}{{nil, rrcode.Overloaded}, {once, rrcode.Overloaded}, {again, rrcode.DuplicateUnchecked}, {large, rrcode.DuplicateUnchecked}}
	for _, c := range []rrwire.Caller{c, rrwire.NewCallerJSONClient(url, http.DefaultClient)} {
		for _, tt := range refused {
			a, err := c.Submit(t.Context(), job(tt.change))
			if err != nil || rrcode.Code(a.Code) != tt.code || a.After == 0 {
				t.Errorf("got %v, %v, want %v with a delay", a, err, tt.code)
			}
		}
	}
	if _, err := rrwire.NewOperatorProtobufClient(url, http.DefaultClient).Status(t.Context(), &rrwire.Empty{}); err != nil {
		t.Errorf("status of an overloaded entry: %v", err)
	}
	close(finish)
	if a := <-done; rrcode.Code(a.GetCode()) != rrcode.Complete {
		t.Errorf("got %v, want complete", a)
	}
}

func TestCallerDisconnectEndsContext(t *testing.T) {
	entered, ended := make(chan bool), make(chan bool)
	backend := &fakeBackend{answer: func(ctx context.Context, job rrtask.Job) rrtask.Answer {
		entered <- true
		<-ctx.Done()
		ended <- true
		return rrtask.Answer{RequestID: job.ID, Code: rrcode.CanceledBeforeStart}
	}}
	url := serve(t, &Frontend{Backend: backend})
	for _, c := range []rrwire.Caller{rrwire.NewCallerProtobufClient(url, http.DefaultClient), rrwire.NewCallerJSONClient(url, http.DefaultClient)} {
		ctx, cancel := context.WithCancel(t.Context())
		go c.Submit(ctx, job(nil))
		<-entered
		cancel()
		<-ended
	}
}

func TestSlowBodyIsCutOffAndSlowAnswerIsNot(t *testing.T) {
	backend := &fakeBackend{answer: func(ctx context.Context, job rrtask.Job) rrtask.Answer {
		select {
		case <-ctx.Done():
			return rrtask.Answer{RequestID: job.ID, Code: rrcode.CanceledBeforeStart}
		case <-time.After(200 * time.Millisecond):
			return complete(job)
		}
	}}
	url := serve(t, &Frontend{Backend: backend, Limits: Limits{UploadTimeout: 50 * time.Millisecond}})
	r, w := io.Pipe()
	defer w.Close()
	req, err := http.NewRequestWithContext(t.Context(), "POST", url+submitPath, r)
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = 100
	req.Header.Set("Content-Type", "application/protobuf")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("got status %d, want %d", resp.StatusCode, http.StatusBadRequest)
		}
	}
	a, err := rrwire.NewCallerProtobufClient(url, http.DefaultClient).Submit(t.Context(), job(nil))
	if err != nil || rrcode.Code(a.Code) != rrcode.Complete {
		t.Errorf("got %v, %v, want complete", a, err)
	}
}

func TestManyEmptyTasksAreNotDecoded(t *testing.T) {
	front := &Frontend{Backend: &fakeBackend{}}
	url := serve(t, front)
	bodies := map[string]string{
		"application/protobuf": strings.Repeat("\x3a\x00", 1_000_000),
		"application/json":     `{"tasks":[` + strings.Repeat("{},", 1_000_000) + `{}]}`,
	}
	for kind, body := range bodies {
		resp, err := http.Post(url+submitPath, kind, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if !bytes.Contains(got, []byte("tasks: too many, want 1 to 1700")) {
			t.Errorf("%s: got %q, want a refusal", kind, got)
		}
	}
}

func TestProtocolErrors(t *testing.T) {
	url := serve(t, &Frontend{Backend: &fakeBackend{}})
	c := rrwire.NewCallerProtobufClient(url, http.DefaultClient)
	names := []*rrwire.Names{
		{Tenant: "", Ids: []string{"r1"}},
		{Tenant: "ports"},
		{Tenant: "ports", Ids: []string{"a b"}},
		{Tenant: "ports", Ids: make([]string, 10_001)},
	}
	for _, n := range names {
		_, err := c.Cancel(t.Context(), n)
		te, ok := err.(twirp.Error)
		if !ok || te.Code() != twirp.InvalidArgument || te.Meta("code") != "200" {
			t.Errorf("got %v, want invalid_argument with code 200", err)
		}
	}
	if n, err := c.Cancel(t.Context(), &rrwire.Names{Tenant: "ports", Ids: []string{"r1"}}); err != nil || n.Jobs != 1 {
		t.Errorf("got %v, %v, want one job", n, err)
	}
	req, _ := http.NewRequestWithContext(t.Context(), "POST", url+submitPath, io.MultiReader(strings.NewReader("x")))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, _ := io.ReadAll(resp.Body); !bytes.Contains(body, []byte("Content-Length")) {
		t.Errorf("got %q, want an answer that names Content-Length", body)
	}
}

func TestOperator(t *testing.T) {
	backend := &fakeBackend{cfg: rrconf.Default()}
	url := serve(t, &Frontend{Backend: backend})
	o := rrwire.NewOperatorProtobufClient(url, http.DefaultClient)
	peak := rrconf.Default()
	peak.Preset = rrconf.Peak
	long := peak
	long.Author = strings.Repeat("a", 65)
	steps := []struct {
		doc     *rrwire.Document
		code    rrcode.Code
		version uint64
	}{
		{&rrwire.Document{Text: `{"preset":"peak","opne":true}`}, rrcode.BadConfig, 0},
		{rrconfigdoc.ToWire(long), rrcode.BadConfig, 0},
		{rrconfigdoc.ToWire(peak), rrcode.Applied, 1},
		{rrconfigdoc.ToWire(peak), rrcode.Conflict, 1},
	}
	for i, s := range steps {
		out, err := o.Apply(t.Context(), s.doc)
		if err != nil || rrcode.Code(out.Code) != s.code || out.Won.Version != s.version {
			t.Errorf("step %d: got %v, %v, want %v and version %d", i, out, err, s.code, s.version)
		}
	}
	doc, err := o.Config(t.Context(), &rrwire.Empty{})
	if got, e := rrconfigdoc.FromWire(doc); err != nil || e != nil || got.Preset != rrconf.Peak || got.ChangeID == "" {
		t.Errorf("got %+v, %v, %v, want peak with a change id", got, err, e)
	}
	for _, n := range []*rrwire.Name{{Id: "r1", Tenant: "crates"}, {Id: "r2"}} {
		h, err := o.Explain(t.Context(), n)
		if err != nil || !strings.Contains(h.Text, `"code": 218`) {
			t.Errorf("%v: got %v, %v, want not-found", n, h, err)
		}
	}
	if h, err := o.Explain(t.Context(), &rrwire.Name{Id: "r1", Tenant: "ports"}); err != nil || !strings.Contains(h.Text, `"code": 100`) {
		t.Errorf("got %v, %v, want the history", h, err)
	}
}

func TestHTTPPaths(t *testing.T) {
	ready := true
	front := &Frontend{Backend: &fakeBackend{}, Ready: func() bool { return ready }, Pprof: true}
	url := serve(t, front)
	withoutPprof := serve(t, &Frontend{Backend: &fakeBackend{}})
	get := func(url string) string {
		resp, err := http.Get(url)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return fmt.Sprint(resp.StatusCode, " ", string(body))
	}
	tests := []struct {
		url, want string
	}{
		{url + "/healthz", "200 ok"},
		{url + "/readyz", "200 ok"},
		{url + "/metrics", `rr_messages_total{kind="batch"} 0`},
		{url + "/debug/pprof/cmdline", "200 "},
		{withoutPprof + "/debug/pprof/cmdline", "404 "},
	}
	for _, tt := range tests {
		if got := get(tt.url); !strings.Contains(got, tt.want) {
			t.Errorf("%s: got %.200s, want %s", tt.url, got, tt.want)
		}
	}
	ready = false
	resp, err := http.Post(url+submitPath, "application/json", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if !resp.Close {
		t.Errorf("got an open connection of an entry that is not ready, want it closed")
	}
	if got := get(url + "/readyz"); !strings.HasPrefix(got, "503") {
		t.Errorf("got %s, want 503", got)
	}
}

// TestOversizedBodyGetsCode checks that a client that sends far more than the body limit
// gets an answer with the code TooLarge in both encodings, not a broken connection.
func TestOversizedBodyGetsCode(t *testing.T) {
	url := serve(t, &Frontend{Backend: &fakeBackend{}})
	for _, c := range []rrwire.Caller{rrwire.NewCallerProtobufClient(url, http.DefaultClient), rrwire.NewCallerJSONClient(url, http.DefaultClient)} {
		for range 3 {
			m := job(nil)
			m.Service = strings.Repeat("x", 20<<20)
			a, err := c.Submit(t.Context(), m)
			if err != nil {
				t.Fatalf("20 MB: %v", err)
			}
			if got, want := rrcode.Code(a.Code), rrcode.TooLarge; got != want {
				t.Errorf("code: got %v, want %v", got, want)
			}
		}
	}
}
