package rrpeer

import (
	"rattanring/core/rrkeep"
	"rattanring/core/rrtask"
	"rattanring/core/rrview"
	"rattanring/io/rrwire"
)

// Limits of a heartbeat from a peer.
const (
	maxMembers  = 1000
	maxVerdicts = 10_000 // of one member
)

func fromMembers(members []rrview.Member) []*rrwire.Member {
	out := make([]*rrwire.Member, len(members))
	for i := range members {
		out[i] = fromMember(&members[i])
	}
	return out
}

func fromMember(m *rrview.Member) *rrwire.Member {
	out := &rrwire.Member{
		Name:    m.Name,
		Life:    m.Life,
		Beat:    m.Beat,
		Zone:    m.Zone,
		Region:  m.Region,
		Addr:    m.Addr,
		Leaving: m.Leaving,
		Version: m.Version,
		Load:    rrwire.FromLoad(m.Load),
		Store:   m.Store,
	}
	for _, v := range m.Verdicts {
		out.Verdicts = append(out.Verdicts, rrwire.FromVerdict(v))
	}
	return out
}

func toMembers(in []*rrwire.Member) []rrview.Member {
	in = in[:min(len(in), maxMembers)]
	out := make([]rrview.Member, 0, len(in))
	for _, m := range in {
		out = append(out, toMember(m))
	}
	return out
}

func toMember(m *rrwire.Member) rrview.Member {
	out := rrview.Member{
		Entry:   rrtask.Entry{Name: m.GetName(), Addr: m.GetAddr(), Zone: m.GetZone(), Region: m.GetRegion()},
		Life:    m.GetLife(),
		Beat:    m.GetBeat(),
		Leaving: m.GetLeaving(),
		Version: m.GetVersion(),
		Load:    rrwire.ToLoad(m.GetLoad()),
		Store:   m.GetStore(),
	}
	verdicts := m.GetVerdicts()
	for _, v := range verdicts[:min(len(verdicts), maxVerdicts)] {
		out.Verdicts = append(out.Verdicts, rrwire.ToVerdict(v))
	}
	return out
}

func fromIndexes(in []int) []uint32 {
	out := make([]uint32, len(in))
	for i, n := range in {
		out[i] = uint32(n)
	}
	return out
}

func toIndexes(in []uint32) []int {
	out := make([]int, len(in))
	for i, n := range in {
		out[i] = int(n)
	}
	return out
}

func fromKey(key rrkeep.Key, life uint64, most int) *rrwire.Recall {
	return &rrwire.Recall{
		From: &rrwire.Origin{Entry: key.Entry, Life: key.Life},
		Seq:  key.Seq,
		Life: life,
		Most: uint32(most),
	}
}

func toKey(m *rrwire.Recall) rrkeep.Key {
	return rrkeep.Key{Entry: m.GetFrom().GetEntry(), Life: m.GetFrom().GetLife(), Seq: m.GetSeq()}
}
