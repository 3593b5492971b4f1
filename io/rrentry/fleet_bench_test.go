package rrentry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrnode"
	"rattanring/io/rrendpointslice"
	"rattanring/io/rrplatform"
	"rattanring/io/rrsettings"
)

// runningEntry is one entry of a large fleet in this process.
type runningEntry struct {
	*Entry
	server *http.Server
	stop   context.CancelFunc
}

// launch starts an entry without Serve, which would drain it, so a test can kill it.
func launch(b *testing.B, p *rrplatform.Platform, name, zone, url string) *runningEntry {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	settings := rrsettings.Default()
	settings.Name, settings.Zone, settings.StoreURL, settings.InstanceListURL = name, zone, url, url
	r := &runningEntry{Entry: newEntry(settings, ln, log.NewNopLogger())}
	p.Register(rrplatform.Instance{Name: name, Addr: ln.Addr().String(), Zone: zone, Service: "rattanring"})
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	r.newSupervisor().ServeBackground(ctx)
	r.server = &http.Server{Handler: r.handler()}
	go r.server.Serve(ln)
	return r
}

// kill stops the entry without draining it.
func (r *runningEntry) kill() {
	r.server.Close()
	r.stop()
	close(r.stopped)
	r.cancelEffects()
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFleet starts a fleet of entries and a list of minions in one process. It
// measures once, so run it with -benchtime 1x. It reports the heap and the CPU time of an
// idle entry, including its share of the simulated platform; the bytes between peers; the
// store's calls; the time until a configuration change is active at all entries; and the
// time until the other entries of a killed entry's zone assign its minions to new owners.
func BenchmarkFleet(b *testing.B) {
	for _, s := range []struct{ entries, minions, zones int }{{9, 50, 3}, {27, 245, 9}, {54, 490, 9}, {54, 980, 9}} {
		b.Run(fmt.Sprintf("entries=%d/minions=%d", s.entries, s.minions), func(b *testing.B) {
			p := &rrplatform.Platform{}
			web := httptest.NewServer(p.Handler())
			defer web.Close()
			for i := range s.minions {
				p.Register(rrplatform.Instance{
					Name: fmt.Sprintf("minion-%04d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 20_000+i),
					Zone: fmt.Sprintf("zone-%d", i%s.zones), Service: "torri", Slots: 8, Conns: 60,
				})
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			fleet := make([]*runningEntry, s.entries)
			for i := range fleet {
				fleet[i] = launch(b, p, fmt.Sprintf("entry-%03d", i), fmt.Sprintf("zone-%d", i%s.zones), web.URL)
			}
			waitForOwners(b, fleet, s.minions)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(s.entries), "heap-B/entry")
			measureIdle(b, p, fleet)
			measureChange(b, fleet)
			measureTakeover(b, fleet)
			for _, r := range fleet[1:] {
				r.kill()
			}
		})
	}
}

// waitForOwners waits until every entry considers all entries alive and lists all minions,
// and then 5 s more for ownership to stabilize.
func waitForOwners(b *testing.B, fleet []*runningEntry, minions int) {
	b.Helper()
	waitUntil(b, fleet, func(n *rrnode.Node, now time.Time) bool {
		return n.LiveEntries(now) == len(fleet) && len(n.Status(now).Minions) == minions
	})
	time.Sleep(5 * time.Second)
}

func waitUntil(b *testing.B, fleet []*runningEntry, ok func(*rrnode.Node, time.Time) bool) time.Duration {
	b.Helper()
	startedAt := time.Now()
	for _, r := range fleet {
		for done := false; !done; time.Sleep(10 * time.Millisecond) {
			_ = r.query(context.Background(), func(now time.Time, n *rrnode.Node) { done = ok(n, now) })
			if time.Since(startedAt) > time.Minute {
				b.Fatal("the fleet did not reach the wanted state within a minute")
			}
		}
	}
	return time.Since(startedAt)
}

func measureIdle(b *testing.B, p *rrplatform.Platform, fleet []*runningEntry) {
	const window = 15 * time.Second
	peerBytes := func() (n uint64) {
		for _, r := range fleet {
			n += r.peers.ControlBytes()
		}
		return n
	}
	b.ReportMetric(listBytes(b, fleet[0].settings.InstanceListURL), "list-B")
	cpuBefore, bytesBefore, statsBefore := cpuTime(), peerBytes(), p.Stats()
	time.Sleep(window)
	entrySeconds := window.Seconds() * float64(len(fleet))
	statsAfter := p.Stats()
	b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/entrySeconds, "%core/entry")
	// Only the caller of an exchange counts its bytes, but both entries carry them.
	b.ReportMetric(2*float64(peerBytes()-bytesBefore)/entrySeconds, "peer-B/s/entry")
	b.ReportMetric(float64(statsAfter.Reads-statsBefore.Reads)/window.Seconds(), "store-reads/s")
	b.ReportMetric(float64(statsAfter.Watches), "store-watches")
}

// listBytes returns the size of the instance list's response.
func listBytes(b *testing.B, url string) float64 {
	b.Helper()
	res, err := http.Get(url + rrendpointslice.ListPath)
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil {
		b.Fatal(err)
	}
	return float64(n)
}

func measureChange(b *testing.B, fleet []*runningEntry) {
	cfg := rrconf.Default()
	cfg.Preset = rrconf.Peak
	startedAt := time.Now()
	code, detail, active := fleet[len(fleet)-1].Apply(context.Background(), cfg)
	if code != rrcode.Applied {
		b.Fatalf("got %v (%s), want applied", code, detail)
	}
	waitUntil(b, fleet, func(n *rrnode.Node, _ time.Time) bool { return n.Config().Version == active.Version })
	b.ReportMetric(time.Since(startedAt).Seconds(), "s-in-force")
}

// measureTakeover kills the first entry and waits until no other entry of its zone
// considers it the owner of a minion.
func measureTakeover(b *testing.B, fleet []*runningEntry) {
	dead := fleet[0].self.Name
	fleet[0].kill()
	var zonePeers []*runningEntry
	for _, r := range fleet[1:] {
		if r.self.Zone == fleet[0].self.Zone {
			zonePeers = append(zonePeers, r)
		}
	}
	took := waitUntil(b, zonePeers, func(n *rrnode.Node, now time.Time) bool {
		for _, m := range n.Status(now).Minions {
			if m.Owner == dead {
				return false
			}
		}
		return true
	})
	b.ReportMetric(took.Seconds(), "s-to-adopt")
}
