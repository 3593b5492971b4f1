package rrentry

import (
	"context"

	"github.com/go-kit/log/level"

	"rattanring/core/rrnode"
	"rattanring/core/rrtask"
	"rattanring/io/rrlist"
)

// instanceListService polls the platform's instance list and reports its entries and
// minions to the core.
type instanceListService struct {
	e           *Entry
	unreachable bool
}

// Serve implements suture.Service.
func (s *instanceListService) Serve(ctx context.Context) error {
	poller := &rrlist.Poller{Client: &rrlist.Client{BaseURL: s.e.settings.InstanceListURL}, Interval: s.e.settings.ListPollInterval}
	return poller.Run(ctx, s.handleReading)
}

func (s *instanceListService) handleReading(r rrlist.Reading) {
	e := s.e
	if unreachable := r.Err != nil; unreachable != s.unreachable {
		s.unreachable = unreachable
		level.Warn(e.logger).Log("msg", "instance list", "away", unreachable, "err", r.Err)
	}
	if r.Err != nil {
		return
	}
	e.report(&rrnode.EntriesListed{List: e.roster.setListed(r.Snapshot.Entries)})
	e.report(&rrnode.MinionsListed{List: e.servedMinions(r.Snapshot.Minions)})
}

// servedMinions returns the minions of the services in the settings, or all minions if the
// settings name no service.
func (e *Entry) servedMinions(all []rrtask.Minion) []rrtask.Minion {
	if len(e.settings.Services) == 0 {
		return all
	}
	want := make(map[string]bool, len(e.settings.Services))
	for _, s := range e.settings.Services {
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
