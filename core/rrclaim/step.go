package rrclaim

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrheap"
	"rattanring/core/rrtask"
)

// writeBytes is what a write takes besides its results.
const writeBytes = 512

// Step appends to out what is due at now.
func (b *Manager) Step(now time.Time, out *Effects) {
	b.expire(now)
	for b.ready(now) && b.pace.TryTake(now) == 0 {
		b.send(now, out)
	}
	out.Decisions = append(out.Decisions, b.decided...)
	b.decided = nil
}

// NextWakeup returns the time at which Step has to be called next if nothing else
// happens, and the zero time when nothing is due.
func (b *Manager) NextWakeup(now time.Time) time.Time {
	var wake time.Time
	sooner := func(t time.Time) {
		if wake.IsZero() || t.Before(wake) {
			wake = t
		}
	}
	if len(b.decided) > 0 {
		return now
	}
	if b.waits.Len() > 0 {
		sooner(b.waits.At(0).ask.Deadline)
	}
	if len(b.calls) >= MaxInFlightTxns {
		return wake
	}
	if b.asks.Len() > 0 || b.collect != "" || b.closes.Len() >= closeShare {
		sooner(now.Add(b.pace.Wait(now)))
	} else if b.closes.Len() > 0 {
		sooner(later(b.closes.At(0).since.Add(closeDelay), now.Add(b.pace.Wait(now))))
	}
	return wake
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// DeleteExpired asks for the deletion of old claims. One entry of the fleet calls it
// now and then; more than one do no harm.
func (b *Manager) DeleteExpired(now time.Time) {
	if now.Sub(b.collected) < collectGap {
		return
	}
	b.collected = now
	b.collect = keyBefore(now.Add(-Retention))
}

// expire ends the attempts whose deadline has come.
func (b *Manager) expire(now time.Time) {
	for b.waits.Len() > 0 && !b.waits.At(0).ask.Deadline.After(now) {
		c := b.waits.At(0)
		b.unwait(c)
		code := unclaimed(c.ask, rrcode.StoreUnavailable)
		b.refuse(c.id, code, code.Description())
		b.abandon(now, c)
	}
}

// abandon gives up an attempt that was not granted. It stays in the book until
// the store can't hold it as open.
func (b *Manager) abandon(now time.Time, c *claim) {
	if !c.binding() {
		b.forget(c)
		return
	}
	b.unqueue(c)
	b.close(now, c, rrtask.Answer{Code: rrcode.StoreUnavailable, Detail: rrcode.StoreUnavailable.Description()})
}

// ready reports whether a call is due.
func (b *Manager) ready(now time.Time) bool {
	if len(b.calls) >= MaxInFlightTxns {
		return false
	}
	if b.asks.Len() > 0 || b.collect != "" || b.closes.Len() >= closeShare {
		return true
	}
	return b.closes.Len() > 0 && now.Sub(b.closes.At(0).since) >= closeDelay
}

// send makes the next call.
func (b *Manager) send(now time.Time, out *Effects) {
	b.seq++
	if b.collect != "" {
		b.calls[b.seq] = flight{}
		out.Calls = append(out.Calls, StoreCall{ID: b.seq, DeleteBefore: b.collect})
		b.collect = ""
		return
	}
	group := b.group()
	f := flight{claims: group, writes: make([]Write, len(group))}
	for i, c := range group {
		f.writes[i] = b.write(c)
	}
	b.calls[b.seq] = f
	out.Calls = append(out.Calls, StoreCall{ID: b.seq, Writes: f.writes})
}

func (b *Manager) write(c *claim) Write {
	w := Write{Key: c.key, ExpectedRevision: c.known, Record: c.last}
	if c.goal == toOpen {
		w.Record = b.record(c, Open)
	}
	return w
}

// group takes the claims of the next transaction out of the lines.
func (b *Manager) group() []*claim {
	var group []*claim
	bytes := 0
	take := func(line *rrheap.Heap[*claim], most int) {
		for line.Len() > 0 && len(group) < most && bytes < MaxTxnBytes {
			c := line.At(0)
			b.unqueue(c)
			c.flying = true
			bytes += writeBytes + size(c.last.Results)
			group = append(group, c)
		}
	}
	take(&b.asks, MaxTxnClaims-min(b.closes.Len(), closeShare))
	take(&b.closes, MaxTxnClaims)
	return group
}
