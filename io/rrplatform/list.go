package rrplatform

import (
	"encoding/json"
	"fmt"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"rattanring/core/rrtask"
	"rattanring/io/rrendpointslice"
)

// Instance is one item of the instance list: an entry or a minion.
type Instance struct {
	Name     string
	Addr     string // host:port
	Zone     string
	Region   string
	Service  string // rrendpointslice.EntryService for an entry
	Slots    int
	Conns    int // maximum number of concurrent connections that the list declares for it; zero declares none
	Capacity rrtask.Resources
	Draining bool
}

// instanceList is the instance list: its visible state and the changes that the lag
// still hides.
type instanceList struct {
	visible map[string]Instance
	pending []listChange // ordered by time
}

type listChange struct {
	at   time.Time
	name string
	inst *Instance // nil removes the instance
}

// advance makes the changes up to time until visible.
func (l *instanceList) advance(until time.Time) {
	if l.visible == nil {
		l.visible = make(map[string]Instance)
	}
	n := 0
	for ; n < len(l.pending) && !l.pending[n].at.After(until); n++ {
		c := l.pending[n]
		if c.inst == nil {
			delete(l.visible, c.name)
			continue
		}
		l.visible[c.name] = *c.inst
	}
	l.pending = l.pending[n:]
}

// latest returns the instance of the given name with all pending changes applied.
func (l *instanceList) latest(name string) (Instance, bool) {
	for _, c := range slices.Backward(l.pending) {
		if c.name != name {
			continue
		}
		if c.inst == nil {
			return Instance{}, false
		}
		return *c.inst, true
	}
	inst, ok := l.visible[name]
	return inst, ok
}

// Register adds or replaces an instance.
func (p *Platform) Register(inst Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.pending = append(p.instances.pending, listChange{p.now(), inst.Name, &inst})
}

// Remove removes an instance from the list.
func (p *Platform) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.pending = append(p.instances.pending, listChange{p.now(), name, nil})
}

// Drain marks an instance as draining and reports whether the list has it.
func (p *Platform) Drain(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst, ok := p.instances.latest(name)
	if !ok {
		return false
	}
	inst.Draining = true
	p.instances.pending = append(p.instances.pending, listChange{p.now(), name, &inst})
	return true
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.limit.stats.Lists++
	outage := p.faults.ListOutage
	p.instances.advance(p.now().Add(-p.faults.ListLag))
	doc := p.instances.doc()
	p.mu.Unlock()
	if outage {
		http.Error(w, "the instance list is away", http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(doc)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf(`"%016x"`, maphash.Bytes(listSeed, body))
	w.Header().Set("Etag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

// listSeed is the hash seed of the list's entity tags.
var listSeed = maphash.MakeSeed()

func (l *instanceList) doc() rrendpointslice.EndpointSliceList {
	doc := rrendpointslice.EndpointSliceList{APIVersion: "discovery.k8s.io/v1", Kind: "EndpointSliceList", Items: []rrendpointslice.EndpointSlice{}}
	for _, inst := range l.visible {
		doc.Items = append(doc.Items, inst.endpointSlice())
	}
	slices.SortFunc(doc.Items, func(a, b rrendpointslice.EndpointSlice) int {
		return strings.Compare(a.Metadata.Name, b.Metadata.Name)
	})
	return doc
}

func (inst Instance) endpointSlice() rrendpointslice.EndpointSlice {
	host, port, _ := net.SplitHostPort(inst.Addr)
	portNumber, _ := strconv.Atoi(port)
	ready := !inst.Draining
	return rrendpointslice.EndpointSlice{
		Metadata: rrendpointslice.Metadata{
			Name:        inst.Name,
			Labels:      map[string]string{rrendpointslice.ServiceLabel: inst.Service},
			Annotations: inst.annotations(),
		},
		Ports: []rrendpointslice.Port{{Port: portNumber}},
		Endpoints: []rrendpointslice.Endpoint{{
			Addresses:  []string{host},
			Conditions: rrendpointslice.Conditions{Ready: &ready, Terminating: inst.Draining},
			TargetRef:  rrendpointslice.ObjectReference{Name: inst.Name},
			Zone:       inst.Zone,
		}},
	}
}

func (inst Instance) annotations() map[string]string {
	annotations := make(map[string]string)
	set := func(name string, n uint64) {
		if n != 0 {
			annotations[name] = strconv.FormatUint(n, 10)
		}
	}
	set(rrendpointslice.SlotsAnnotation, uint64(inst.Slots))
	set(rrendpointslice.ConnsAnnotation, uint64(inst.Conns))
	set(rrendpointslice.CoresAnnotation, uint64(inst.Capacity.MilliCores))
	set(rrendpointslice.MemoryAnnotation, inst.Capacity.MemoryBytes)
	set(rrendpointslice.AcceleratorsAnnotation, uint64(inst.Capacity.Accelerators))
	if inst.Region != "" {
		annotations[rrendpointslice.RegionAnnotation] = inst.Region
	}
	return annotations
}

// InstanceDoc is the JSON form of an Instance, the body of the lab's call
// `POST /instances`.
type InstanceDoc struct {
	Name         string `json:"name"`
	Addr         string `json:"addr"`
	Zone         string `json:"zone"`
	Region       string `json:"region"`
	Service      string `json:"service"`
	Slots        int    `json:"slots"`
	Conns        int    `json:"conns"`
	MilliCores   uint32 `json:"cores"`
	MemoryBytes  uint64 `json:"memory"`
	Accelerators uint32 `json:"accels"`
	Draining     bool   `json:"leaving"`
}

// Doc returns the JSON form of inst.
func (inst Instance) Doc() InstanceDoc {
	return InstanceDoc{
		Name: inst.Name, Addr: inst.Addr, Zone: inst.Zone, Region: inst.Region, Service: inst.Service,
		Slots: inst.Slots, Conns: inst.Conns,
		MilliCores: inst.Capacity.MilliCores, MemoryBytes: inst.Capacity.MemoryBytes, Accelerators: inst.Capacity.Accelerators,
		Draining: inst.Draining,
	}
}

func (d InstanceDoc) instance() Instance {
	return Instance{
		Name: d.Name, Addr: d.Addr, Zone: d.Zone, Region: d.Region, Service: d.Service,
		Slots: d.Slots, Conns: d.Conns,
		Capacity: rrtask.Resources{MilliCores: d.MilliCores, MemoryBytes: d.MemoryBytes, Accelerators: d.Accelerators},
		Draining: d.Draining,
	}
}

func (p *Platform) serveRegister(w http.ResponseWriter, r *http.Request) {
	var doc InstanceDoc
	err := json.NewDecoder(r.Body).Decode(&doc)
	if err == nil {
		_, _, err = net.SplitHostPort(doc.Addr)
	}
	if err != nil || doc.Name == "" {
		http.Error(w, "want a name and an addr of host:port", http.StatusBadRequest)
		return
	}
	p.Register(doc.instance())
}

func (p *Platform) serveRemove(_ http.ResponseWriter, r *http.Request) {
	p.Remove(r.PathValue("name"))
}

func (p *Platform) serveDrain(w http.ResponseWriter, r *http.Request) {
	if !p.Drain(r.PathValue("name")) {
		http.Error(w, "no such instance", http.StatusNotFound)
	}
}
