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

// link is one direction between two zones.
type link struct{ from, to string }

// network relays the connections between entries, and can cut them by zone.
type network struct {
	fleet *fleet
	mu    sync.Mutex
	cut   map[link]bool
	open  []*pipe
	zones map[int]string // of the entry processes, by process id
}

// relay accepts the connections of peers for one entry and forwards them to it.
type relay struct {
	network *network
	to      *process
	ln      net.Listener
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

func (n *network) relayTo(p *process) *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	r := &relay{network: n, to: p, ln: ln}
	go r.serve()
	n.fleet.t.Cleanup(func() { ln.Close() })
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

// relayConn copies data in both directions until one side closes or the link is cut.
func (r *relay) relayConn(nc net.Conn) {
	defer nc.Close()
	dir := link{r.network.zoneOf(nc), r.to.zone}
	out, err := net.DialTimeout("tcp", r.to.addr, time.Second)
	if err != nil {
		return
	}
	p := &pipe{dir, nc, out}
	defer p.close()
	if dir.from == "" || !r.network.addPipe(p) {
		return
	}
	go func() {
		io.Copy(out, nc)
		p.close()
	}()
	io.Copy(nc, out)
}

// addPipe records an open connection. It reports false if its link is cut.
func (n *network) addPipe(p *pipe) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = append(n.open, p)
	return !n.cut[p.link]
}

// setCut cuts or restores one direction between two zones. A cut closes the connections
// opened in that direction and prevents new ones.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
	for _, p := range n.open {
		if cut && p.link == (link{from, to}) {
			p.close()
		}
	}
}

// isolate cuts or restores both directions between a zone and all others.
func (n *network) isolate(zone string, cut bool) {
	for _, z := range zones {
		if z != zone {
			n.setCut(zone, z, cut)
			n.setCut(z, zone, cut)
		}
	}
}

// addProcess records the zone of an entry process.
func (n *network) addProcess(p *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[p.cmd.Process.Pid] = p.zone
}

// zoneOf returns the zone of the entry process that opened a connection, or the empty
// string if no process has the connection's socket any more.
func (n *network) zoneOf(nc net.Conn) string {
	port := nc.RemoteAddr().(*net.TCPAddr).Port
	for range 5 { // /proc/net/tcp may omit a line while the kernel changes its table
		if zone := n.zoneOfSocket(socketOf(port)); zone != "" {
			return zone
		}
	}
	return ""
}

func (n *network) zoneOfSocket(socket string) string {
	n.mu.Lock()
	zones := maps.Clone(n.zones)
	n.mu.Unlock()
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

// socketOf returns the name under /proc of the socket whose local address is the given
// port of 127.0.0.1.
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
