package rrplatform

import (
	"encoding/json"
	"net/http"
	"time"

	"rattanring/io/rretcd"
)

// Faults are the faults that the platform injects. The zero value is a healthy
// platform.
type Faults struct {
	Outage          bool          // the key-value service refuses every call and ends watches with a broken connection
	Hang            bool          // calls to the key-value service get no answer until the fault is cleared
	ReadDelay       time.Duration // delay before a read
	WriteDelay      time.Duration // delay before a write
	AnswerDelay     time.Duration // delay between the execution of a call and its answer
	LoseAnswerEvery int           // the answer of every nth write is lost, but the write takes effect; zero loses none
	DropWriteEvery  int           // every nth write is lost before it takes effect; zero loses none
	FreezeReads     bool          // reads and watches see the state at the time when the fault was set
	ListOutage      bool          // the instance list is unreachable
	ListLag         time.Duration // delay after which a change appears in the instance list
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	if !f.FreezeReads {
		p.frozen = nil
	} else if p.frozen == nil {
		p.frozen = p.store.clone()
	}
	p.wakeWatches()
}

// Faults returns the active faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// admit counts a call and delays it. It returns an error if a fault or the rate limit
// refuses the call.
func (p *Platform) admit(r *http.Request, k callKind) *rretcd.Error {
	p.mu.Lock()
	ok := p.limit.countCall(p.now(), k, p.rateLimit(k))
	f := p.faults
	p.mu.Unlock()
	if f.Hang {
		f = p.hang(r)
	}
	if f.Outage {
		return &rretcd.Error{Code: rretcd.CodeUnavailable, Message: "etcdserver: no leader"}
	}
	if !ok {
		return &rretcd.Error{Code: rretcd.CodeResourceExhausted, Message: "etcdserver: too many requests"}
	}
	delay := f.ReadDelay
	if k == writeCall {
		delay = f.WriteDelay
	}
	sleep(r, delay)
	return nil
}

// hang blocks a call until the fault Hang is cleared, and returns the faults active at
// that time. A call whose caller disconnects before has no effect.
func (p *Platform) hang(r *http.Request) Faults {
	p.addHanging(1)
	defer p.addHanging(-1)
	for {
		if !sleep(r, hangCheckInterval) {
			panic(http.ErrAbortHandler)
		}
		if f := p.Faults(); !f.Hang {
			return f
		}
	}
}

func (p *Platform) addHanging(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit.stats.Hanging += n
}

// hangCheckInterval is how often a hanging call checks whether the fault has been
// cleared.
const hangCheckInterval = 10 * time.Millisecond

func (p *Platform) delayAnswer(r *http.Request) {
	sleep(r, p.Faults().AnswerDelay)
}

// sleep waits for d. It reports false if the caller disconnects before.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// faultsDoc is the JSON form of Faults. Its durations are strings such as "5ms".
type faultsDoc struct {
	Outage bool   `json:"outage"`
	Hang   bool   `json:"hang"`
	Read   string `json:"read"`
	Write  string `json:"write"`
	Answer string `json:"answer"`
	Lose   int    `json:"lose"`
	Drop   int    `json:"drop"`
	Frozen bool   `json:"frozen"`
	List   bool   `json:"list"`
	Lag    string `json:"lag"`
}

func (d faultsDoc) faults() (Faults, error) {
	f := Faults{Outage: d.Outage, Hang: d.Hang, LoseAnswerEvery: d.Lose, DropWriteEvery: d.Drop, FreezeReads: d.Frozen, ListOutage: d.List}
	fields := []struct {
		text string
		to   *time.Duration
	}{{d.Read, &f.ReadDelay}, {d.Write, &f.WriteDelay}, {d.Answer, &f.AnswerDelay}, {d.Lag, &f.ListLag}}
	for _, field := range fields {
		if field.text == "" {
			continue
		}
		v, err := time.ParseDuration(field.text)
		if err != nil {
			return f, err
		}
		*field.to = v
	}
	return f, nil
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var doc faultsDoc
	in := json.NewDecoder(r.Body)
	in.DisallowUnknownFields()
	err := in.Decode(&doc)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, err := doc.faults()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}
