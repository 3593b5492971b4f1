package rrpeer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"rattanring/io/rrwire"
)

// FuzzTable decodes arbitrary bytes as a heartbeat from a peer.
func FuzzTable(f *testing.F) {
	b, err := proto.Marshal(&rrwire.Table{Members: []*rrwire.Member{
		{Name: "e1", Life: 1, Beat: 2, Zone: "a", Load: &rrwire.Load{Slots: 8, Backlog: make([]uint64, 20)}, Verdicts: []*rrwire.Verdict{{Minion: "m", State: 9, Stamp: 1 << 63}}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, in []byte) {
		var table rrwire.Table
		if proto.Unmarshal(in, &table) != nil {
			return
		}
		if got := len(toMembers(table.GetMembers())); got > maxMembers || got > len(table.GetMembers()) {
			t.Errorf("got %d members of %d", got, len(table.GetMembers()))
		}
	})
}
