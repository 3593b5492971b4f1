package rrcall

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrstatus"
	"rattanring/io/rrconfigdoc"
	"rattanring/io/rrrender"
	"rattanring/io/rrwire"
)

// firstAnswer calls f for one entry after the other until one answers.
func firstAnswer[T any](c *Client, f func(o rrwire.Operator) (T, error)) (T, error) {
	var zero T
	var errs []error
	for _, entry := range c.Entries {
		v, err := f(rrwire.NewOperatorProtobufClient("http://"+entry, c.http()))
		if err == nil {
			return v, nil
		}
		errs = append(errs, merry.Prependf(err, "entry %s", entry))
	}
	return zero, errors.Join(errs...)
}

// Config returns the active configuration of the first entry that answers.
func (c *Client) Config(ctx context.Context) (rrconf.Config, error) {
	m, err := firstAnswer(c, func(o rrwire.Operator) (*rrwire.Document, error) {
		return o.Config(ctx, &rrwire.Empty{})
	})
	if err != nil {
		return rrconf.Config{}, err
	}
	return rrconfigdoc.FromWire(m)
}

// ApplyResult is the outcome of Apply.
type ApplyResult struct {
	Code   rrcode.Code
	Detail string
	Active rrconf.Config // configuration that is active after the call
}

// Apply replaces the configuration if cfg.Version is still the active version. It assigns
// the change ID; if the answer is lost, it reads the configuration and compares the ID.
func (c *Client) Apply(ctx context.Context, cfg rrconf.Config) (ApplyResult, error) {
	cfg.ChangeID = uuid.NewString()
	var errs []error
	for _, entry := range c.Entries {
		o := rrwire.NewOperatorProtobufClient("http://"+entry, c.http())
		out, err := o.Apply(ctx, rrconfigdoc.ToWire(cfg))
		if err == nil {
			active, err := rrconfigdoc.FromWire(out.GetWon())
			return ApplyResult{rrcode.Code(out.GetCode()), out.GetDetail(), active}, err
		}
		errs = append(errs, merry.Prependf(err, "entry %s", entry))
		if failureCode(err) != rrcode.Unreachable {
			return c.readBack(ctx, cfg, errors.Join(errs...))
		}
	}
	return ApplyResult{Code: rrcode.Unreachable}, errors.Join(errs...)
}

// readBackAttempts is how often readBack reads the configuration. The first read may fail
// on the same connection as the lost answer.
const readBackAttempts = 3

// readBack returns the outcome of a change whose answer was lost. A missing change proves
// nothing, since the store may still apply it; the code is then ApplyUnconfirmed.
func (c *Client) readBack(ctx context.Context, cfg rrconf.Config, lost error) (ApplyResult, error) {
	var active rrconf.Config
	for n := range readBackAttempts {
		c.wait(ctx, backoff(n, 0))
		latest, err := c.Config(ctx)
		if err != nil {
			continue
		}
		if active = latest; active.ChangeID == cfg.ChangeID {
			return ApplyResult{rrcode.Applied, "read back after a lost answer", active}, nil
		}
	}
	return ApplyResult{rrcode.ApplyUnconfirmed, lost.Error(), active}, nil
}

// SetPreset changes only the preset, as change does.
func (c *Client) SetPreset(ctx context.Context, p rrconf.Preset, author string) (ApplyResult, error) {
	return c.change(ctx, author, func(cfg rrconf.Config) rrconf.Config {
		cfg.Preset = p
		return cfg
	})
}

// EvacuateZone adds a zone to the evacuated ones, or removes it from them, and changes
// nothing else, as change does. It also makes a new version if the zone's state is the
// wanted one already: an entry that is cut off may show an older state.
func (c *Client) EvacuateZone(ctx context.Context, zone string, evacuated bool, author string) (ApplyResult, error) {
	return c.change(ctx, author, func(cfg rrconf.Config) rrconf.Config {
		return cfg.WithZone(zone, evacuated)
	})
}

// change edits the active configuration. If another change is applied at the same time, it
// tries again on top of that change, with at most maxAttempts attempts.
func (c *Client) change(ctx context.Context, author string, edit func(rrconf.Config) rrconf.Config) (ApplyResult, error) {
	const maxAttempts = 5
	var out ApplyResult
	for range maxAttempts {
		cfg, err := c.Config(ctx)
		if err != nil {
			return ApplyResult{Code: rrcode.Unreachable}, err
		}
		cfg = edit(cfg)
		cfg.Author = author
		out, err = c.Apply(ctx, cfg)
		if err != nil || out.Code != rrcode.Conflict {
			return out, err
		}
	}
	return out, nil
}

// Status returns the fleet as the first entry that answers sees it.
func (c *Client) Status(ctx context.Context) (rrstatus.Status, error) {
	m, err := firstAnswer(c, func(o rrwire.Operator) (*rrwire.Report, error) {
		return o.Status(ctx, &rrwire.Empty{})
	})
	if err != nil {
		return rrstatus.Status{}, err
	}
	return rrrender.DecodeStatus([]byte(m.GetText()))
}

// Explain returns the history of a job from the first entry that knows the job. The history
// has the code not-found if no entry does.
func (c *Client) Explain(ctx context.Context, id, tenant string) (rrstatus.History, error) {
	notFound := rrstatus.History{ID: id, Tenant: tenant, Code: rrcode.NotFound}
	var errs []error
	for _, entry := range c.Entries {
		o := rrwire.NewOperatorProtobufClient("http://"+entry, c.http())
		m, err := o.Explain(ctx, &rrwire.Name{Id: id, Tenant: tenant})
		if err != nil {
			errs = append(errs, merry.Prependf(err, "entry %s", entry))
			continue
		}
		h, err := rrrender.DecodeHistory([]byte(m.GetText()))
		if err != nil || h.Code != rrcode.NotFound {
			return h, err
		}
	}
	if len(errs) == len(c.Entries) {
		return notFound, errors.Join(errs...)
	}
	return notFound, nil
}
