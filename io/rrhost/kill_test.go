package rrhost

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// kill ends a host as SIGKILL does: connections break, and nothing is handed over, answered or stopped.
func (m *testHost) kill() {
	if m.dead {
		return
	}
	m.dead = true
	m.killed.Store(true)
	m.Store.(*hostStore).setCut(true)
	m.stop()
	m.mu.Lock()
	executors := slices.Collect(maps.Values(m.executors))
	m.mu.Unlock()
	for _, ex := range executors {
		ex.Kill()
		<-ex.Done()
	}
	m.server.Close()
	<-m.ended
}

// answerWhileAlive wraps the handler of a host so that it breaks the connection instead of answering once
// the host is killed, and does nothing while the host is silent.
func (m *testHost) answerWhileAlive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.awaitVoice()
		if m.noReports.Load() && strings.HasSuffix(r.URL.Path, "/Reports") {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(&aliveWriter{w, m}, r)
	})
}

func (m *testHost) awaitVoice() {
	for m.silent.Load() && !m.killed.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// aliveWriter writes the answer of a host that is not killed.
type aliveWriter struct {
	http.ResponseWriter
	m *testHost
}

// WriteHeader implements http.ResponseWriter.
func (w *aliveWriter) WriteHeader(status int) {
	w.check()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *aliveWriter) Write(text []byte) (int, error) {
	w.check()
	return w.ResponseWriter.Write(text)
}

func (w *aliveWriter) check() {
	w.m.awaitVoice()
	if w.m.killed.Load() {
		panic(http.ErrAbortHandler)
	}
}
