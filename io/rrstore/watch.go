package rrstore

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"

	"rattanring/io/rretcd"
)

// Event is one change of one key. Only Key and Mod are set when it is deleted.
type Event struct {
	Deleted bool
	Item    Item
}

// CompactedError says that changes are gone which a watch asked for. Read the
// range and watch from its revision on.
type CompactedError struct {
	OldestRevision int64 // the oldest revision that is still kept
}

// Error returns the oldest revision that is still kept.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes before revision %d are gone", e.OldestRevision)
}

// maxWatchMessageBytes is the largest message of a watch, in bytes.
const maxWatchMessageBytes = 8 << 20

// Watch calls f for each change of r from revision from on, in order, and zero
// means from now on. It returns the revision to resume from when the stream
// breaks, when f fails, or when ctx ends.
func (c *Client) Watch(ctx context.Context, r Range, from int64, handle func(Event) error) (next int64, err error) {
	body, err := json.Marshal(rretcd.WatchRequest{CreateRequest: rretcd.WatchCreateRequest{
		Key: []byte(r.Key), RangeEnd: []byte(r.End), StartRevision: rretcd.Int(from),
	}})
	if err != nil {
		return from, notApplied(rretcd.PathWatch, merry.Wrap(err))
	}
	if err := c.waitForBudget(ctx, Read); err != nil {
		return from, notApplied(rretcd.PathWatch, err)
	}
	resp, err := c.send(ctx, rretcd.PathWatch, body)
	c.Budget.recordCall(ctx, err)
	if err != nil {
		return from, err
	}
	defer resp.Body.Close()
	c.Budget.addWatches(1)
	defer c.Budget.addWatches(-1)
	next, err = readWatch(resp.Body, from, handle)
	c.Budget.recordCall(ctx, err)
	return next, err
}

// readWatch reads the stream of a watch until it breaks.
func readWatch(stream io.Reader, from int64, handle func(Event) error) (int64, error) {
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, maxWatchMessageBytes)
	for lines.Scan() {
		next, err := handleMessage(lines.Bytes(), from, handle)
		if err != nil {
			return from, err
		}
		from = next
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return from, notApplied(rretcd.PathWatch, merry.Wrap(err))
}

// handleMessage reads one message and returns the revision to go on from.
func handleMessage(line []byte, from int64, handle func(Event) error) (int64, error) {
	var msg rretcd.WatchMessage
	if err := json.Unmarshal(line, &msg); err != nil {
		return from, notApplied(rretcd.PathWatch, merry.Wrap(err))
	}
	if err := messageError(&msg); err != nil {
		return from, err
	}
	if msg.Result.Created && from == 0 {
		from = int64(msg.Result.Header.Revision) + 1
	}
	for _, e := range msg.Result.Events {
		if int64(e.KV.ModRevision) < from {
			continue
		}
		if err := handle(toEvent(e)); err != nil {
			return from, err
		}
	}
	return resumeRevision(from, msg.Result.Events), nil
}

func messageError(msg *rretcd.WatchMessage) error {
	if msg.Error != nil {
		return &Error{Op: rretcd.PathWatch, Code: msg.Error.Code, Err: msg.Error}
	}
	if msg.Result.CompactRevision > 0 {
		return &CompactedError{OldestRevision: int64(msg.Result.CompactRevision)}
	}
	if msg.Result.Canceled {
		return notApplied(rretcd.PathWatch, merry.New("the service canceled the watch"))
	}
	return nil
}

func toEvent(e rretcd.Event) Event {
	return Event{Deleted: e.Type == rretcd.EventDelete, Item: toItem(e.KV)}
}

// resumeRevision returns the revision after the last event. All events of a revision
// come in one message.
func resumeRevision(from int64, events []rretcd.Event) int64 {
	if len(events) == 0 {
		return from
	}
	return max(from, int64(events[len(events)-1].KV.ModRevision)+1)
}
