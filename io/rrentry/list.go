package rrentry

import (
	"context"

	"github.com/go-kit/log/level"

	"rattanring/core/rrnode"
	"rattanring/core/rrtask"
	"rattanring/io/rrlist"
)

// listDuty reads the instance list.
type listDuty struct {
	e    *Entry
	away bool
}

// Serve implements suture.Service.
func (d *listDuty) Serve(ctx context.Context) error {
	poller := &rrlist.Poller{Client: &rrlist.Client{Base: d.e.set.InstanceListURL}, Every: d.e.set.ListPollInterval}
	return poller.Run(ctx, d.read)
}

func (d *listDuty) read(r rrlist.Reading) {
	e := d.e
	if away := r.Err != nil; away != d.away {
		d.away = away
		level.Warn(e.logger).Log("msg", "instance list", "away", away, "err", r.Err)
	}
	if r.Err != nil {
		return
	}
	e.report(&rrnode.EntriesListed{List: e.roster.list(r.Snapshot.Entries)})
	e.report(&rrnode.MinionsListed{List: e.served(r.Snapshot.Minions)})
}

// served returns the minions of the services that the settings name.
func (e *Entry) served(all []rrtask.Minion) []rrtask.Minion {
	if len(e.set.Services) == 0 {
		return all
	}
	want := make(map[string]bool, len(e.set.Services))
	for _, s := range e.set.Services {
		want[s] = true
	}
	var list []rrtask.Minion
	for _, m := range all {
		if want[m.Service] {
			list = append(list, m)
		}
	}
	return list
}
