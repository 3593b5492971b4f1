// Package rrpeer sends and serves the calls between entries, over Twirp.
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

// Timeouts and limits of calls between entries.
const (
	dialTimeout         = time.Second
	controlTimeout      = 2 * time.Second // of all calls except RunBatch and Attach
	batchGrace          = 5 * time.Second // time past the deadline of a batch that RunBatch waits
	idleTimeout         = 2 * time.Minute
	maxIdleConnsPerPeer = 64
)

// Client calls other entries. The zero value works. It is safe for concurrent use.
type Client struct {
	once         sync.Once
	bulk         *http.Client // RunBatch and Attach
	control      *http.Client // everything else
	controlBytes atomic.Uint64
	controlPeers sync.Map // address → rrwire.Peer that uses control
	bulkPeers    sync.Map // address → rrwire.Peer that uses bulk
}

func (c *Client) init() {
	c.bulk = &http.Client{Transport: newTransport(dial)}
	c.control = &http.Client{Transport: newTransport(c.dialCounted)}
}

func newTransport(d func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:         d,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
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
	return &countedConn{Conn: nc, total: &c.controlBytes}, nil
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	total *atomic.Uint64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.Add(uint64(n))
	return n, err
}

// ControlBytes returns the bytes sent and received so far on the connections for control
// calls: all except RunBatch and Attach.
func (c *Client) ControlBytes() uint64 {
	return c.controlBytes.Load()
}

func (c *Client) controlPeer(addr string) rrwire.Peer {
	c.once.Do(c.init)
	return loadPeer(&c.controlPeers, addr, c.control)
}

func (c *Client) bulkPeer(addr string) rrwire.Peer {
	c.once.Do(c.init)
	return loadPeer(&c.bulkPeers, addr, c.bulk)
}

func loadPeer(m *sync.Map, addr string, h *http.Client) rrwire.Peer {
	if p, ok := m.Load(addr); ok {
		return p.(rrwire.Peer)
	}
	p, _ := m.LoadOrStore(addr, rrwire.NewPeerProtobufClient("http://"+addr, h))
	return p.(rrwire.Peer)
}

// deliveryOf classifies the error of a call. Only a failed dial proves that nothing was
// sent.
func deliveryOf(err error) rrcoord.Delivery {
	if err == nil {
		return rrcoord.DeliveryAnswered
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return rrcoord.DeliveryNotSent
	}
	return rrcoord.DeliveryUnknown
}

// RunBatch sends a batch to its owner, or asks a relay to forward it, and waits for the
// result.
func (c *Client) RunBatch(ctx context.Context, r rrcoord.RunBatchCall) rrcoord.RunBatchResult {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.Batch.Deadline.Add(batchGrace))
	defer cancel()
	msg := rrwire.FromBatch(r.Batch, r.Incarnation, now)
	msg.Have = fromIndexes(r.Received)
	msg.Load = rrwire.FromLoad(r.Load)
	to := r.Addr
	if r.RelayAddr != "" {
		to = r.RelayAddr
		ctx = withRelay(ctx, r.Addr)
	}
	progress, err := c.bulkPeer(to).Run(ctx, msg)
	out := rrcoord.RunBatchResult{Seq: r.Batch.Key.Seq, Delivery: deliveryOf(err)}
	if err != nil {
		if r.RelayAddr != "" { // the relay may have forwarded the call
			out.Delivery = rrcoord.DeliveryUnknown
		}
		return out
	}
	out.Code = rrcode.Code(progress.GetCode())
	out.Results = rrwire.ToResults(progress.GetResults())
	out.Returned = toIndexes(progress.GetReturned())
	out.More = progress.GetMore()
	out.Incarnation = progress.GetLife()
	out.Load = rrwire.ToLoad(progress.GetLoad())
	return out
}

// Recall asks an owner to return unstarted tasks of a batch. Only Seq of the result is set
// if the owner refuses or does not answer.
func (c *Client) Recall(ctx context.Context, r rrcoord.RecallCall) *rrnode.RecallDone {
	out := &rrnode.RecallDone{Seq: r.Key.Seq}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	progress, err := c.controlPeer(r.Addr).Take(ctx, toRecallMessage(r.Key, r.Incarnation, r.MaxTasks))
	if err != nil || progress.GetCode() != 0 {
		return out
	}
	out.From, out.Incarnation, out.Load = r.To, progress.GetLife(), rrwire.ToLoad(progress.GetLoad())
	out.Returned = toIndexes(progress.GetReturned())
	return out
}

// CancelBatches cancels batches at an owner.
func (c *Client) CancelBatches(ctx context.Context, call rrcoord.CancelBatchesCall) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	msg := &rrwire.Recalls{}
	for _, key := range call.Keys {
		msg.Recalls = append(msg.Recalls, toRecallMessage(key, call.Incarnation, 0))
	}
	_, err := c.controlPeer(call.Addr).Drop(ctx, msg)
	return err
}

// Heartbeat sends the members to a peer and returns those that the peer answers with.
func (c *Client) Heartbeat(ctx context.Context, hb rrnode.HeartbeatCall) ([]rrmembership.Member, rrcoord.Delivery) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	table, err := c.controlPeer(hb.Addr).Beat(ctx, &rrwire.Table{Members: fromMembers(hb.Members)})
	return toMembers(table.GetMembers()), deliveryOf(err)
}

// LatestConfig returns the configuration document of the peer at addr.
func (c *Client) LatestConfig(ctx context.Context, addr string) (*rrwire.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return c.controlPeer(addr).Latest(ctx, &rrwire.Empty{})
}

// Attach waits for the answer to a job that the entry at addr coordinates. The answer has
// the code rrcode.NotFound if the job does not run there.
func (c *Client) Attach(ctx context.Context, addr, id, tenant string) (rrtask.Answer, rrcoord.Delivery) {
	a, err := c.bulkPeer(addr).Join(ctx, &rrwire.Name{Id: id, Tenant: tenant})
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.NotFound {
		return rrtask.Answer{Code: rrcode.NotFound}, rrcoord.DeliveryAnswered
	}
	return rrwire.ToAnswer(a), deliveryOf(err)
}
