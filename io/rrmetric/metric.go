// Package rrmetric holds the metrics of one process: an entry, or a host on the users' platform.
package rrmetric

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanring/core/rrcode"
)

// MessageKind is the value of the label kind of rr_messages_total.
type MessageKind string

// Kinds of messages.
const (
	KindBatch      MessageKind = "batch"   // tasks sent to another owner
	KindRecall     MessageKind = "take"    // recall of unstarted tasks from an owner
	KindHeartbeat  MessageKind = "beat"    // heartbeat between entries
	KindCancel     MessageKind = "drop"    // cancellation of batches at an owner
	KindProbe      MessageKind = "probe"   // health check of a minion
	KindRefused    MessageKind = "refused" // dispatch that a minion refused
	KindRedispatch MessageKind = "resend"  // dispatch of a task that an earlier dispatch did not start
	KindStart      MessageKind = "start"   // dispatch that the minion did not refuse
)

// MessageKinds lists all kinds in the order of rrnode.Node.MessageTotals.
var MessageKinds = []MessageKind{KindBatch, KindRecall, KindHeartbeat, KindCancel, KindProbe, KindRefused, KindRedispatch, KindStart}

// OtherLabel is the tenant and the class of the histograms that all pairs beyond MaxLabelPairs share.
const OtherLabel = "other"

// DefaultMaxLabelPairs is the number of pairs of tenant and class that get
// histograms of their own when Metrics.MaxLabelPairs is zero.
const DefaultMaxLabelPairs = 64

// Metrics are the metrics of one process. The zero value is ready for use. Metrics must
// not be copied. All methods are safe for concurrent use.
type Metrics struct {
	MaxLabelPairs int // pairs of tenant and class with histograms of their own; zero means DefaultMaxLabelPairs

	once     sync.Once
	registry *metrics.Set

	messages     map[MessageKind]*metrics.Counter // read-only after init
	controlBytes *metrics.Counter

	mu       sync.RWMutex
	byLabels map[labelPair]*histograms
	overflow *histograms
}

type labelPair struct {
	tenant, class string
}

type histograms struct {
	wait, run, response *metrics.Histogram
}

func (m *Metrics) ensureRegistry() *metrics.Set {
	m.once.Do(m.init)
	return m.registry
}

func (m *Metrics) init() {
	m.registry = metrics.NewSet()
	m.byLabels = make(map[labelPair]*histograms)
	m.overflow = m.newHistograms(labelPair{OtherLabel, OtherLabel})
	m.messages = make(map[MessageKind]*metrics.Counter, len(MessageKinds))
	for _, k := range MessageKinds {
		m.messages[k] = m.registry.NewCounter(fmt.Sprintf(`rr_messages_total{kind=%q}`, k))
	}
	m.controlBytes = m.registry.NewCounter("rr_control_bytes_total")
}

func (m *Metrics) newHistograms(l labelPair) *histograms {
	name := func(what string) string {
		return fmt.Sprintf(`rr_%s_seconds{tenant=%q,class=%q}`, what, l.tenant, l.class)
	}
	return &histograms{
		wait:     m.registry.NewHistogram(name("wait")),
		run:      m.registry.NewHistogram(name("run")),
		response: m.registry.NewHistogram(name("response")),
	}
}

// AddMessages counts n messages of kind k, which must be one of MessageKinds.
func (m *Metrics) AddMessages(k MessageKind, n int) {
	m.ensureRegistry()
	m.messages[k].Add(n)
}

// AddControlBytes counts n bytes of control calls between entries, sent or received.
func (m *Metrics) AddControlBytes(n int) {
	m.ensureRegistry()
	m.controlBytes.Add(n)
}

// CountAnswer counts one answer with code c.
func (m *Metrics) CountAnswer(c rrcode.Code) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_answers_total{code="%d",name=%q}`, c, c)).Inc()
}

// CountRefusal counts one response with an HTTP error status.
func (m *Metrics) CountRefusal(status int) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_refusals_total{status="%d"}`, status)).Inc()
}

// CountIntakeRefusal counts one request or connection that a limit on the callers of a port refused or closed.
func (m *Metrics) CountIntakeRefusal(port, kind string) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_intake_refusals_total{port=%q,kind=%q}`, port, kind)).Inc()
}

// CountCommand counts one command to a minion.
func (m *Metrics) CountCommand(kind string) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_orders_total{kind=%q}`, kind)).Inc()
}

// CountTakeover counts one shard that this process began to own.
func (m *Metrics) CountTakeover() {
	m.ensureRegistry().GetOrCreateCounter("rr_takeovers_total").Inc()
}

// CountEvacuationForward counts one job that an owner has forwarded because a zone is evacuated.
func (m *Metrics) CountEvacuationForward() {
	m.ensureRegistry().GetOrCreateCounter("rr_evacuation_forwards_total").Inc()
}

// CountEvacuationRefusal counts one job that was refused because a zone is evacuated.
func (m *Metrics) CountEvacuationRefusal() {
	m.ensureRegistry().GetOrCreateCounter("rr_evacuation_refusals_total").Inc()
}

// CountStoreCall counts one call to the platform's store.
func (m *Metrics) CountStoreCall(kind string, failed bool) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_store_calls_total{kind=%q,failed="%t"}`, kind, failed)).Inc()
}

// CountSettingsReload counts one read of the platform's settings file.
func (m *Metrics) CountSettingsReload(result string) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_settings_reloads_total{result=%q}`, result)).Inc()
}

// AddViolations counts n violations of the named invariant.
func (m *Metrics) AddViolations(name string, n int) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_violations_total{name=%q}`, name)).Add(n)
}

// RegisterGauge registers a gauge named rr_NAME whose value is the result of f. A second gauge of
// the same name is ignored.
func (m *Metrics) RegisterGauge(name string, f func() float64) {
	m.ensureRegistry().GetOrCreateGauge("rr_"+name, f)
}

// ObserveWait records the time from the acceptance of a job to a dispatch of one of its tasks.
func (m *Metrics) ObserveWait(tenant, class string, d time.Duration) {
	m.histogramsFor(tenant, class).wait.Update(d.Seconds())
}

// ObserveRun records the run time of a task on its minion.
func (m *Metrics) ObserveRun(tenant, class string, d time.Duration) {
	m.histogramsFor(tenant, class).run.Update(d.Seconds())
}

// ObserveResponse records the time from the acceptance of a job to its answer.
func (m *Metrics) ObserveResponse(tenant, class string, d time.Duration) {
	m.histogramsFor(tenant, class).response.Update(d.Seconds())
}

// histogramsFor returns the histograms of a pair. Pairs beyond the limit share one set, because
// clients choose the tenants and classes and histograms are never freed.
func (m *Metrics) histogramsFor(tenant, class string) *histograms {
	m.ensureRegistry()
	l := labelPair{tenant, class}
	m.mu.RLock()
	h := m.byLabels[l]
	m.mu.RUnlock()
	if h != nil {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h = m.byLabels[l]; h != nil {
		return h
	}
	if len(m.byLabels) >= m.maxLabelPairs() || l == (labelPair{OtherLabel, OtherLabel}) {
		return m.overflow
	}
	h = m.newHistograms(l)
	m.byLabels[l] = h
	return h
}

func (m *Metrics) maxLabelPairs() int {
	if m.MaxLabelPairs > 0 {
		return m.MaxLabelPairs
	}
	return DefaultMaxLabelPairs
}

// Write writes all metrics in the Prometheus text format, followed by those of the operating
// system process.
func (m *Metrics) Write(w io.Writer) {
	m.ensureRegistry().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
