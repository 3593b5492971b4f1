package rrmetric

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrcode"
)

func text(m *Metrics) string {
	var b strings.Builder
	m.Write(&b)
	return b.String()
}

func TestMetrics(t *testing.T) {
	var m Metrics
	m.AddMessages(KindBatch, 3)
	m.AddControlBytes(100)
	m.CountAnswer(rrcode.Complete)
	m.AddViolations("double-start", 1)
	m.CountSettingsReload("applied")
	m.RegisterGauge("jobs", func() float64 { return 2 })
	m.ObserveWait("ports", "proof", time.Millisecond)
	m.ObserveRun("ports", "proof", time.Second)
	m.ObserveResponse("ports", `pr"oof`, time.Second)
	got := text(&m)
	for _, want := range []string{
		`rr_messages_total{kind="batch"} 3`,
		`rr_messages_total{kind="probe"} 0`,
		`rr_control_bytes_total 100`,
		`rr_answers_total{code="100",name="complete"} 1`,
		`rr_violations_total{name="double-start"} 1`,
		`rr_settings_reloads_total{result="applied"} 1`,
		`rr_jobs 2`,
		`rr_wait_seconds_count{tenant="ports",class="proof"} 1`,
		`rr_response_seconds_count{tenant="ports",class="pr\"oof"} 1`,
		`process_cpu_seconds_total`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("got no %s", want)
		}
	}
}

func TestLabelsAreBounded(t *testing.T) {
	m := Metrics{MaxLabelPairs: 3}
	for i := range 100 {
		m.ObserveResponse(fmt.Sprint("t", i), "c", time.Second)
	}
	got := text(&m)
	if n := strings.Count(got, "rr_response_seconds_count"); n != 4 {
		t.Errorf("got %d histograms, want 3 and the shared one", n)
	}
	if want := `rr_response_seconds_count{tenant="other",class="other"} 97`; !strings.Contains(got, want) {
		t.Errorf("got no %s", want)
	}
}

func BenchmarkResponse(b *testing.B) {
	var m Metrics
	for b.Loop() {
		m.ObserveResponse("ports", "proof", time.Second)
	}
}

func BenchmarkMessage(b *testing.B) {
	var m Metrics
	for b.Loop() {
		m.AddMessages(KindStart, 1)
	}
}
