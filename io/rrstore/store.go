// Package rrstore is the client of the platform's key-value service, which
// speaks etcd v3's JSON gateway.
//
// Each call is sent at most once. An error tells whether the call is known to
// have had no effect, or may have had one; a call within a Budget waits for its
// turn first.
package rrstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanring/io/rretcd"
)

// DefaultTimeout bounds a call whose context has no earlier deadline.
const DefaultTimeout = 2 * time.Second

// maxResponseBytes is the largest answer that is read, in bytes.
const maxResponseBytes = 64 << 20

// Client talks to the service at Base. It is safe for concurrent use.
type Client struct {
	BaseURL string        // URL without a path, such as http://10.0.0.1:2379
	Timeout time.Duration // of one call, and of its wait for the budget; zero means DefaultTimeout
	Budget  *Budget       // calls that this process may make; nil means no limit

	once      sync.Once
	transport *http.Transport
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http().CloseIdleConnections()
}

func (c *Client) http() *http.Transport {
	c.once.Do(func() { c.transport = newTransport() })
	return c.transport
}

// Item is one key with its value.
type Item struct {
	Key            string
	Value          []byte
	CreateRevision int64 // revision that made the key
	ModRevision    int64 // revision of the last change
	Version        int64 // changes since the key was made
	Lease          int64 // zero when no lease holds the key
}

// Range names Key, or all keys from Key up to End, exclusive.
type Range struct {
	Key   string
	End   string // empty for one key
	Limit int64  // zero means no limit; reads only
}

// Prefix returns the range of all keys that begin with prefix, which is not empty.
func Prefix(prefix string) Range {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return Range{Key: prefix, End: string(end[:i+1])}
		}
	}
	return Range{Key: prefix, End: "\x00"}
}

// RangeResult is the answer to a read.
type RangeResult struct {
	Revision int64  // of the whole store
	Items    []Item // in order of their keys
	More     bool   // the limit cut the answer
}

// Get reads a range.
func (c *Client) Get(ctx context.Context, r Range) (RangeResult, error) {
	var resp rretcd.RangeResponse
	err := c.call(ctx, Read, rretcd.PathRange, rangeRequest(r), &resp)
	if err != nil {
		return RangeResult{}, err
	}
	return toRangeResult(&resp), nil
}

// Put writes one key.
func (c *Client) Put(ctx context.Context, put Put) error {
	var resp rretcd.PutResponse
	return c.call(ctx, Write, rretcd.PathPut, putRequest(put), &resp)
}

// DeleteRange deletes a range and returns the number of keys.
func (c *Client) DeleteRange(ctx context.Context, r Range) (int64, error) {
	var resp rretcd.DeleteRangeResponse
	err := c.call(ctx, Write, rretcd.PathDeleteRange, deleteRequest(r), &resp)
	return int64(resp.Deleted), err
}

// Grant makes a lease and returns its id. The service counts in whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var resp rretcd.LeaseResponse
	seconds := rretcd.Int((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, Write, rretcd.PathGrant, rretcd.GrantRequest{TTL: seconds}, &resp)
	return int64(resp.ID), err
}

// KeepAlive renews a lease and returns the time it has left, zero when it is gone.
func (c *Client) KeepAlive(ctx context.Context, id int64) (time.Duration, error) {
	var resp rretcd.KeepAliveResponse
	err := c.call(ctx, Write, rretcd.PathKeepAlive, rretcd.LeaseRequest{ID: rretcd.Int(id)}, &resp)
	return time.Duration(resp.Result.TTL) * time.Second, err
}

// Revoke ends a lease, which deletes its keys.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	var resp rretcd.PutResponse
	return c.call(ctx, Write, rretcd.PathRevoke, rretcd.LeaseRequest{ID: rretcd.Int(id)}, &resp)
}

// call waits for the budget, sends one request and reads its answer.
func (c *Client) call(ctx context.Context, k CallKind, path string, req, resp any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return notApplied(path, merry.Wrap(err))
	}
	if err := c.waitForBudget(ctx, k); err != nil {
		return notApplied(path, err)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	r, err := c.send(callCtx, path, body)
	if err == nil {
		defer r.Body.Close()
		err = readResponse(path, r, resp)
	}
	c.Budget.recordCall(ctx, err)
	return err
}

// waitForBudget waits for the budget, but no longer than for a call.
func (c *Client) waitForBudget(ctx context.Context, k CallKind) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	return c.Budget.wait(ctx, k)
}

func (c *Client) timeout() time.Duration {
	if c.Timeout == 0 {
		return DefaultTimeout
	}
	return c.Timeout
}

// send writes one request. The answer of an error status becomes an *Error.
func (c *Client) send(ctx context.Context, path string, body []byte) (*http.Response, error) {
	var tracker writeTracker
	ctx = tracker.withTrace(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, notApplied(path, merry.Wrap(err))
	}
	req.GetBody = nil // the transport can't send the body again
	req.Header.Set("Content-Type", "application/json")
	r, err := c.http().RoundTrip(req)
	if err != nil {
		return nil, &Error{Op: path, MaybeApplied: tracker.abort(), Err: merry.Wrap(err)}
	}
	if r.StatusCode != http.StatusOK {
		defer r.Body.Close()
		return nil, responseError(path, r)
	}
	return r, nil
}

func readResponse(path string, r *http.Response, resp any) error {
	err := json.NewDecoder(io.LimitReader(r.Body, maxResponseBytes)).Decode(resp)
	if err != nil {
		return &Error{Op: path, MaybeApplied: true, Err: merry.Wrap(err)}
	}
	return nil
}
