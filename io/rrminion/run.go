package rrminion

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
)

// Run dispatches one task to its minion and waits for the answer. The code of the
// result is of the class not run only if no byte was written or the minion
// refused the task explicitly.
func (c *Client) Run(ctx context.Context, d rrdispatcher.Dispatch) rrdispatcher.DispatchResult {
	c.once.Do(c.init)
	started := time.Now()
	if !d.Deadline.IsZero() && started.After(d.Deadline) {
		return newResult(d, rrcode.DeadlinePassed, "")
	}
	out := c.exchange(ctx, d, started)
	out.Result.RunTime = time.Since(started)
	return out
}

func (c *Client) exchange(ctx context.Context, d rrdispatcher.Dispatch, now time.Time) rrdispatcher.DispatchResult {
	permit := &writePermit{guard: c.guardFor(d)}
	trace := &httptrace.ClientTrace{GotConn: permit.gotConn}
	ctx, cancel := context.WithTimeout(ctx, c.RunTimeout)
	defer cancel()
	req := newRequest(httptrace.WithClientTrace(ctx, trace), d, now)
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return unanswered(d, permit, err)
	}
	defer res.Body.Close()
	return c.parseAnswer(d, res)
}

func (c *Client) guardFor(d rrdispatcher.Dispatch) func() error {
	if c.Guard == nil {
		return nil
	}
	return func() error { return c.Guard(d) }
}

// newRequest returns the request for one task. The transport must not replay it, so
// its body can't be rewound and is never nil or http.NoBody, even for an empty task.
func newRequest(ctx context.Context, d rrdispatcher.Dispatch, now time.Time) *http.Request {
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: d.Addr, Path: pathRun},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        dispatchHeader(d, now),
		Host:          d.Addr,
		Body:          io.NopCloser(bytes.NewReader(d.Task.Body)),
		ContentLength: int64(len(d.Task.Body)),
	}
	return req.WithContext(ctx)
}

// unanswered returns the result of a dispatch that got no answer because of err.
func unanswered(d rrdispatcher.Dispatch, permit *writePermit, err error) rrdispatcher.DispatchResult {
	if permit.revoke() {
		return newResult(d, rrcode.ConnectionLost, err.Error())
	}
	return newResult(d, rrcode.Unreachable, err.Error())
}

// parseAnswer returns the result of a dispatch from the minion's answer.
func (c *Client) parseAnswer(d rrdispatcher.Dispatch, res *http.Response) rrdispatcher.DispatchResult {
	body, err := readBody(res, c.MaxAnswerBytes)
	out := newResult(d, rrcode.Complete, "")
	out.WorkerUsage = parseResources(res.Header.Get(headerUsage))
	out.Draining = res.Header.Get(headerDraining) == yes
	switch {
	case res.Header.Get(headerStarted) == no:
		out.Result.Code = rrcode.MinionRefused
		out.Result.Detail = truncateDetail(body)
	case errors.Is(err, errTooLong):
		out.Result.Code = rrcode.TaskFailed
		out.Result.Detail = fmt.Sprintf("the answer exceeds %d bytes", c.MaxAnswerBytes)
	case err != nil:
		out.Result.Code = rrcode.ConnectionLost
		out.Result.Detail = err.Error()
	case res.StatusCode == http.StatusOK:
		out.Result.Body = body
	case res.StatusCode == http.StatusUnprocessableEntity, res.StatusCode == http.StatusInternalServerError:
		out.Result.Code = rrcode.TaskFailed
		out.Result.Detail = truncateDetail(body)
	default:
		out.Result.Code = rrcode.ConnectionLost
		out.Result.Detail = fmt.Sprintf("status %d: %s", res.StatusCode, truncateDetail(body))
	}
	return out
}

var errTooLong = errors.New("the answer is too long")

// readBody returns the body of res, or errTooLong when it exceeds limit bytes.
func readBody(res *http.Response, limit int64) ([]byte, error) {
	if res.ContentLength > limit {
		return nil, errTooLong
	}
	if res.ContentLength >= 0 {
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if int64(len(body)) > limit {
		return nil, errTooLong
	}
	return body, err
}

func truncateDetail(body []byte) string {
	return string(body[:min(len(body), maxDetailBytes)])
}

func newResult(d rrdispatcher.Dispatch, code rrcode.Code, detail string) rrdispatcher.DispatchResult {
	out := rrdispatcher.DispatchResult{ID: d.ID}
	out.Result.Index = d.Task.Index
	out.Result.Code = code
	out.Result.Detail = detail
	out.Result.Minion = d.Minion
	return out
}
