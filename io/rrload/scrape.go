package rrload

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// maxMetricsBytes bounds the body that is read from one entry's metrics page.
const maxMetricsBytes = 16 << 20

// Cost is the cost of dispatching: messages by kind, bytes and CPU time.
type Cost struct {
	Dispatches   float64 // to minions, including redispatches
	Refused      float64 // dispatches that a minion refused
	Redispatches float64 // dispatches of a task after an earlier dispatch that did not start it
	Batches      float64
	Recalls      float64
	Cancels      float64
	Heartbeats   float64
	Probes       float64
	Bytes        float64 // of control messages
	CPUSeconds   float64
}

// Wasted returns the number of refused dispatches plus redispatches.
func (c Cost) Wasted() float64 {
	return c.Refused + c.Redispatches
}

// Control returns the number of messages that carry no task to a minion.
func (c Cost) Control() float64 {
	return c.Batches + c.Recalls + c.Cancels + c.Heartbeats + c.Probes
}

// Plus returns the sum of c and d.
func (c Cost) Plus(d Cost) Cost {
	return c.combine(d, 1)
}

// Minus returns the cost since d was read.
func (c Cost) Minus(d Cost) Cost {
	return c.combine(d, -1)
}

func (c Cost) combine(d Cost, sign float64) Cost {
	c.Dispatches += sign * d.Dispatches
	c.Refused += sign * d.Refused
	c.Redispatches += sign * d.Redispatches
	c.Batches += sign * d.Batches
	c.Recalls += sign * d.Recalls
	c.Cancels += sign * d.Cancels
	c.Heartbeats += sign * d.Heartbeats
	c.Probes += sign * d.Probes
	c.Bytes += sign * d.Bytes
	c.CPUSeconds += sign * d.CPUSeconds
	return c
}

// Scrape reads the total cost so far from the metrics page of an entry.
func Scrape(ctx context.Context, addr string) (Cost, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return Cost{}, merry.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return Cost{}, merry.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return Cost{}, merry.Errorf("reading the metrics of entry %s: status %d", addr, res.StatusCode)
	}
	return parseCost(io.LimitReader(res.Body, maxMetricsBytes))
}

// parseCost parses the text format of metrics. It ignores unknown series.
func parseCost(r io.Reader) (Cost, error) {
	var c Cost
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		i := strings.LastIndexByte(lines.Text(), ' ')
		if i < 0 {
			continue
		}
		v := c.field(lines.Text()[:i])
		if v == nil {
			continue
		}
		x, err := strconv.ParseFloat(lines.Text()[i+1:], 64)
		if err != nil {
			return c, merry.Prepend(err, "parsing an entry's metrics")
		}
		*v += x
	}
	return c, merry.Wrap(lines.Err())
}

// field returns the field of c for a series, or nil for an unknown series.
func (c *Cost) field(series string) *float64 {
	switch series {
	case `rr_messages_total{kind="start"}`:
		return &c.Dispatches
	case `rr_messages_total{kind="refused"}`:
		return &c.Refused
	case `rr_messages_total{kind="resend"}`:
		return &c.Redispatches
	case `rr_messages_total{kind="batch"}`:
		return &c.Batches
	case `rr_messages_total{kind="take"}`:
		return &c.Recalls
	case `rr_messages_total{kind="drop"}`:
		return &c.Cancels
	case `rr_messages_total{kind="beat"}`:
		return &c.Heartbeats
	case `rr_messages_total{kind="probe"}`:
		return &c.Probes
	case `rr_control_bytes_total`:
		return &c.Bytes
	case `process_cpu_seconds_total`:
		return &c.CPUSeconds
	}
	return nil
}
