package rrkeeper

import (
	"context"

	"rattanring/core/rrpool"
)

// Inquire returns where a job stands, after its end if abort asks for that. It reports
// false when the keeper ended or ctx did before that was known.
func (k *Keeper) Inquire(ctx context.Context, id string, abort bool) (rrpool.Standing, bool) {
	token := k.tokens.Add(1)
	ch := make(chan rrpool.Standing, 1)
	k.mu.Lock()
	k.asked[token] = ch
	k.mu.Unlock()
	defer k.unask(token)
	var ev rrpool.Event = &rrpool.Ask{Token: token, Job: id}
	if abort {
		ev = &rrpool.Abort{Token: token, Job: id}
	}
	k.Tell(ev)
	select {
	case s := <-ch:
		return s, true
	case <-k.done:
	case <-ctx.Done():
	}
	return rrpool.Standing{}, false
}

func (k *Keeper) report(r *rrpool.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if ch := k.asked[r.Token]; ch != nil {
		ch <- r.Standing
	}
}

func (k *Keeper) unask(token uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.asked, token)
}
