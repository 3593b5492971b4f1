// Package rrpeer carries messages between entries over Twirp.
package rrpeer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"rattanring/core/rrcode"
	"rattanring/core/rrcoord"
	"rattanring/core/rrmembership"
	"rattanring/core/rrnode"
	"rattanring/core/rrtask"
	"rattanring/io/rrwire"
)

// Times of calls between entries.
const (
	dialTimeout    = time.Second
	controlTimeout = 2 * time.Second // heartbeats, take-backs, cancellations
	runGrace       = 5 * time.Second // past the deadline of a batch
	idleTimeout    = 2 * time.Minute
	idlePerPeer    = 64 // connections
)

// Client calls other entries. The zero value works. It is safe for concurrent use.
type Client struct {
	once    sync.Once
	bulk    *http.Client // batches and joined jobs
	control *http.Client // everything else
	bytes   atomic.Uint64
	peers   sync.Map // address → rrwire.Peer for control
	runs    sync.Map // address → rrwire.Peer for bulk
}

func (c *Client) init() {
	c.bulk = &http.Client{Transport: newTransport(dial)}
	c.control = &http.Client{Transport: newTransport(c.dialCounted)}
}

func newTransport(d func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:         d,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTimeout,
	}
}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, addr)
}

func (c *Client) dialCounted(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: nc, n: &c.bytes}, nil
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	n *atomic.Uint64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(uint64(n))
	return n, err
}

// ControlBytes returns the bytes of all control calls made so far, both directions.
func (c *Client) ControlBytes() uint64 {
	return c.bytes.Load()
}

func (c *Client) peer(addr string) rrwire.Peer {
	c.once.Do(c.init)
	return load(&c.peers, addr, c.control)
}

func (c *Client) runner(addr string) rrwire.Peer {
	c.once.Do(c.init)
	return load(&c.runs, addr, c.bulk)
}

func load(m *sync.Map, addr string, h *http.Client) rrwire.Peer {
	if p, ok := m.Load(addr); ok {
		return p.(rrwire.Peer)
	}
	p, _ := m.LoadOrStore(addr, rrwire.NewPeerProtobufClient("http://"+addr, h))
	return p.(rrwire.Peer)
}

// sent classifies the error of a call. Only a failed dial counts as not sent.
func sent(err error) rrcoord.Delivery {
	if err == nil {
		return rrcoord.DeliveryAnswered
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return rrcoord.DeliveryNotSent
	}
	return rrcoord.DeliveryUnknown
}

// Run sends a batch and waits for its outcome.
func (c *Client) Run(ctx context.Context, r rrcoord.RunBatchCall) rrcoord.RunBatchResult {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.Batch.Deadline.Add(runGrace))
	defer cancel()
	msg := rrwire.FromBatch(r.Batch, r.Incarnation, now)
	msg.Have = fromIndexes(r.Received)
	msg.Load = rrwire.FromLoad(r.Load)
	to := r.Addr
	if r.RelayAddr != "" {
		to = r.RelayAddr
		ctx = relayTo(ctx, r.Addr)
	}
	p, err := c.runner(to).Run(ctx, msg)
	out := rrcoord.RunBatchResult{Seq: r.Batch.Key.Seq, Delivery: sent(err)}
	if err != nil {
		if r.RelayAddr != "" { // how far a call got that was passed on is not known
			out.Delivery = rrcoord.DeliveryUnknown
		}
		return out
	}
	out.Code = rrcode.Code(p.GetCode())
	out.Results = rrwire.ToResults(p.GetResults())
	out.Returned = toIndexes(p.GetReturned())
	out.More = p.GetMore()
	out.Incarnation = p.GetLife()
	out.Load = rrwire.ToLoad(p.GetLoad())
	return out
}

// Take asks a keeper to give tasks back. The event is empty but for its batch when
// no good answer comes.
func (c *Client) Take(ctx context.Context, t rrcoord.RecallCall) *rrnode.RecallDone {
	out := &rrnode.RecallDone{Seq: t.Key.Seq}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	p, err := c.peer(t.Addr).Take(ctx, fromKey(t.Key, t.Incarnation, t.MaxTasks))
	if err != nil || p.GetCode() != 0 {
		return out
	}
	out.From, out.Incarnation, out.Load = t.To, p.GetLife(), rrwire.ToLoad(p.GetLoad())
	out.Returned = toIndexes(p.GetReturned())
	return out
}

// Drop cancels batches at a keeper.
func (c *Client) Drop(ctx context.Context, d rrcoord.CancelBatchesCall) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	msg := &rrwire.Recalls{}
	for _, key := range d.Keys {
		msg.Recalls = append(msg.Recalls, fromKey(key, d.Incarnation, 0))
	}
	_, err := c.peer(d.Addr).Drop(ctx, msg)
	return err
}

// Beat exchanges heartbeats.
func (c *Client) Beat(ctx context.Context, b rrnode.HeartbeatCall) ([]rrmembership.Member, rrcoord.Delivery) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	t, err := c.peer(b.Addr).Beat(ctx, &rrwire.Table{Members: fromMembers(b.Members)})
	return toMembers(t.GetMembers()), sent(err)
}

// Latest returns the configuration document that the peer has.
func (c *Client) Latest(ctx context.Context, addr string) (*rrwire.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return c.peer(addr).Latest(ctx, &rrwire.Empty{})
}

// Join waits for the answer of a job that the entry at addr coordinates.
func (c *Client) Join(ctx context.Context, addr, id, tenant string) (rrtask.Answer, rrcoord.Delivery) {
	a, err := c.runner(addr).Join(ctx, &rrwire.Name{Id: id, Tenant: tenant})
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.NotFound {
		return rrtask.Answer{Code: rrcode.NotFound}, rrcoord.DeliveryAnswered
	}
	return rrwire.ToAnswer(a), sent(err)
}
