// Package e2e tests the programs rattanring and rrlab as separate processes.
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

// binDir is the directory into which TestMain builds the programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rattanring")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "rattanring/cmd/rattanring", "rattanring/cmd/rrlab").CombinedOutput()
	if err != nil {
		os.Stderr.Write(out)
		return 1
	}
	return m.Run()
}

// waitTimeout bounds every wait of a test. It is not a requirement on speed.
const waitTimeout = 30 * time.Second

// process is a running program.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	found chan []string // submatches of the pattern given to startProcess

	mu  sync.Mutex
	out bytes.Buffer
	err error // how the process ended; valid once ended is closed
}

// startProcess starts a program, which runs until the test ends. It waits until a line
// of the output matches ready and returns the submatches.
func startProcess(t *testing.T, ready, name string, args ...string) (*process, []string) {
	t.Helper()
	r, w := io.Pipe()
	p := &process{
		cmd:   exec.Command(filepath.Join(binDir, name), args...),
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
		t.Fatalf("%s %q ended before its output matched: %v", name, args, p.err)
	case <-time.After(waitTimeout):
		t.Fatalf("%s %q wrote no line that matches %s", name, args, ready)
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

// terminate sends SIGTERM to the process and returns its exit status.
func (p *process) terminate(t *testing.T) int {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not stop after SIGTERM", p.cmd)
	}
	return p.cmd.ProcessState.ExitCode()
}

// runCommand runs rattanring until it exits and returns its output and exit status.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, "rattanring"), args...)
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
