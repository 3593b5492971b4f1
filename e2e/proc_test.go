// Package e2e runs the real programs as separate processes.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"
)

// bin is where TestMain puts the programs.
var bin string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rattanring")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	bin = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "rattanring/cmd/rattanring", "rattanring/cmd/rrlab").CombinedOutput()
	if err != nil {
		os.Stderr.Write(out)
		return 1
	}
	return m.Run()
}

// waitTimeout bounds every wait of a test; it is no measure of speed.
const waitTimeout = 30 * time.Second

// process is a program that runs until it is stopped.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	found chan []string // what the pattern of start matched

	mu  sync.Mutex
	out bytes.Buffer
	err error // of the process; valid once ended is closed
}

// start runs a program until the test ends, and waits until its output matches
// ready. It returns the submatches.
func start(t *testing.T, ready, name string, args ...string) (*process, []string) {
	t.Helper()
	r, w := io.Pipe()
	p := &process{
		cmd:   exec.Command(filepath.Join(bin, name), args...),
		ended: make(chan struct{}),
		found: make(chan []string, 1),
	}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.read(r, regexp.MustCompile(ready))
	go func() {
		p.err = p.cmd.Wait()
		w.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("%s %q wrote\n%s", name, args, p.output())
		}
	})
	select {
	case m := <-p.found:
		return p, m
	case <-p.ended:
		t.Fatalf("%s %q ended early: %v", name, args, p.err)
	case <-time.After(waitTimeout):
		t.Fatalf("%s %q wrote nothing like %s", name, args, ready)
	}
	return nil, nil
}

func (p *process) read(r io.Reader, ready *regexp.Regexp) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		p.mu.Lock()
		p.out.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
		if m := ready.FindStringSubmatch(lines.Text()); m != nil {
			select {
			case p.found <- m:
			default:
			}
		}
	}
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

// terminate asks the process to stop and returns its exit status.
func (p *process) terminate(t *testing.T) int {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not stop", p.cmd)
	}
	return p.cmd.ProcessState.ExitCode()
}

// command runs rattanring to its end and returns its output and exit status.
func command(t *testing.T, args ...string) (string, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(bin, "rattanring"), args...)
	var errs bytes.Buffer
	cmd.Stderr = &errs
	out, err := cmd.Output()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	if errs.Len() > 0 {
		t.Logf("rattanring %q: %s", args, errs.String())
	}
	return string(out), cmd.ProcessState.ExitCode()
}
