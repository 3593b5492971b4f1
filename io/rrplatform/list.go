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

// Instance is one process that the list shows.
type Instance struct {
	Name     string
	Addr     string // host:port
	Zone     string
	Region   string
	Service  string // rrendpointslice.EntryService for an entry
	Slots    int
	Conns    int
	Capacity rrtask.Resources
	Leaving  bool
}

// list is the instance list: what is shown, and the changes that the lag holds back.
type list struct {
	shown   map[string]Instance
	pending []listChange // in order of time
}

type listChange struct {
	at   time.Time
	name string
	inst *Instance // nil removes the instance
}

// advance applies the changes up to time until.
func (l *list) advance(until time.Time) {
	if l.shown == nil {
		l.shown = make(map[string]Instance)
	}
	n := 0
	for ; n < len(l.pending) && !l.pending[n].at.After(until); n++ {
		c := l.pending[n]
		if c.inst == nil {
			delete(l.shown, c.name)
			continue
		}
		l.shown[c.name] = *c.inst
	}
	l.pending = l.pending[n:]
}

// latest returns what will be shown of name once the lag is over.
func (l *list) latest(name string) (Instance, bool) {
	for _, c := range slices.Backward(l.pending) {
		if c.name != name {
			continue
		}
		if c.inst == nil {
			return Instance{}, false
		}
		return *c.inst, true
	}
	inst, ok := l.shown[name]
	return inst, ok
}

// Register adds or replaces an instance.
func (p *Platform) Register(inst Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.pending = append(p.list.pending, listChange{p.now(), inst.Name, &inst})
}

// Remove takes an instance off the list.
func (p *Platform) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.pending = append(p.list.pending, listChange{p.now(), name, nil})
}

// Leave marks an instance as leaving and reports whether there is one.
func (p *Platform) Leave(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst, ok := p.list.latest(name)
	if !ok {
		return false
	}
	inst.Leaving = true
	p.list.pending = append(p.list.pending, listChange{p.now(), name, &inst})
	return true
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.limit.stats.Lists++
	away := p.faults.List
	p.list.advance(p.now().Add(-p.faults.Lag))
	doc := p.list.doc()
	p.mu.Unlock()
	if away {
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

// listSeed makes the entity tags of the list.
var listSeed = maphash.MakeSeed()

func (l *list) doc() rrendpointslice.EndpointSliceList {
	doc := rrendpointslice.EndpointSliceList{APIVersion: "discovery.k8s.io/v1", Kind: "EndpointSliceList", Items: []rrendpointslice.EndpointSlice{}}
	for _, inst := range l.shown {
		doc.Items = append(doc.Items, inst.slice())
	}
	slices.SortFunc(doc.Items, func(a, b rrendpointslice.EndpointSlice) int {
		return strings.Compare(a.Metadata.Name, b.Metadata.Name)
	})
	return doc
}

func (inst Instance) slice() rrendpointslice.EndpointSlice {
	host, port, _ := net.SplitHostPort(inst.Addr)
	number, _ := strconv.Atoi(port)
	ready := !inst.Leaving
	return rrendpointslice.EndpointSlice{
		Metadata: rrendpointslice.Metadata{
			Name:        inst.Name,
			Labels:      map[string]string{rrendpointslice.ServiceLabel: inst.Service},
			Annotations: inst.annotations(),
		},
		Ports: []rrendpointslice.Port{{Port: number}},
		Endpoints: []rrendpointslice.Endpoint{{
			Addresses:  []string{host},
			Conditions: rrendpointslice.Conditions{Ready: &ready, Terminating: inst.Leaving},
			TargetRef:  rrendpointslice.ObjectReference{Name: inst.Name},
			Zone:       inst.Zone,
		}},
	}
}

func (inst Instance) annotations() map[string]string {
	notes := make(map[string]string)
	set := func(name string, n uint64) {
		if n != 0 {
			notes[name] = strconv.FormatUint(n, 10)
		}
	}
	set(rrendpointslice.SlotsAnnotation, uint64(inst.Slots))
	set(rrendpointslice.ConnsAnnotation, uint64(inst.Conns))
	set(rrendpointslice.CoresAnnotation, uint64(inst.Capacity.MilliCores))
	set(rrendpointslice.MemoryAnnotation, inst.Capacity.MemoryBytes)
	set(rrendpointslice.AcceleratorsAnnotation, uint64(inst.Capacity.Accelerators))
	if inst.Region != "" {
		notes[rrendpointslice.RegionAnnotation] = inst.Region
	}
	return notes
}

// InstanceDoc is the JSON form of an Instance, for `POST /instances` of the lab.
type InstanceDoc struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Conns   int    `json:"conns"`
	Cores   uint32 `json:"cores"`
	Memory  uint64 `json:"memory"`
	Accels  uint32 `json:"accels"`
	Leaving bool   `json:"leaving"`
}

// Doc returns the JSON form of inst.
func (inst Instance) Doc() InstanceDoc {
	return InstanceDoc{
		Name: inst.Name, Addr: inst.Addr, Zone: inst.Zone, Region: inst.Region, Service: inst.Service,
		Slots: inst.Slots, Conns: inst.Conns,
		Cores: inst.Capacity.MilliCores, Memory: inst.Capacity.MemoryBytes, Accels: inst.Capacity.Accelerators,
		Leaving: inst.Leaving,
	}
}

func (d InstanceDoc) instance() Instance {
	return Instance{
		Name: d.Name, Addr: d.Addr, Zone: d.Zone, Region: d.Region, Service: d.Service,
		Slots: d.Slots, Conns: d.Conns,
		Capacity: rrtask.Resources{MilliCores: d.Cores, MemoryBytes: d.Memory, Accelerators: d.Accels},
		Leaving:  d.Leaving,
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

func (p *Platform) serveLeave(w http.ResponseWriter, r *http.Request) {
	if !p.Leave(r.PathValue("name")) {
		http.Error(w, "no such instance", http.StatusNotFound)
	}
}
