package rrfront

import (
	"context"
	"unicode"
	"unicode/utf8"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrstatus"
	"rattanring/io/rrconfigdoc"
	"rattanring/io/rrflag"
	"rattanring/io/rrrender"
	"rattanring/io/rrwire"
)

// operatorServer implements rrwire.Operator.
type operatorServer struct {
	*Frontend
}

// Config returns the active configuration.
func (o operatorServer) Config(context.Context, *rrwire.Empty) (*rrwire.Document, error) {
	return rrconfigdoc.ToWire(o.Backend.Config()), nil
}

// Apply validates a document and passes it to the Backend. It reports every outcome as an
// Outcome, not an error.
func (o operatorServer) Apply(ctx context.Context, m *rrwire.Document) (*rrwire.Outcome, error) {
	code, detail, active := o.apply(ctx, m)
	level.Info(o.Logger).Log("msg", "apply", "author", truncate(m.GetAuthor()), "base", m.GetVersion(),
		"code", uint32(code), "outcome", code, "detail", detail, "version", active.Version, "preset", active.Preset)
	return &rrwire.Outcome{Code: uint32(code), Detail: detail, Won: rrconfigdoc.ToWire(active)}, nil
}

func (o operatorServer) apply(ctx context.Context, m *rrwire.Document) (rrcode.Code, string, rrconf.Config) {
	cfg, err := rrconfigdoc.FromWire(m)
	if err == nil {
		err = checkMetadata(cfg)
	}
	if err != nil {
		return rrcode.BadConfig, err.Error(), o.Backend.Config()
	}
	if cfg.ChangeID == "" {
		cfg.ChangeID = uuid.NewString()
	}
	return o.Backend.Apply(ctx, cfg)
}

// checkMetadata checks the change ID and the author of a change.
func checkMetadata(c rrconf.Config) error {
	if c.ChangeID != "" && !rrflag.IsName(c.ChangeID) {
		return &rrconf.FieldError{Field: "change", Value: truncate(c.ChangeID), Allowed: rrflag.NameFormat}
	}
	if len(c.Author) > maxAuthorBytes || !isPrintable(c.Author) {
		return &rrconf.FieldError{Field: "author", Value: truncate(c.Author), Allowed: "at most 64 bytes of readable text"}
	}
	return nil
}

func isPrintable(s string) bool {
	for _, r := range s {
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// Status returns the fleet as JSON.
func (o operatorServer) Status(ctx context.Context, _ *rrwire.Empty) (*rrwire.Report, error) {
	return &rrwire.Report{Text: string(rrrender.EncodeStatus(o.Backend.Status(ctx)))}, nil
}

// Explain returns the history of a job as JSON. The history has the code not-found if the
// entry doesn't know the job, or if the job belongs to another tenant than the named one.
func (o operatorServer) Explain(ctx context.Context, m *rrwire.Name) (*rrwire.History, error) {
	if r := checkName("id", m.GetId()); r.code != 0 {
		return nil, twirpError(r)
	}
	h, ok := o.Backend.Explain(ctx, m.GetId())
	if !ok || m.GetTenant() != "" && m.GetTenant() != h.Tenant {
		h = rrstatus.History{ID: m.GetId(), Tenant: m.GetTenant(), Code: rrcode.NotFound}
	}
	return &rrwire.History{Text: string(rrrender.EncodeHistory(h))}, nil
}
