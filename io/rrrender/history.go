package rrrender

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrstatus"
)

type historyJSON struct {
	ID      string      `json:"id"`
	Tenant  string      `json:"tenant"`
	Class   string      `json:"class"`
	Code    uint32      `json:"code"`
	Outcome string      `json:"outcome,omitempty"`
	Events  []eventJSON `json:"steps"`
}

type eventJSON struct {
	Elapsed jsonDuration `json:"at"`
	Kind    string       `json:"what"`
	Peer    string       `json:"peer,omitempty"`
	Tasks   int          `json:"tasks,omitempty"`
	Detail  string       `json:"detail,omitempty"`
}

// EncodeHistory returns h as JSON.
func EncodeHistory(h rrstatus.History) []byte {
	doc := historyJSON{
		ID:     h.ID,
		Tenant: h.Tenant,
		Class:  h.Class,
		Code:   uint32(h.Code),
		Events: make([]eventJSON, len(h.Events)),
	}
	if h.Code != 0 {
		doc.Outcome = h.Code.String()
	}
	for i, e := range h.Events {
		doc.Events[i] = eventJSON{jsonDuration(e.Elapsed), e.Kind.String(), e.Peer, e.Tasks, e.Detail}
	}
	return encodeJSON(doc)
}

// DecodeHistory decodes the result of EncodeHistory. An unknown key is an error that
// names the key.
func DecodeHistory(data []byte) (rrstatus.History, error) {
	var doc historyJSON
	if err := decodeJSON(data, &doc); err != nil {
		return rrstatus.History{}, err
	}
	h := rrstatus.History{
		ID:     doc.ID,
		Tenant: doc.Tenant,
		Class:  doc.Class,
		Code:   rrcode.Code(doc.Code),
	}
	for _, e := range doc.Events {
		h.Events = append(h.Events, rrstatus.Event{
			Elapsed: time.Duration(e.Elapsed),
			Kind:    rrstatus.ParseEventKind(e.Kind),
			Peer:    e.Peer,
			Tasks:   e.Tasks,
			Detail:  e.Detail,
		})
	}
	return h, nil
}

// WriteHistory writes h as text, with one line for each event.
func WriteHistory(w io.Writer, h rrstatus.History) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(tw, "request %s of %s, class %s: %s\n", h.ID, h.Tenant, h.Class, formatOutcome(h.Code))
	fmt.Fprintf(tw, "\nAT\tWHAT\tTASKS\tPEER\tWHY\n")
	for _, e := range h.Events {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%s\t%s\n", e.Elapsed.Round(10*time.Microsecond), e.Kind, e.Tasks,
			orDash(e.Peer), orDash(e.Detail))
	}
	return tw.Flush()
}

func formatOutcome(c rrcode.Code) string {
	if c == 0 {
		return "not answered yet"
	}
	return fmt.Sprintf("%d %s (%s)", uint32(c), c, c.Class())
}
