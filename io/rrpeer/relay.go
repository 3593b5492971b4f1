package rrpeer

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"
)

// relayHeader holds the address of the entry that a call must be forwarded to.
const relayHeader = "Rattanring-Relay"

// maxRelayedCalls limits the calls that an entry forwards concurrently.
const maxRelayedCalls = 256

// Relay forwards calls to entries that the sender can't reach, for example because one
// direction between two zones is cut, and passes all other calls to Next. Entries identify
// a batch by its key, so a batch that arrives on two paths runs once. All exported fields
// are required.
type Relay struct {
	Next   http.Handler
	Known  func(addr string) bool // reports whether a known entry has the address
	Logger log.Logger

	once   sync.Once
	client *http.Client
	slots  chan struct{}
}

func (r *Relay) init() {
	r.client = &http.Client{Transport: newTransport(dial)}
	r.slots = make(chan struct{}, maxRelayedCalls)
}

// ServeHTTP implements http.Handler. It answers 502 to a call that it can't forward.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	to := req.Header.Get(relayHeader)
	if to == "" {
		r.Next.ServeHTTP(w, req)
		return
	}
	r.once.Do(r.init)
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		http.Error(w, "too many calls are passed on", http.StatusBadGateway)
		return
	}
	if !r.Known(to) {
		level.Warn(r.Logger).Log("msg", "call not passed on", "to", to, "reason", "no known entry has this address")
		http.Error(w, "no such entry is known", http.StatusBadGateway)
		return
	}
	if err := r.forward(w, req, to); err != nil {
		level.Warn(r.Logger).Log("msg", "call not passed on", "to", to, "err", err)
		http.Error(w, "the entry does not answer", http.StatusBadGateway)
	}
}

// forward sends the call to the address and copies the answer to w. If it returns an error,
// nothing has been written to w.
func (r *Relay) forward(w http.ResponseWriter, req *http.Request, to string) error {
	out, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+to+req.URL.Path, req.Body)
	if err != nil {
		return err
	}
	out.ContentLength = req.ContentLength
	out.Header.Set("Content-Type", req.Header.Get("Content-Type"))
	resp, err := r.client.Do(out)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		level.Warn(r.Logger).Log("msg", "answer not passed on whole", "to", to, "err", err)
	}
	return nil
}

// withRelay returns a context that makes a call ask its receiver to forward it to addr.
func withRelay(ctx context.Context, addr string) context.Context {
	h := make(http.Header)
	h.Set(relayHeader, addr)
	withHeader, err := twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil { // only for headers that twirp sets itself
		panic(err)
	}
	return withHeader
}
