package rrhost

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrdial"
	"rattanring/io/rrexecutor"
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
	job   rrscheduler.Job
	seat  string
	since time.Time // when the job began to wait for a keeper
	tried int64     // revision of the seat that the job was last handed to
}

// Submit gives a job to its keeper and waits for the outcome. When ctx ends the job is
// withdrawn.
func (h *Host) Submit(ctx context.Context, job rrscheduler.Job) rrscheduler.JobOutcome {
	job.CallerProcess = h.Self.Name
	w := &hand{h: h, job: job, seat: h.Self.Zone, since: time.Now()}
	return w.run(ctx)
}

// run hands the job to one keeper after the other until one knows the outcome.
func (w *hand) run(ctx context.Context) rrscheduler.JobOutcome {
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
		case rrscheduler.OutcomeForwarded:
			w.seat, w.job.NoForward, w.tried = out.Shard, true, 0
		case rrscheduler.OutcomeOwnerChanged:
			w.turnBack()
		default:
			return out
		}
		if ctx.Err() != nil {
			return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeAbandoned, Reason: rrscheduler.ReasonCanceled}
		}
	}
}

// next picks the holder to hand the job to. The zero Owner means to wait for a
// change of the seats.
func (w *hand) next() (rrelection.Owner, <-chan struct{}) {
	h := w.h
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	holder, alive := h.council.Owner(w.seat)
	silent := h.council.UnansweredFor(now, w.seat)
	own := h.keepers[w.seat] != nil
	if holder.FencingToken() > w.tried && (own || alive && silent < lostSilence) {
		if own || w.job.MayHaveRuns || w.job.NoForward || silent < elsewhere {
			return holder, h.changed
		}
	}
	if w.job.MayHaveRuns || w.job.NoForward {
		return rrelection.Owner{}, h.changed
	}
	if seat := h.quietest(now); seat != "" {
		level.Info(h.Logger).Log("msg", "handed elsewhere", "id", w.job.ID, "seat", seat, "silent", silent, "alive", alive)
		w.seat, w.job.NoForward, w.tried = seat, true, 0
		holder, _ = h.council.Owner(seat)
		return holder, h.changed
	}
	h.ping() // for the loads of other zones
	return rrelection.Owner{}, h.changed
}

// quietest returns the seat of a live holder with the shortest wait, besides the
// host's own, or an empty string. The caller holds h.mu.
func (h *Host) quietest(now time.Time) string {
	best := ""
	for seat, l := range h.loads {
		_, alive := h.council.Owner(seat)
		if seat == h.Self.Zone || !alive || l.load.CapacityMillicores == 0 || now.Sub(l.at) > loadAge || h.council.UnansweredFor(now, seat) > elsewhere {
			continue
		}
		if best == "" || l.load.ExpectedWait < h.loads[best].load.ExpectedWait || l.load.ExpectedWait == h.loads[best].load.ExpectedWait && seat < best {
			best = seat
		}
	}
	return best
}

// wait waits for a change of the seats and reports whether the job is given up.
func (w *hand) wait(ctx context.Context, changed <-chan struct{}) (rrscheduler.JobOutcome, bool) {
	limit := vacantNew
	if zone, _ := rrelection.ParseShardName(w.seat); w.job.MayHaveRuns && zone == w.h.Self.Zone {
		limit = vacantAgain
	}
	left := limit - time.Since(w.since)
	if left <= 0 || w.h.leaving.Load() && !w.job.MayHaveRuns {
		out := rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeRefused, Reason: rrscheduler.ReasonNoOwner, RetryAfter: keeperAbsent}
		if w.job.MayHaveRuns {
			out.Kind = rrscheduler.OutcomeAbandoned
		}
		return out, true
	}
	t := time.NewTimer(min(left, rrelection.HeartbeatInterval))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeAbandoned, Reason: rrscheduler.ReasonCanceled}, true
	}
	return rrscheduler.JobOutcome{}, false
}

// try hands the job to one holder. Moved means that the job has to go to the next
// holder of the seat.
func (w *hand) try(ctx context.Context, seat rrelection.Owner) rrscheduler.JobOutcome {
	h := w.h
	w.tried = seat.FencingToken()
	if k := h.keeper(w.seat); k != nil {
		return w.tryOwn(ctx, k)
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	h.use(seat.Addr, 1)
	defer h.use(seat.Addr, -1)
	type reply struct {
		out rrscheduler.JobOutcome
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
			level.Info(h.Logger).Log("msg", "keeper changed", "id", w.job.ID, "seat", w.seat, "token", seat.FencingToken())
			w.job.MayHaveRuns, w.job.RunMinionsKnown = true, false
			return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeOwnerChanged}
		}
		select {
		case r := <-done:
			return w.outcome(seat, r.out, r.err)
		case <-ctx.Done():
			h.withdraw(seat.Addr, w.job.ID)
			return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeAbandoned, Reason: rrscheduler.ReasonCanceled}
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
func (w *hand) tryOwn(ctx context.Context, k *rrexecutor.Executor) rrscheduler.JobOutcome {
	w.since = time.Now()
	out := k.Submit(ctx, w.job)
	w.since = time.Now()
	if ctx.Err() != nil {
		k.Post(&rrscheduler.JobCancelRequested{JobID: w.job.ID})
	}
	return w.moved(out)
}

// moved notes what a replaced keeper said of the job. One that did not know it says
// nothing about runs that an earlier one may have started.
func (w *hand) moved(out rrscheduler.JobOutcome) rrscheduler.JobOutcome {
	if out.Kind == rrscheduler.OutcomeOwnerChanged && out.MayHaveRuns {
		w.job.MayHaveRuns, w.job.RunMinionsKnown, w.job.RunMinions = true, out.RunMinionsKnown, out.RunMinions
	}
	return out
}

// outcome classifies the end of a call.
func (w *hand) outcome(seat rrelection.Owner, out rrscheduler.JobOutcome, err error) rrscheduler.JobOutcome {
	if err == nil {
		return w.moved(out)
	}
	level.Warn(w.h.Logger).Log("msg", "keeper lost", "id", w.job.ID, "seat", w.seat, "token", seat.FencingToken(), "err", err)
	w.h.ping()
	if rrdial.NotSent(err) {
		w.notSent()
		return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeOwnerChanged}
	}
	w.job.MayHaveRuns, w.job.RunMinionsKnown = true, false
	w.tried = 0 // the same keeper may still have it
	time.Sleep(retryLeast)
	return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeOwnerChanged}
}

// notSent goes on with a job that its keeper did not get. One that was forwarded goes
// back to its own zone for good.
func (w *hand) notSent() {
	if w.job.MayHaveRuns || w.turnBack() {
		return
	}
	w.tried = 0
	time.Sleep(retryLeast)
}

// turnBack sends a job home that was forwarded and of which nothing has run, and reports
// whether it did.
func (w *hand) turnBack() bool {
	if w.job.MayHaveRuns || w.seat == w.h.Self.Zone {
		return false
	}
	w.seat, w.job.NoForward, w.tried = w.h.Self.Zone, true, 0
	return true
}

// replaced reports whether the seat has another holder or its holder can't be reached
// any more, and returns a channel that is closed at the next change of a seat.
func (w *hand) replaced(seat rrelection.Owner) (bool, <-chan struct{}) {
	h := w.h
	h.mu.Lock()
	defer h.mu.Unlock()
	holder, _ := h.council.Owner(w.seat)
	gone := holder.Name != seat.Name || holder.Incarnation != seat.Incarnation || h.council.UnansweredFor(time.Now(), w.seat) > lostSilence
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
