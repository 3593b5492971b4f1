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

// Event is one change of one key. For a deleted key only Item.Key and
// Item.Mod are set.
type Event struct {
	Deleted bool
	Item    Item
}

// CompactedError says that the store has already discarded changes that a watch
// asked for. The caller has to read the range again and watch from the revision of
// that read.
type CompactedError struct {
	OldestRevision int64 // the oldest revision that the store still has
}

// Error returns the oldest revision that the store still has.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store has discarded the changes before revision %d", e.OldestRevision)
}

// maxWatchMessageBytes bounds one message of a watch.
const maxWatchMessageBytes = 8 << 20

// Watch calls handle for each change of r, in order, starting with revision from;
// zero means with the next change. It returns when the stream breaks, when handle
// returns an error, or when ctx ends. next is the revision to resume from.
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

// readWatch reads the messages of a watch until the stream breaks or handle
// returns an error.
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

// handleMessage handles one message and returns the revision to resume from.
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
		return &Error{Path: rretcd.PathWatch, Code: msg.Error.Code, Err: msg.Error}
	}
	if msg.Result.CompactRevision > 0 {
		return &CompactedError{OldestRevision: int64(msg.Result.CompactRevision)}
	}
	if msg.Result.Canceled {
		return notApplied(rretcd.PathWatch, merry.New("the store canceled the watch"))
	}
	return nil
}

func toEvent(e rretcd.Event) Event {
	return Event{Deleted: e.Type == rretcd.EventDelete, Item: toItem(e.KV)}
}

// resumeRevision returns the revision after that of the last event, or from if there
// are no events. The store sends all events of a revision in one message.
func resumeRevision(from int64, events []rretcd.Event) int64 {
	if len(events) == 0 {
		return from
	}
	return max(from, int64(events[len(events)-1].KV.ModRevision)+1)
}
