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
	ID      string     `json:"id"`
	Tenant  string     `json:"tenant"`
	Class   string     `json:"class"`
	Code    uint32     `json:"code"`
	Outcome string     `json:"outcome,omitempty"`
	Steps   []stepJSON `json:"steps"`
}

type stepJSON struct {
	At     span   `json:"at"`
	What   string `json:"what"`
	Peer   string `json:"peer,omitempty"`
	Tasks  int    `json:"tasks,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// EncodeHistory returns h as JSON.
func EncodeHistory(h rrstatus.History) []byte {
	doc := historyJSON{
		ID:     h.ID,
		Tenant: h.Tenant,
		Class:  h.Class,
		Code:   uint32(h.Code),
		Steps:  make([]stepJSON, len(h.Events)),
	}
	if h.Code != 0 {
		doc.Outcome = h.Code.String()
	}
	for i, s := range h.Events {
		doc.Steps[i] = stepJSON{span(s.Elapsed), s.Kind.String(), s.Peer, s.Tasks, s.Detail}
	}
	return encode(doc)
}

// DecodeHistory parses what EncodeHistory returns. Unknown keys are refused by
// name.
func DecodeHistory(data []byte) (rrstatus.History, error) {
	var doc historyJSON
	if err := decode(data, &doc); err != nil {
		return rrstatus.History{}, err
	}
	h := rrstatus.History{
		ID:     doc.ID,
		Tenant: doc.Tenant,
		Class:  doc.Class,
		Code:   rrcode.Code(doc.Code),
	}
	for _, s := range doc.Steps {
		h.Events = append(h.Events, rrstatus.Event{
			Elapsed: time.Duration(s.At),
			Kind:    rrstatus.ParseEventKind(s.What),
			Peer:    s.Peer,
			Tasks:   s.Tasks,
			Detail:  s.Detail,
		})
	}
	return h, nil
}

// WriteHistory writes h for people, one line for each decision.
func WriteHistory(w io.Writer, h rrstatus.History) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(tw, "request %s of %s, class %s: %s\n", h.ID, h.Tenant, h.Class, outcome(h.Code))
	fmt.Fprintf(tw, "\nAT\tWHAT\tTASKS\tPEER\tWHY\n")
	for _, s := range h.Events {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%s\t%s\n", s.Elapsed.Round(10*time.Microsecond), s.Kind, s.Tasks,
			dash(s.Peer), dash(s.Detail))
	}
	return tw.Flush()
}

func outcome(c rrcode.Code) string {
	if c == 0 {
		return "not answered yet"
	}
	return fmt.Sprintf("%d %s (%s)", uint32(c), c, c.Class())
}
