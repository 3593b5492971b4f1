package rrcompare

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanring/io/rrendpointslice"
	"rattanring/io/rrload"
	"rattanring/io/rrplatform"
	"rattanring/io/rrwire"
)

const (
	readyLimit = 20 * time.Second
	readyPoll  = 50 * time.Millisecond
	stopLimit  = 10 * time.Second
	logTail    = 2 << 10 // bytes of an entry's log that an error shows
)

// ProductName is the product's name as a strategy.
const ProductName = "rattanring"

// Product starts entries as separate processes beside a stand-in of the platform.
type Product struct {
	Binary string        // path of the program rattanring
	Dir    string        // where the entries' logs go
	Settle time.Duration // wait after all entries are ready
	Args   []string      // further flags of each entry
}

// Strategy returns the product as a strategy.
func (p Product) Strategy() Strategy {
	return Strategy{Name: ProductName, Start: p.start}
}

// Ensure compiles the program of the module in the working directory into Dir
// unless Binary is set.
func (p *Product) Ensure(ctx context.Context) error {
	if p.Binary != "" {
		return nil
	}
	p.Binary = filepath.Join(p.Dir, "rattanring")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", p.Binary, "./cmd/rattanring").CombinedOutput()
	if err != nil {
		return merry.Prependf(err, "go build: %s", out)
	}
	return nil
}

func (p Product) start(ctx context.Context, e *Env) (*Dispatch, error) {
	r := &running{}
	if err := r.startPlatform(e); err != nil {
		return nil, err
	}
	for i := range e.Entries {
		if err := r.startEntry(p, e, i); err != nil {
			r.stop()
			return nil, err
		}
	}
	for _, proc := range r.procs {
		if err := proc.waitReady(ctx); err != nil {
			r.stop()
			return nil, err
		}
	}
	time.Sleep(p.Settle)
	return r.dispatch(), nil
}

// dispatchTo returns clients of entries that run already. Stop is nil.
func dispatchTo(addrs []string) *Dispatch {
	client := newHTTPClient()
	d := &Dispatch{Cost: func(ctx context.Context) (rrload.Cost, error) { return scrapeAll(ctx, addrs) }}
	for _, addr := range addrs {
		d.Entries = append(d.Entries, rrwire.NewCallerProtobufClient("http://"+addr, client))
	}
	return d
}

// newHTTPClient returns a client that keeps enough connections for a load.
func newHTTPClient() *http.Client {
	const idle = 1000
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle, DisableCompression: true}}
}

func scrapeAll(ctx context.Context, addrs []string) (rrload.Cost, error) {
	var sum rrload.Cost
	for _, addr := range addrs {
		c, err := rrload.Scrape(ctx, addr)
		if err != nil {
			return sum, err
		}
		sum = sum.Plus(c)
	}
	return sum, nil
}

// running is the product at work.
type running struct {
	platform *rrplatform.Platform
	url      string
	srv      *http.Server
	procs    []*process
}

func (r *running) startPlatform(e *Env) error {
	r.platform = &rrplatform.Platform{}
	for _, inst := range e.Fleet.Instances(e.Place) {
		r.platform.Register(inst)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return merry.Wrap(err)
	}
	r.url = "http://" + ln.Addr().String()
	r.srv = &http.Server{Handler: r.platform.Handler()}
	go r.srv.Serve(ln)
	return nil
}

func (r *running) startEntry(p Product, e *Env, i int) error {
	name := fmt.Sprintf("entry-%d", i)
	zone := e.Place.Zones[i%len(e.Place.Zones)]
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	args := []string{"entry", "-name", name, "-zone", zone, "-listen", addr,
		"-store", r.url, "-list", r.url, "-log-level", "warn"}
	proc, err := startProcess(p, name, addr, append(args, p.Args...))
	if err != nil {
		return err
	}
	r.procs = append(r.procs, proc)
	r.platform.Register(rrplatform.Instance{Name: name, Addr: addr, Zone: zone, Service: rrendpointslice.EntryService})
	return nil
}

// freeAddr returns an address with a port that was free a moment ago.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", merry.Wrap(err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (r *running) addrs() []string {
	var list []string
	for _, proc := range r.procs {
		list = append(list, proc.addr)
	}
	return list
}

func (r *running) stop() {
	for _, proc := range r.procs {
		proc.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, proc := range r.procs {
		proc.wait()
	}
	r.srv.Close()
}

// dispatch returns the clients of the entries. A cost that can't be read comes
// with the log of an entry that ended.
func (r *running) dispatch() *Dispatch {
	d := dispatchTo(r.addrs())
	scrape := d.Cost
	d.Stop = r.stop
	d.Cost = func(ctx context.Context) (rrload.Cost, error) {
		c, err := scrape(ctx)
		if err != nil {
			err = r.explain(err)
		}
		return c, err
	}
	return d
}

func (r *running) explain(err error) error {
	for _, proc := range r.procs {
		select {
		case <-proc.done:
			return proc.explain(err)
		default:
		}
	}
	return err
}

// process is one entry.
type process struct {
	name string
	addr string
	log  string // path
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

func startProcess(p Product, name, addr string, args []string) (*process, error) {
	proc := &process{name: name, addr: addr, log: filepath.Join(p.Dir, name+".log"), done: make(chan struct{})}
	file, err := os.Create(proc.log)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer file.Close()
	proc.cmd = exec.Command(p.Binary, args...)
	proc.cmd.Stdout = file
	proc.cmd.Stderr = file
	if err := proc.cmd.Start(); err != nil {
		return nil, merry.Wrap(err)
	}
	go func() {
		proc.cmd.Wait()
		close(proc.done)
	}()
	return proc, nil
}

// waitReady waits until the entry takes jobs.
func (p *process) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		res, err := http.Get("http://" + p.addr + "/readyz")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return p.explain(merry.Errorf("%s is not ready after %s", p.name, readyLimit))
		case <-p.done:
			return p.explain(merry.Errorf("%s ended", p.name))
		case <-time.After(readyPoll):
		}
	}
}

// wait waits for the end of the process and kills it when that takes too long.
func (p *process) wait() {
	select {
	case <-p.done:
	case <-time.After(stopLimit):
		p.cmd.Process.Kill()
		<-p.done
	}
}

// explain adds the end of the entry's log to err.
func (p *process) explain(err error) error {
	file, openErr := os.Open(p.log)
	if openErr != nil {
		return err
	}
	defer file.Close()
	if info, statErr := file.Stat(); statErr == nil && info.Size() > logTail {
		file.Seek(-logTail, io.SeekEnd)
	}
	tail, _ := io.ReadAll(file)
	return merry.Prependf(err, "%s", tail)
}
