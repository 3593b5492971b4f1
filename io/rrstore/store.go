// Package rrstore is a client for the platform's key-value store, which offers
// etcd v3's JSON gateway.
//
// The client sends each call at most once and never retries it. The error of a
// failed call says whether the store may have applied the call. A client with a
// Budget delays its calls to stay within the allowed rates.
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

// maxResponseBytes bounds how much of a response body the client reads.
const maxResponseBytes = 64 << 20

// Client calls the store at BaseURL. It is safe for concurrent use.
type Client struct {
	BaseURL string        // URL without a path, such as http://10.0.0.1:2379
	Timeout time.Duration // of one call, and again of its wait for the budget; zero means DefaultTimeout
	Budget  *Budget       // limits the rates of all calls of this process; nil means no limit

	once      sync.Once
	transport *http.Transport
}

// Close closes the idle connections to the store.
func (c *Client) Close() {
	c.http().CloseIdleConnections()
}

func (c *Client) http() *http.Transport {
	c.once.Do(func() { c.transport = newTransport() })
	return c.transport
}

// Item is a key with its value and revisions. Golden files of package platform contain
// its field names.
type Item struct {
	Key     string
	Value   []byte
	Create  int64 // revision that created the key
	Mod     int64 // revision of the last change
	Version int64 // number of changes since the key was created
	Lease   int64 // ID of the lease that the key is attached to; zero if there is none
}

// Range is Key alone, or all keys from Key up to but not including End.
type Range struct {
	Key   string
	End   string // empty means Key alone
	Limit int64  // maximum number of items that a read returns; zero means no limit
}

// Prefix returns the range of all keys that begin with prefix, which must not be empty.
func Prefix(prefix string) Range {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return Range{Key: prefix, End: string(end[:i+1])}
		}
	}
	return Range{Key: prefix, End: "\x00"} // in etcd this End means all keys from Key on
}

// RangeResult is the response to a read.
type RangeResult struct {
	Revision int64  // of the whole store
	Items    []Item // sorted by key
	More     bool   // the range has more items than the limit
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

// DeleteRange deletes a range and returns the number of deleted keys.
func (c *Client) DeleteRange(ctx context.Context, r Range) (int64, error) {
	var resp rretcd.DeleteRangeResponse
	err := c.call(ctx, Write, rretcd.PathDeleteRange, deleteRequest(r), &resp)
	return int64(resp.Deleted), err
}

// Grant creates a lease and returns its ID. It rounds ttl up, because the store
// counts leases in whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var resp rretcd.LeaseResponse
	seconds := rretcd.Int((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, Write, rretcd.PathGrant, rretcd.GrantRequest{TTL: seconds}, &resp)
	return int64(resp.ID), err
}

// KeepAlive renews a lease and returns its remaining time, which is zero if the
// lease no longer exists.
func (c *Client) KeepAlive(ctx context.Context, id int64) (time.Duration, error) {
	var resp rretcd.KeepAliveResponse
	err := c.call(ctx, Write, rretcd.PathKeepAlive, rretcd.LeaseRequest{ID: rretcd.Int(id)}, &resp)
	return time.Duration(resp.Result.TTL) * time.Second, err
}

// Revoke ends a lease. The store then deletes the keys attached to it.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	var resp rretcd.PutResponse
	return c.call(ctx, Write, rretcd.PathRevoke, rretcd.LeaseRequest{ID: rretcd.Int(id)}, &resp)
}

// call waits for the budget, sends one request and decodes the response into resp.
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

// waitForBudget waits until the budget allows a call, at most for the timeout of a call.
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

// send sends one request. It returns an *Error if the response has an error status.
func (c *Client) send(ctx context.Context, path string, body []byte) (*http.Response, error) {
	var tracker writeTracker
	ctx = tracker.withTrace(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, notApplied(path, merry.Wrap(err))
	}
	req.GetBody = nil // without it the transport can't send the request again
	req.Header.Set("Content-Type", "application/json")
	r, err := c.http().RoundTrip(req)
	if err != nil {
		return nil, &Error{Path: path, MaybeApplied: tracker.abort(), Err: merry.Wrap(err)}
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
		return &Error{Path: path, MaybeApplied: true, Err: merry.Wrap(err)}
	}
	return nil
}
