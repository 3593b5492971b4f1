package rrstand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"

	"rattanring/io/rrplatform"
)

// Listing holds what the instance list shows for the minions of a fleet.
type Listing struct {
	Service string
	Zones   []string // assigned to the minions in turn
	Conns   int      // maximum number of concurrent connections that the list declares for each minion
}

// Instances returns the items of the instance list for all minions.
func (f *Fleet) Instances(l Listing) []rrplatform.Instance {
	var list []rrplatform.Instance
	for i, s := range f.Servers {
		list = append(list, rrplatform.Instance{
			Name:    s.Minion.Name,
			Addr:    s.Addr,
			Zone:    l.Zones[i%len(l.Zones)],
			Service: l.Service,
			Slots:   s.Minion.Slots,
			Conns:   l.Conns,
		})
	}
	return list
}

// Registry is the instance list of a platform stand-in in another process.
type Registry struct {
	URL string // of the stand-in, without a path
}

// Add adds instances to the list.
func (r Registry) Add(ctx context.Context, list []rrplatform.Instance) error {
	for _, inst := range list {
		body, err := json.Marshal(inst.Doc())
		if err != nil {
			return merry.Wrap(err)
		}
		if err := r.call(ctx, http.MethodPost, "/instances", body); err != nil {
			return err
		}
	}
	return nil
}

// Drain marks instances as draining.
func (r Registry) Drain(ctx context.Context, list []rrplatform.Instance) error {
	for _, inst := range list {
		if err := r.call(ctx, http.MethodPost, "/instances/"+inst.Name+"/leave", nil); err != nil {
			return err
		}
	}
	return nil
}

// Remove removes instances from the list.
func (r Registry) Remove(ctx context.Context, list []rrplatform.Instance) error {
	for _, inst := range list {
		if err := r.call(ctx, http.MethodDelete, "/instances/"+inst.Name, nil); err != nil {
			return err
		}
	}
	return nil
}

func (r Registry) call(ctx context.Context, method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, r.URL+path, bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return merry.Wrap(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return merry.Errorf("instance list of the platform stand-in: %s %s: status %d", method, path, res.StatusCode)
	}
	return nil
}
