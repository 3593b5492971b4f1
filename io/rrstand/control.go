package rrstand

import (
	"encoding/json"
	"net/http"
	"time"
)

// Tally holds the counts of a minion since it was created.
type Tally struct {
	Starts    int // tasks started
	Refused   int // tasks refused
	Failed    int // tasks that ended without success
	Probes    int // health checks
	Cuts      int // requests read whose connection was closed without a start
	Stopped   int // stop commands carried out
	Throttled int // throttle commands carried out
	Peak      int // highest number of tasks running at a time on one minion
	Most      int // highest number of starts of one task on one minion
}

// Add adds the counts of u to t. For Peak and Most it keeps the larger value.
func (t *Tally) Add(u Tally) {
	t.Starts += u.Starts
	t.Refused += u.Refused
	t.Failed += u.Failed
	t.Probes += u.Probes
	t.Cuts += u.Cuts
	t.Stopped += u.Stopped
	t.Throttled += u.Throttled
	t.Peak = max(t.Peak, u.Peak)
	t.Most = max(t.Most, u.Most)
}

// Tally returns the counts so far.
func (m *Minion) Tally() Tally {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tally
}

// faultsDoc is the JSON form of Faults.
type faultsDoc struct {
	Broken   bool    `json:"broken"`
	Sick     bool    `json:"sick"`
	Slow     float64 `json:"slow"`
	Draining bool    `json:"leaving"`
	Freeze   bool    `json:"freeze"`
	Cut      bool    `json:"cut"`
	Lose     bool    `json:"lose"`
	Delay    string  `json:"delay"`
	Usage    string  `json:"usage"`
}

// serveFaults sets the faults of the minion from a JSON body.
func (m *Minion) serveFaults(w http.ResponseWriter, r *http.Request) {
	var doc faultsDoc
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	delay, err := time.ParseDuration(doc.Delay)
	if doc.Delay != "" && err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.SetFaults(Faults{
		FailTasks: doc.Broken, FailHealth: doc.Sick, SlowFactor: doc.Slow, Draining: doc.Draining,
		Freeze: doc.Freeze, DropRequests: doc.Cut, DropAnswers: doc.Lose, AnswerDelay: delay, Usage: doc.Usage,
	})
}

// tallyDoc is the JSON form of Tally.
type tallyDoc struct {
	Starts    int `json:"starts"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Probes    int `json:"probes"`
	Cuts      int `json:"cuts"`
	Stopped   int `json:"stopped"`
	Throttled int `json:"throttled"`
	Peak      int `json:"peak"`
	Most      int `json:"most"`
}

func (m *Minion) serveTally(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(tallyDoc(m.Tally()))
}
