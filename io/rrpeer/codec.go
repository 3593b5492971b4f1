package rrpeer

import (
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrmembership"
	"rattanring/core/rrtask"
	"rattanring/io/rrwire"
)

// Limits on a heartbeat from a peer; the rest is ignored.
const (
	maxMembers          = 1000
	maxUnhealthyMinions = 10_000 // reported by one member
)

func fromMembers(members []rrmembership.Member) []*rrwire.Member {
	out := make([]*rrwire.Member, len(members))
	for i := range members {
		out[i] = fromMember(&members[i])
	}
	return out
}

func fromMember(m *rrmembership.Member) *rrwire.Member {
	out := &rrwire.Member{
		Name:    m.Name,
		Life:    m.Incarnation,
		Beat:    m.HeartbeatSeq,
		Zone:    m.Zone,
		Region:  m.Region,
		Addr:    m.Addr,
		Leaving: m.Draining,
		Version: m.ConfigVersion,
		Load:    rrwire.FromLoad(m.Load),
		Store:   m.StoreReachable,
	}
	for _, v := range m.UnhealthyMinions {
		out.Verdicts = append(out.Verdicts, rrwire.FromHealthReport(v))
	}
	return out
}

func toMembers(in []*rrwire.Member) []rrmembership.Member {
	in = in[:min(len(in), maxMembers)]
	out := make([]rrmembership.Member, 0, len(in))
	for _, m := range in {
		out = append(out, toMember(m))
	}
	return out
}

func toMember(m *rrwire.Member) rrmembership.Member {
	out := rrmembership.Member{
		Entry:          rrtask.Entry{Name: m.GetName(), Addr: m.GetAddr(), Zone: m.GetZone(), Region: m.GetRegion()},
		Incarnation:    m.GetLife(),
		HeartbeatSeq:   m.GetBeat(),
		Draining:       m.GetLeaving(),
		ConfigVersion:  m.GetVersion(),
		Load:           rrwire.ToLoad(m.GetLoad()),
		StoreReachable: m.GetStore(),
	}
	reports := m.GetVerdicts()
	for _, v := range reports[:min(len(reports), maxUnhealthyMinions)] {
		out.UnhealthyMinions = append(out.UnhealthyMinions, rrwire.ToHealthReport(v))
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

// toRecallMessage returns the message that names a batch at the owner with this incarnation.
func toRecallMessage(key rrdispatcher.BatchKey, incarnation uint64, maxTasks int) *rrwire.Recall {
	return &rrwire.Recall{
		From: &rrwire.Origin{Entry: key.Coordinator, Life: key.Incarnation},
		Seq:  key.Seq,
		Life: incarnation,
		Most: uint32(maxTasks),
	}
}

func batchKeyOf(m *rrwire.Recall) rrdispatcher.BatchKey {
	return rrdispatcher.BatchKey{Coordinator: m.GetFrom().GetEntry(), Incarnation: m.GetFrom().GetLife(), Seq: m.GetSeq()}
}
