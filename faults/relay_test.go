package faults

import (
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// link is a direction between two zones.
type link struct{ from, to string }

// links carries the connections between entries and cuts them.
type links struct {
	fleet *fleet
	mu    sync.Mutex
	cut   map[link]bool
	open  []*pipe
	zones map[int]string // of the entry processes
}

// relay accepts the peers' connections for one entry.
type relay struct {
	links *links
	to    *process
	ln    net.Listener
}

// pipe is one relayed connection.
type pipe struct {
	link
	a, b net.Conn
}

func (p *pipe) close() {
	p.a.Close()
	p.b.Close()
}

func (l *links) relayTo(p *process) *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.fleet.t.Fatal(err)
	}
	r := &relay{links: l, to: p, ln: ln}
	go r.serve()
	l.fleet.t.Cleanup(func() { ln.Close() })
	return r
}

func (r *relay) addr() string {
	return r.ln.Addr().String()
}

func (r *relay) serve() {
	for {
		nc, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.relayConn(nc)
	}
}

// relayConn copies both ways until one side closes or the link is cut.
func (r *relay) relayConn(nc net.Conn) {
	defer nc.Close()
	up := link{r.links.zoneOf(nc), r.to.zone}
	out, err := net.DialTimeout("tcp", r.to.addr, time.Second)
	if err != nil {
		return
	}
	p := &pipe{up, nc, out}
	defer p.close()
	if up.from == "" || !r.links.add(p) {
		return
	}
	go func() {
		io.Copy(out, nc)
		p.close()
	}()
	io.Copy(nc, out)
}

// add notes an open connection, and reports false when its link is cut.
func (l *links) add(p *pipe) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, p)
	return !l.cut[p.link]
}

// set cuts or heals a direction between two zones. A cut breaks the connections
// that were opened in that direction, and none can be opened any more.
func (l *links) set(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[link{from, to}] = cut
	for _, p := range l.open {
		if cut && p.link == (link{from, to}) {
			p.close()
		}
	}
}

// isolate cuts or heals a zone from all others, both ways.
func (l *links) isolate(zone string, cut bool) {
	for _, z := range zones {
		if z != zone {
			l.set(zone, z, cut)
			l.set(z, zone, cut)
		}
	}
}

// started notes the zone of an entry process.
func (l *links) started(p *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones[p.cmd.Process.Pid] = p.zone
}

// zoneOf returns the zone of the entry process that opened a connection, and the
// empty name when it has gone.
func (l *links) zoneOf(nc net.Conn) string {
	port := nc.RemoteAddr().(*net.TCPAddr).Port
	for range 5 { // the kernel's tables may skip a line while they change
		if zone := l.lookUp(socketOf(port)); zone != "" {
			return zone
		}
	}
	return ""
}

func (l *links) lookUp(socket string) string {
	l.mu.Lock()
	zones := maps.Clone(l.zones)
	l.mu.Unlock()
	for pid, zone := range zones {
		fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, fd := range fds {
			if to, err := os.Readlink(fd); err == nil && to == socket {
				return zone
			}
		}
	}
	return ""
}

// socketOf returns the name under /proc of the socket that is bound to a port of
// 127.0.0.1.
func socketOf(port int) string {
	table, _ := os.ReadFile("/proc/net/tcp")
	local := fmt.Sprintf("0100007F:%04X", port)
	for line := range strings.Lines(string(table)) {
		if f := strings.Fields(line); len(f) > 9 && f[1] == local {
			return "socket:[" + f[9] + "]"
		}
	}
	return ""
}
