// Package rrmetric counts and times what an entry does.
package rrmetric

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanring/core/rrcode"
)

// MessageKind is a kind of message other than the first send of a task's request.
type MessageKind string

// Kinds of messages.
const (
	KindBatch      MessageKind = "batch"   // to another keeper
	KindRecall     MessageKind = "take"    // asks a keeper to give tasks back
	KindHeartbeat  MessageKind = "beat"    // heartbeat
	KindCancel     MessageKind = "drop"    // cancels batches
	KindProbe      MessageKind = "probe"   // health check of a minion
	KindRefused    MessageKind = "refused" // send that a minion refused
	KindRedispatch MessageKind = "resend"  // send of a task that an earlier send did not start
	KindStart      MessageKind = "start"   // useful send to a minion
)

// MessageKinds lists all kinds of messages.
var MessageKinds = []MessageKind{KindBatch, KindRecall, KindHeartbeat, KindCancel, KindProbe, KindRefused, KindRedispatch, KindStart}

// OtherLabel is the label of tenants and classes past the limit.
const OtherLabel = "other"

// DefaultMaxLabelPairs is the number of pairs of tenant and class that get
// histograms of their own when Metrics.MaxLabels is zero.
const DefaultMaxLabelPairs = 64

// Metrics are the measurements of one entry. The zero value is ready for use; it
// must not be copied. All methods are safe for concurrent use.
type Metrics struct {
	MaxLabelPairs int // pairs of tenant and class with histograms of their own; zero means DefaultMaxLabels

	once     sync.Once
	registry *metrics.Set

	messages map[MessageKind]*metrics.Counter // not changed after init
	control  *metrics.Counter

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
	m.control = m.registry.NewCounter("rr_control_bytes_total")
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

// AddMessages counts n messages of kind k, which must be one of Kinds.
func (m *Metrics) AddMessages(k MessageKind, n int) {
	m.ensureRegistry()
	m.messages[k].Add(n)
}

// AddControlBytes counts n bytes of messages between entries and with the platform.
func (m *Metrics) AddControlBytes(n int) {
	m.ensureRegistry()
	m.control.Add(n)
}

// CountAnswer counts one answer with code c.
func (m *Metrics) CountAnswer(c rrcode.Code) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_answers_total{code="%d",name=%q}`, c, c)).Inc()
}

// CountRefusal counts one answer with an error status.
func (m *Metrics) CountRefusal(status int) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_refusals_total{status="%d"}`, status)).Inc()
}

// CountCommand counts one order to a minion.
func (m *Metrics) CountCommand(kind string) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_orders_total{kind=%q}`, kind)).Inc()
}

// CountTakeover counts one seat that this process began to keep.
func (m *Metrics) CountTakeover() {
	m.ensureRegistry().GetOrCreateCounter("rr_takeovers_total").Inc()
}

// CountStoreCall counts one call to the platform's store.
func (m *Metrics) CountStoreCall(kind string, failed bool) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_store_calls_total{kind=%q,failed="%t"}`, kind, failed)).Inc()
}

// AddViolations counts n violations of the named invariant.
func (m *Metrics) AddViolations(name string, n int) {
	m.ensureRegistry().GetOrCreateCounter(fmt.Sprintf(`rr_violations_total{name=%q}`, name)).Add(n)
}

// RegisterGauge shows what f returns under the name rr_NAME. A second gauge of the same
// name is ignored.
func (m *Metrics) RegisterGauge(name string, f func() float64) {
	m.ensureRegistry().GetOrCreateGauge("rr_"+name, f)
}

// ObserveWait times the wait of a task from the acceptance of its job to its start.
func (m *Metrics) ObserveWait(tenant, class string, d time.Duration) {
	m.histogramsFor(tenant, class).wait.Update(d.Seconds())
}

// ObserveRun times a task on its minion.
func (m *Metrics) ObserveRun(tenant, class string, d time.Duration) {
	m.histogramsFor(tenant, class).run.Update(d.Seconds())
}

// ObserveResponse times a job from its acceptance to its answer.
func (m *Metrics) ObserveResponse(tenant, class string, d time.Duration) {
	m.histogramsFor(tenant, class).response.Update(d.Seconds())
}

// histogramsFor returns the histograms of a pair. Pairs past the limit share one set,
// since tenants and classes come from outside and a label is never freed.
func (m *Metrics) histogramsFor(tenant, class string) *histograms {
	m.ensureRegistry()
	l := labelPair{tenant, class}
	m.mu.RLock()
	t := m.byLabels[l]
	m.mu.RUnlock()
	if t != nil {
		return t
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if t = m.byLabels[l]; t != nil {
		return t
	}
	if len(m.byLabels) >= m.maxLabelPairs() || l == (labelPair{OtherLabel, OtherLabel}) {
		return m.overflow
	}
	t = m.newHistograms(l)
	m.byLabels[l] = t
	return t
}

func (m *Metrics) maxLabelPairs() int {
	if m.MaxLabelPairs > 0 {
		return m.MaxLabelPairs
	}
	return DefaultMaxLabelPairs
}

// Write writes all metrics in the Prometheus text format, those of the process
// included.
func (m *Metrics) Write(w io.Writer) {
	m.ensureRegistry().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
