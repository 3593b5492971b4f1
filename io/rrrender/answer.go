package rrrender

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"rattanring/core/rrtask"
)

type answerJSON struct {
	RequestID   string       `json:"id"`
	Code        uint32       `json:"code"`
	Outcome     string       `json:"outcome"`
	Class       string       `json:"class"`
	Detail      string       `json:"detail,omitempty"`
	Coordinator string       `json:"entry,omitempty"`
	RetryAfter  jsonDuration `json:"after"`
	Results     []resultJSON `json:"results"`
}

type resultJSON struct {
	Index   int          `json:"index"`
	Code    uint32       `json:"code"`
	RunTime jsonDuration `json:"run"`
	Minion  string       `json:"minion,omitempty"`
	Body    []byte       `json:"body"`
	Detail  string       `json:"detail,omitempty"`
}

// EncodeAnswer returns a as JSON, with the bodies as base64.
func EncodeAnswer(a rrtask.Answer) []byte {
	doc := answerJSON{
		RequestID:   a.RequestID,
		Code:        uint32(a.Code),
		Outcome:     a.Code.String(),
		Class:       a.Code.Class().String(),
		Detail:      a.Detail,
		Coordinator: a.Coordinator,
		RetryAfter:  jsonDuration(a.RetryAfter),
		Results:     make([]resultJSON, len(a.Results)),
	}
	for i, r := range a.Results {
		doc.Results[i] = resultJSON{r.Index, uint32(r.Code), jsonDuration(r.RunTime), r.Minion, r.Body, r.Detail}
	}
	return encodeJSON(doc)
}

// maxShownBodyBytes bounds how much of a body WriteAnswer shows.
const maxShownBodyBytes = 60

// WriteAnswer writes a as text, with one line for each task.
func WriteAnswer(w io.Writer, a rrtask.Answer) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(tw, "request %s: %s", a.RequestID, formatOutcome(a.Code))
	if a.Coordinator != "" {
		fmt.Fprintf(tw, " by entry %s", a.Coordinator)
	}
	fmt.Fprintln(tw)
	if text := a.Code.Description(); text != "" {
		fmt.Fprintln(tw, text)
	}
	if a.Detail != "" {
		fmt.Fprintln(tw, a.Detail)
	}
	if a.RetryAfter > 0 {
		fmt.Fprintf(tw, "retry after %s\n", a.RetryAfter)
	}
	writeResults(tw, a.Results)
	return tw.Flush()
}

func writeResults(w io.Writer, all []rrtask.Result) {
	if len(all) == 0 {
		return
	}
	fmt.Fprintf(w, "\nTASK\tOUTCOME\tRUN\tMINION\tBODY\n")
	for _, r := range all {
		body := r.Body
		ellipsis := ""
		if len(body) > maxShownBodyBytes {
			body, ellipsis = body[:maxShownBodyBytes], "..."
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%q%s\n", r.Index, r.Code, r.RunTime.Round(time.Millisecond),
			orDash(r.Minion), body, ellipsis)
	}
}
