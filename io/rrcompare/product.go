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
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	stopTimeout       = 10 * time.Second
	logTailBytes      = 2 << 10 // bytes at the end of an entry's log that an error includes
)

// ProductName is the name of the strategy that runs the product.
const ProductName = "rattanring"

// Product runs entries as separate processes, with a stand-in of the platform in this
// process.
type Product struct {
	Binary     string        // path of the program rattanring
	Dir        string        // directory of the entries' logs
	SettleTime time.Duration // wait after all entries are ready, for them to find each other and the minions
	Args       []string      // further flags of each entry
}

// Strategy returns the product as a strategy.
func (p Product) Strategy() Strategy {
	return Strategy{Name: ProductName, Start: p.start}
}

// Build builds the program rattanring of the module in the working directory into Dir,
// unless Binary is set.
func (p *Product) Build(ctx context.Context) error {
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

func (p Product) start(ctx context.Context, e *Environment) (*Deployment, error) {
	r := &runningProduct{}
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
	time.Sleep(p.SettleTime)
	return r.deployment(), nil
}

// connect returns a deployment of entries that already run. Its Stop is nil.
func connect(addrs []string) *Deployment {
	client := newHTTPClient()
	d := &Deployment{Cost: func(ctx context.Context) (rrload.Cost, error) { return scrapeAll(ctx, addrs) }}
	for _, addr := range addrs {
		d.Entries = append(d.Entries, rrwire.NewCallerProtobufClient("http://"+addr, client))
	}
	return d
}

// newHTTPClient returns a client that keeps enough idle connections for a load.
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

// runningProduct is a platform stand-in and the entries that use it.
type runningProduct struct {
	platform *rrplatform.Platform
	url      string
	srv      *http.Server
	procs    []*process
}

func (r *runningProduct) startPlatform(e *Environment) error {
	r.platform = &rrplatform.Platform{}
	for _, inst := range e.Fleet.Instances(e.Listing) {
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

func (r *runningProduct) startEntry(p Product, e *Environment, i int) error {
	name := fmt.Sprintf("entry-%d", i)
	zone := e.Listing.Zones[i%len(e.Listing.Zones)]
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

// freeAddr returns a loopback address whose port was free during the call. Another
// process may take the port before it is used.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", merry.Wrap(err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (r *runningProduct) addrs() []string {
	var list []string
	for _, proc := range r.procs {
		list = append(list, proc.addr)
	}
	return list
}

func (r *runningProduct) stop() {
	for _, proc := range r.procs {
		proc.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, proc := range r.procs {
		proc.wait()
	}
	r.srv.Close()
}

// deployment returns the entries as a deployment. An error from reading the cost
// includes the log of an entry that has ended, if there is one.
func (r *runningProduct) deployment() *Deployment {
	d := connect(r.addrs())
	scrape := d.Cost
	d.Stop = r.stop
	d.Cost = func(ctx context.Context) (rrload.Cost, error) {
		c, err := scrape(ctx)
		if err != nil {
			err = r.addLog(err)
		}
		return c, err
	}
	return d
}

func (r *runningProduct) addLog(err error) error {
	for _, proc := range r.procs {
		select {
		case <-proc.done:
			return proc.addLog(err)
		default:
		}
	}
	return err
}

// process is the process of one entry.
type process struct {
	name    string
	addr    string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
}

func startProcess(p Product, name, addr string, args []string) (*process, error) {
	proc := &process{name: name, addr: addr, logPath: filepath.Join(p.Dir, name+".log"), done: make(chan struct{})}
	file, err := os.Create(proc.logPath)
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

// waitReady waits until the entry accepts jobs.
func (p *process) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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
			return p.addLog(merry.Errorf("entry %s is not ready after %s", p.name, readyTimeout))
		case <-p.done:
			return p.addLog(merry.Errorf("%s ended", p.name))
		case <-time.After(readyPollInterval):
		}
	}
}

// wait waits for the process to end and kills it after stopTimeout.
func (p *process) wait() {
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.cmd.Process.Kill()
		<-p.done
	}
}

// addLog prepends the end of the entry's log to err.
func (p *process) addLog(err error) error {
	file, openErr := os.Open(p.logPath)
	if openErr != nil {
		return err
	}
	defer file.Close()
	if info, statErr := file.Stat(); statErr == nil && info.Size() > logTailBytes {
		file.Seek(-logTailBytes, io.SeekEnd)
	}
	tail, _ := io.ReadAll(file)
	return merry.Prependf(err, "%s", tail)
}
