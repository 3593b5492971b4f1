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

// relayHeader names the entry that a call is to be passed on to.
const relayHeader = "Rattanring-Relay"

// maxRelayedCalls bounds the calls that an entry passes on at one time.
const maxRelayedCalls = 256

// Relay passes calls on to entries that their sender does not reach, as when one
// direction between two zones is cut, and serves all others. Batches are recognised by
// their key, so a call that arrives on two ways runs once. The fields have to be set.
type Relay struct {
	Next   http.Handler
	Known  func(addr string) bool // whether an entry is known at the address
	Logger log.Logger

	once   sync.Once
	client *http.Client
	slots  chan struct{}
}

func (r *Relay) init() {
	r.client = &http.Client{Transport: newTransport(dial)}
	r.slots = make(chan struct{}, maxRelayedCalls)
}

// ServeHTTP implements http.Handler. A call that can't be passed on is answered with 502.
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
		level.Warn(r.Logger).Log("msg", "call not passed on", "to", to, "reason", "no such entry is known")
		http.Error(w, "no such entry is known", http.StatusBadGateway)
		return
	}
	if err := r.forward(w, req, to); err != nil {
		level.Warn(r.Logger).Log("msg", "call not passed on", "to", to, "err", err)
		http.Error(w, "the entry does not answer", http.StatusBadGateway)
	}
}

// forward sends the call on and copies the answer. After an error nothing has been written.
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

// withRelay returns a context whose call asks for being passed on.
func withRelay(ctx context.Context, addr string) context.Context {
	h := make(http.Header)
	h.Set(relayHeader, addr)
	withHeader, err := twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil { // only for headers that twirp sets itself
		panic(err)
	}
	return withHeader
}
