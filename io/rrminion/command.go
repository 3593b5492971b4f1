package rrminion

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"

	"rattanring/core/rrdispatcher"
)

// Health reports whether the minion answers a health check with status 200.
func (c *Client) Health(ctx context.Context, probe rrdispatcher.Probe) bool {
	return c.call(ctx, http.MethodGet, probe.Addr+pathHealth, "") == nil
}

// SendCommand stops or throttles one task on a minion. An error means that the
// minion did not confirm the command.
func (c *Client) SendCommand(ctx context.Context, command rrdispatcher.TaskCommand) error {
	path := pathThrottle
	if command.Stop {
		path = pathStop
	}
	return c.call(ctx, http.MethodPost, command.Addr+path, taskName(command.Job, command.TaskIndex))
}

// call makes one request without a body. The transport may replay it, because a
// repeated health check or command has no further effect.
func (c *Client) call(ctx context.Context, method, url, task string) error {
	c.once.Do(c.init)
	ctx, cancel := context.WithTimeout(ctx, c.ControlTimeout)
	defer cancel()
	ctx = withoutPermit(ctx)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+url, nil)
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
	if _, err := readBody(res, maxDetailBytes); err != nil {
		return merry.Wrap(err)
	}
	if res.StatusCode != http.StatusOK {
		return merry.Errorf("%s %s: status %d", method, url, res.StatusCode)
	}
	return nil
}
