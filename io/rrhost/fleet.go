package rrhost

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/io/rrstore"
)

// Keys of the fleet's own items.
const (
	fleetPrefix  = "rr/"
	memberPrefix = "rr/member/"
	seatPrefix   = "rr/seat/"
)

// Times of membership and seats.
const (
	fleetWait     = 5 * time.Second         // how long the watch of the fleet waits for a change
	memberTerm    = 6 * time.Second         // lease of a member's entry
	memberRenew   = 2 * time.Second         // between two renewals
	claimLimit    = 500 * time.Millisecond  // for one write to a seat
	seatsEvery    = 100 * time.Millisecond  // between two looks at the seats, unless one is called for
	lostSilence   = 1000 * time.Millisecond // a holder that is silent for so long can't be reached
	readySilence  = 550 * time.Millisecond  // … and this host takes no new connections; some pulses may be lost
	callerSilence = 900 * time.Millisecond  // callers of a host that is silent for so long are taken for gone
	minionPause   = 900 * time.Millisecond  // between two questions for reports of minions
	minionWait    = time.Second             // how long such a question waits for a change
	copyTerm      = 30 * time.Second        // how long reports that another process told are of use
	reportsBack   = 4 * time.Second         // reports of minions are complete again so long after the store was away
)

// record is a member or the holder of a seat in the store.
type record struct {
	Name        string  `json:"name"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone"`
	CPUCores    float64 `json:"share"`
	Incarnation int64   `json:"life"`
}

func toRecord(m rrelection.Member) []byte {
	text, err := json.Marshal(record(m))
	if err != nil {
		panic(err) // a record of plain fields can always be encoded
	}
	return text
}

// followFleet watches members and seats.
func (h *Host) followFleet(ctx context.Context) error {
	return h.follow(ctx, "fleet", fleetPrefix, fleetWait, h.takeFleet, 0)
}

func (h *Host) takeFleet(whole bool, events []rrstore.Event, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if whole {
		h.partMissing(events)
	}
	for _, e := range events {
		if name, ok := strings.CutPrefix(e.Item.Key, memberPrefix); ok {
			h.takeMember(name, e)
		}
		if name, ok := strings.CutPrefix(e.Item.Key, layoutPrefix); ok {
			h.takeLayout(name, e)
		}
		if name, ok := strings.CutPrefix(e.Item.Key, seatPrefix); ok {
			h.takeSeat(name, e)
		}
	}
	h.manKeepers()
	h.noteChange()
}

// partMissing drops members that a whole list lacks.
func (h *Host) partMissing(events []rrstore.Event) {
	listed := make(map[string]bool)
	for _, e := range events {
		listed[e.Item.Key] = true
	}
	for name := range h.council.Members() {
		if !listed[memberPrefix+name] {
			h.council.RemoveMember(time.Now(), name)
		}
	}
}

func (h *Host) takeMember(name string, e rrstore.Event) {
	if e.Deleted {
		h.council.RemoveMember(time.Now(), name)
		return
	}
	var r record
	if err := json.Unmarshal(e.Item.Value, &r); err != nil {
		level.Error(h.Logger).Log("msg", "member not readable", "member", name, "err", err)
		return
	}
	h.council.AddMember(time.Now(), rrelection.Member(r))
}

func (h *Host) takeSeat(name string, e rrstore.Event) {
	now := time.Now()
	if e.Deleted {
		h.council.ClearOwner(now, name, e.Item.Mod)
		return
	}
	var r record
	if err := json.Unmarshal(e.Item.Value, &r); err != nil {
		level.Error(h.Logger).Log("msg", "seat not readable", "seat", name, "err", err)
		return
	}
	h.setSeat(now, name, r, e.Item.Mod)
}

// setSeat notes the holder of a seat. The caller holds h.mu.
func (h *Host) setSeat(now time.Time, name string, r record, revision int64) {
	h.setHolder(now, name, rrelection.Owner{Name: r.Name, Addr: r.Addr, Incarnation: r.Incarnation, Revision: revision})
}

// hearHolder notes the holder of a seat if it is news, and starts and stops keepers by it.
// The caller holds h.mu.
func (h *Host) hearHolder(seat string, holder rrelection.Owner) {
	if known, _ := h.council.Owner(seat); holder.FencingToken() <= known.FencingToken() {
		return
	}
	h.setHolder(time.Now(), seat, holder)
	h.manKeepers()
}

// setHolder notes the holder of a seat. The caller holds h.mu.
func (h *Host) setHolder(now time.Time, seat string, holder rrelection.Owner) {
	if h.council.SetOwner(now, seat, holder) {
		level.Info(h.Logger).Log("msg", "seat taken", "seat", seat, "holder", holder.Name, "revision", holder.Revision, "step", holder.Epoch)
		h.noteChange()
	}
}
