package rrhost

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrpool"
	"rattanring/core/rrseat"
	"rattanring/io/rrdial"
	"rattanring/io/rrkeeper"
)

// Times of a hand-in.
const (
	vacantNew     = 700 * time.Millisecond // how long a job that nobody has may wait for a keeper
	vacantAgain   = 2 * time.Second        // the same for a job that may have run
	elsewhere     = 100 * time.Millisecond // after so much silence a new job goes to another keeper
	keeperAbsent  = 500 * time.Millisecond // when to come back after a refusal for want of a keeper
	withdrawal    = 500 * time.Millisecond // for one withdrawal
	movedPatience = 150 * time.Millisecond // a keeper that was replaced hears of it as soon, and tells what may run where
	lookSilence   = 300 * time.Millisecond // between two looks whether a keeper is silent
)

// hand is one job on its way to an outcome.
type hand struct {
	h     *Host
	job   rrpool.Job
	seat  string
	since time.Time // when the job began to wait for a keeper
	tried int64     // revision of the seat that the job was last handed to
}

// Hand gives a job to its keeper and waits for the outcome. When ctx ends the job is
// withdrawn.
func (h *Host) Hand(ctx context.Context, job rrpool.Job) rrpool.Outcome {
	job.Caller = h.Self.Name
	w := &hand{h: h, job: job, seat: h.Self.Zone, since: time.Now()}
	return w.run(ctx)
}

// run hands the job to one keeper after the other until one knows the outcome.
func (w *hand) run(ctx context.Context) rrpool.Outcome {
	for {
		seat, changed := w.next()
		if seat.Revision == 0 {
			if out, over := w.wait(ctx, changed); over {
				return out
			}
			continue
		}
		out := w.try(ctx, seat)
		switch out.Kind {
		case rrpool.Forward:
			w.seat, w.job.Bound, w.tried = out.Seat, true, 0
		case rrpool.Moved:
			w.turnBack()
		default:
			return out
		}
		if ctx.Err() != nil {
			return rrpool.Outcome{Kind: rrpool.Lost, Reason: rrpool.Canceled}
		}
	}
}

// next picks the holder to hand the job to. The zero Holder means to wait for a
// change of the seats.
func (w *hand) next() (rrseat.Holder, <-chan struct{}) {
	h := w.h
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	holder, alive := h.council.Holder(w.seat)
	silent := h.council.Silent(now, w.seat)
	own := h.keepers[w.seat] != nil
	if holder.Token() > w.tried && (own || alive && silent < lostSilence) {
		if own || w.job.Again || w.job.Bound || silent < elsewhere {
			return holder, h.changed
		}
	}
	if w.job.Again || w.job.Bound {
		return rrseat.Holder{}, h.changed
	}
	if seat := h.quietest(now); seat != "" {
		level.Info(h.Logger).Log("msg", "handed elsewhere", "id", w.job.ID, "seat", seat, "silent", silent, "alive", alive)
		w.seat, w.job.Bound, w.tried = seat, true, 0
		holder, _ = h.council.Holder(seat)
		return holder, h.changed
	}
	h.ping() // for the loads of other zones
	return rrseat.Holder{}, h.changed
}

// quietest returns the seat of a live holder with the shortest wait, besides the
// host's own, or an empty string. The caller holds h.mu.
func (h *Host) quietest(now time.Time) string {
	best := ""
	for seat, l := range h.loads {
		_, alive := h.council.Holder(seat)
		if seat == h.Self.Zone || !alive || l.load.Capacity == 0 || now.Sub(l.at) > loadAge || h.council.Silent(now, seat) > elsewhere {
			continue
		}
		if best == "" || l.load.Wait < h.loads[best].load.Wait || l.load.Wait == h.loads[best].load.Wait && seat < best {
			best = seat
		}
	}
	return best
}

// wait waits for a change of the seats and reports whether the job is given up.
func (w *hand) wait(ctx context.Context, changed <-chan struct{}) (rrpool.Outcome, bool) {
	limit := vacantNew
	if zone, _ := rrseat.Split(w.seat); w.job.Again && zone == w.h.Self.Zone {
		limit = vacantAgain
	}
	left := limit - time.Since(w.since)
	if left <= 0 || w.h.leaving.Load() && !w.job.Again {
		out := rrpool.Outcome{Kind: rrpool.Refused, Reason: rrpool.NoKeeper, After: keeperAbsent}
		if w.job.Again {
			out.Kind = rrpool.Lost
		}
		return out, true
	}
	t := time.NewTimer(min(left, rrseat.PulseEvery))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return rrpool.Outcome{Kind: rrpool.Lost, Reason: rrpool.Canceled}, true
	}
	return rrpool.Outcome{}, false
}

// try hands the job to one holder. Moved means that the job has to go to the next
// holder of the seat.
func (w *hand) try(ctx context.Context, seat rrseat.Holder) rrpool.Outcome {
	h := w.h
	w.tried = seat.Token()
	if k := h.keeper(w.seat); k != nil {
		return w.tryOwn(ctx, k)
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	h.use(seat.Addr, 1)
	defer h.use(seat.Addr, -1)
	type reply struct {
		out rrpool.Outcome
		err error
	}
	done := make(chan reply, 1)
	go func() {
		out, err := h.peers.hand(call, w.seat, seat, w.job)
		done <- reply{out, err}
	}()
	look := time.NewTicker(lookSilence)
	defer look.Stop()
	for {
		gone, changed := w.replaced(seat)
		w.since = time.Now()
		if gone {
			select {
			case r := <-done:
				return w.outcome(seat, r.out, r.err)
			case <-time.After(movedPatience):
			}
			level.Info(h.Logger).Log("msg", "keeper changed", "id", w.job.ID, "seat", w.seat, "token", seat.Token())
			w.job.Again, w.job.Told = true, false
			return rrpool.Outcome{Kind: rrpool.Moved}
		}
		select {
		case r := <-done:
			return w.outcome(seat, r.out, r.err)
		case <-ctx.Done():
			h.withdraw(seat.Addr, w.job.ID)
			return rrpool.Outcome{Kind: rrpool.Lost, Reason: rrpool.Canceled}
		case <-changed:
		case <-look.C:
		}
	}
}

// use counts the jobs that a holder has of this host.
func (h *Host) use(addr string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.using[addr] += n; h.using[addr] == 0 {
		delete(h.using, addr)
	}
}

// tryOwn hands the job to a keeper of this process.
func (w *hand) tryOwn(ctx context.Context, k *rrkeeper.Keeper) rrpool.Outcome {
	w.since = time.Now()
	out := k.Submit(ctx, w.job)
	w.since = time.Now()
	if ctx.Err() != nil {
		k.Tell(&rrpool.Cancel{Job: w.job.ID})
	}
	return w.moved(out)
}

// moved notes what a replaced keeper said of the job. One that did not know it says
// nothing about runs that an earlier one may have started.
func (w *hand) moved(out rrpool.Outcome) rrpool.Outcome {
	if out.Kind == rrpool.Moved && out.Again {
		w.job.Again, w.job.Told, w.job.Where = true, out.Told, out.Where
	}
	return out
}

// outcome classifies the end of a call.
func (w *hand) outcome(seat rrseat.Holder, out rrpool.Outcome, err error) rrpool.Outcome {
	if err == nil {
		return w.moved(out)
	}
	level.Warn(w.h.Logger).Log("msg", "keeper lost", "id", w.job.ID, "seat", w.seat, "token", seat.Token(), "err", err)
	w.h.ping()
	if rrdial.NotSent(err) {
		w.notSent()
		return rrpool.Outcome{Kind: rrpool.Moved}
	}
	w.job.Again, w.job.Told = true, false
	w.tried = 0 // the same keeper may still have it
	time.Sleep(retryLeast)
	return rrpool.Outcome{Kind: rrpool.Moved}
}

// notSent goes on with a job that its keeper did not get. One that was forwarded goes
// back to its own zone for good.
func (w *hand) notSent() {
	if w.job.Again || w.turnBack() {
		return
	}
	w.tried = 0
	time.Sleep(retryLeast)
}

// turnBack sends a job home that was forwarded and of which nothing has run, and reports
// whether it did.
func (w *hand) turnBack() bool {
	if w.job.Again || w.seat == w.h.Self.Zone {
		return false
	}
	w.seat, w.job.Bound, w.tried = w.h.Self.Zone, true, 0
	return true
}

// replaced reports whether the seat has another holder or its holder can't be reached
// any more, and returns a channel that is closed at the next change of a seat.
func (w *hand) replaced(seat rrseat.Holder) (bool, <-chan struct{}) {
	h := w.h
	h.mu.Lock()
	defer h.mu.Unlock()
	holder, _ := h.council.Holder(w.seat)
	gone := holder.Name != seat.Name || holder.Life != seat.Life || h.council.Silent(time.Now(), w.seat) > lostSilence
	return gone, h.changed
}

// withdraw tells a keeper that nobody waits for a job.
func (h *Host) withdraw(addr, id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), withdrawal)
		defer cancel()
		if err := h.peers.withdraw(ctx, addr, id); err != nil {
			level.Warn(h.Logger).Log("msg", "not withdrawn", "id", id, "peer", addr, "err", err)
		}
	}()
}
