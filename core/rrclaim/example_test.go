package rrclaim_test

import (
	"fmt"
	"time"

	"rattanring/core/rrclaim"
)

func Example() {
	now := time.UnixMilli(0x018bcfe56800)
	m := rrclaim.New("entry1", 1)
	m.Acquire(now, rrclaim.Request{
		ID:       "018bcfe5-6800-7000-8000-000000000001",
		Deadline: now.Add(time.Second),
	})

	var out rrclaim.Effects
	m.Step(now, &out)
	call := out.Calls[0]
	fmt.Println(call.Writes[0].Key, call.Writes[0].ExpectedRevision)

	// The store has written the claim.
	m.HandleReply(now, rrclaim.Reply{CallID: call.ID, Outcome: rrclaim.Committed, Revision: 12})
	m.Step(now, &out)
	fmt.Println(out.Decisions[0].Kind == rrclaim.Granted)
	// Output:
	// rattanring/claims/00472222/018bcfe5-6800-7000-8000-000000000001 0
	// true
}
