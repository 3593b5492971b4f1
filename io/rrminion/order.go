package rrminion

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"

	"rattanring/core/rrdispatcher"
)

// Health reports whether the minion answers that it takes work.
func (c *Client) Health(ctx context.Context, probe rrdispatcher.Probe) bool {
	return c.call(ctx, http.MethodGet, probe.Addr+pathHealth, "") == nil
}

// Order stops or throttles one task of a worker. An error means that the worker
// did not confirm the order.
func (c *Client) Order(ctx context.Context, order rrdispatcher.TaskCommand) error {
	path := pathThrottle
	if order.Stop {
		path = pathStop
	}
	return c.call(ctx, http.MethodPost, order.Addr+path, taskName(order.Job, order.TaskIndex))
}

// call makes one request without a body; sending it twice is harmless.
func (c *Client) call(ctx context.Context, method, target, task string) error {
	c.once.Do(c.init)
	ctx, cancel := context.WithTimeout(ctx, c.HealthTimeout)
	defer cancel()
	ctx = withoutSend(ctx)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target, nil)
	if err != nil {
		return merry.Wrap(err)
	}
	if task != "" {
		req.Header[headerTask] = []string{task}
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return merry.Wrap(err)
	}
	defer res.Body.Close()
	if _, err := readBody(res, maxDetail); err != nil {
		return merry.Wrap(err)
	}
	if res.StatusCode != http.StatusOK {
		return merry.Errorf("%s %s: status %d", method, target, res.StatusCode)
	}
	return nil
}
