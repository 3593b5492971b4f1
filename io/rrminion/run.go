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

// Run sends one task to its minion and waits for the answer. The code of the
// result is of the class not run only if no byte was written or the minion
// refused the task explicitly.
func (c *Client) Run(ctx context.Context, start rrdispatcher.Dispatch) rrdispatcher.DispatchResult {
	c.once.Do(c.init)
	began := time.Now()
	if !start.Deadline.IsZero() && began.After(start.Deadline) {
		return finish(start, rrcode.DeadlinePassed, "")
	}
	fin := c.exchange(ctx, start, began)
	fin.Result.RunTime = time.Since(began)
	return fin
}

func (c *Client) exchange(ctx context.Context, start rrdispatcher.Dispatch, now time.Time) rrdispatcher.DispatchResult {
	s := &send{guard: c.guardOf(start)}
	trace := &httptrace.ClientTrace{GotConn: s.gotConn}
	ctx, cancel := context.WithTimeout(ctx, c.RunTimeout)
	defer cancel()
	req := newRequest(httptrace.WithClientTrace(ctx, trace), start, now)
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return broken(start, s, err)
	}
	defer res.Body.Close()
	return c.read(start, res)
}

func (c *Client) guardOf(start rrdispatcher.Dispatch) func() error {
	if c.Guard == nil {
		return nil
	}
	return func() error { return c.Guard(start) }
}

// newRequest returns the request for one task. Its body can't be rewound, and it
// is never empty in the eyes of the transport, which replays bodiless requests.
func newRequest(ctx context.Context, start rrdispatcher.Dispatch, now time.Time) *http.Request {
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: start.Addr, Path: pathRun},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        taskHeader(start, now),
		Host:          start.Addr,
		Body:          io.NopCloser(bytes.NewReader(start.Task.Body)),
		ContentLength: int64(len(start.Task.Body)),
	}
	return req.WithContext(ctx)
}

// broken returns the outcome of a send without an answer.
func broken(start rrdispatcher.Dispatch, s *send, err error) rrdispatcher.DispatchResult {
	if s.seal() {
		return finish(start, rrcode.ConnectionLost, err.Error())
	}
	return finish(start, rrcode.Unreachable, err.Error())
}

// read turns the answer of a minion into the outcome of the send.
func (c *Client) read(start rrdispatcher.Dispatch, res *http.Response) rrdispatcher.DispatchResult {
	body, err := readBody(res, c.MaxAnswer)
	fin := finish(start, rrcode.Complete, "")
	fin.WorkerUsage = parseSize(res.Header.Get(headerUsage))
	fin.Draining = res.Header.Get(headerLeaving) == yes
	switch {
	case res.Header.Get(headerStarted) == no:
		fin.Result.Code = rrcode.MinionRefused
		fin.Result.Detail = detail(body)
	case errors.Is(err, errTooLong):
		fin.Result.Code = rrcode.TaskFailed
		fin.Result.Detail = fmt.Sprintf("the answer exceeds %d bytes", c.MaxAnswer)
	case err != nil:
		fin.Result.Code = rrcode.ConnectionLost
		fin.Result.Detail = err.Error()
	case res.StatusCode == http.StatusOK:
		fin.Result.Body = body
	case res.StatusCode == http.StatusUnprocessableEntity, res.StatusCode == http.StatusInternalServerError:
		fin.Result.Code = rrcode.TaskFailed
		fin.Result.Detail = detail(body)
	default:
		fin.Result.Code = rrcode.ConnectionLost
		fin.Result.Detail = fmt.Sprintf("status %d: %s", res.StatusCode, detail(body))
	}
	return fin
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

func detail(body []byte) string {
	return string(body[:min(len(body), maxDetail)])
}

func finish(start rrdispatcher.Dispatch, code rrcode.Code, detail string) rrdispatcher.DispatchResult {
	fin := rrdispatcher.DispatchResult{ID: start.ID}
	fin.Result.Index = start.Task.Index
	fin.Result.Code = code
	fin.Result.Detail = detail
	fin.Result.Minion = start.Minion
	return fin
}
