package rrelection

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestSeatNames(t *testing.T) {
	for _, tc := range []struct {
		seat, zone string
		part       int
	}{
		{"a", "a", 0},
		{"a/1", "a", 1},
		{"eu/a/12", "eu/a", 12},
		{"eu/a", "eu/a", 0},
		{"a/0", "a/0", 0},
		{"a/-1", "a/-1", 0},
	} {
		if zone, part := ParseShardName(tc.seat); zone != tc.zone || part != tc.part {
			t.Errorf("Split(%q): got %q and %d, want %q and %d", tc.seat, zone, part, tc.zone, tc.part)
		}
		if got := ShardName(tc.zone, tc.part); got != tc.seat {
			t.Errorf("SeatOf(%q, %d): got %q, want %q", tc.zone, tc.part, got, tc.seat)
		}
	}
}

// One seat more or less moves only the minions of that seat, and only seats that gain
// are said to.
func TestLayoutMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		was := rapid.IntRange(1, 8).Draw(t, "was")
		parts := max(was+rapid.SampledFrom([]int{-1, 1}).Draw(t, "change"), 1)
		before, after := ShardLayout{Shards: was}, ShardLayout{Shards: parts, PreviousShards: was}
		for i := range 200 {
			id := fmt.Sprint("m", i)
			from, to := before.ShardIndex(id), after.ShardIndex(id)
			if from == to {
				continue
			}
			if moved := max(was, parts) - 1; from != moved && to != moved {
				t.Fatalf("%s: moved from %d to %d at a change from %d to %d", id, from, to, was, parts)
			}
			if !after.GainsMinions(to) {
				t.Fatalf("%s: seat %d got it and does not gain", id, to)
			}
		}
	})
}

// A divided zone has its seats claimed by different members; the seat that gains when
// the count falls is written anew, and the one that is left over is claimed no more.
func TestDividedZoneIsClaimed(t *testing.T) {
	ms := []Member{member("a0", "a"), member("a1", "a"), member("b0", "b")}
	c := council("a1", ms...)
	c.SetOwner(start, "a", holder(ms[0], 5, 0))
	c.SetOwner(start, "b", holder(ms[2], 6, 0))
	now := start.Add(settle)
	c.SetLayout(now, "a", ShardLayout{Shards: 2, PreviousShards: 1, Revision: 7})
	if c.SetLayout(now, "a", ShardLayout{Shards: 3, PreviousShards: 2, Revision: 7}) {
		t.Error("a layout that is not newer was taken")
	}
	now = now.Add(settle + time.Millisecond)
	c.HeartbeatAnswered(now, ms[0].Addr, ms[0].Incarnation)
	c.HeartbeatAnswered(now, ms[2].Addr, ms[2].Incarnation)
	if got, want := claimed(c, now), []string{"a/1"}; !slices.Equal(got, want) {
		t.Fatalf("claims of a divided zone: got %v, want %v", got, want)
	}
	c.SetOwner(now, "a/1", holder(ms[1], 8, 0))
	c.SetLayout(now, "a", ShardLayout{Shards: 1, PreviousShards: 2, Revision: 9})
	now = now.Add(claimPause + time.Millisecond)
	c.HeartbeatAnswered(now, ms[0].Addr, ms[0].Incarnation)
	c.MarkDead(now, ms[1].Addr)
	if got := claimed(c, now); len(got) != 0 {
		t.Errorf("claims of the seat that is left over: got %v, want none", got)
	}
	first := council("a0", ms...)
	first.SetOwner(start, "a", holder(ms[0], 5, 0))
	first.SetLayout(start, "a", ShardLayout{Shards: 1, PreviousShards: 2, Revision: 9})
	first.HeartbeatAnswered(now, ms[2].Addr, ms[2].Incarnation)
	if got := claimed(first, now); !slices.Contains(got, "a") {
		t.Errorf("claims of the holder that gains: got %v, want a among them", got)
	}
}

func claimed(c *Election, now time.Time) []string {
	var out []string
	for _, claim := range c.DueClaims(now) {
		out = append(out, claim.Shard)
	}
	return out
}

func TestCounter(t *testing.T) {
	for _, tc := range []struct {
		name string
		used []float64
		most int
		term time.Duration
		want int
	}{
		{"a busy keeper gets help", []float64{0.7}, 4, busyTerm, 2},
		{"not for a moment", []float64{0.7}, 4, busyTerm - time.Second, 1},
		{"not beyond the members", []float64{0.7, 0.9}, 2, time.Hour, 2},
		{"the busiest decides", []float64{0.1, 0.7}, 4, busyTerm, 3},
		{"neither busy nor idle", []float64{0.4, 0.4}, 4, time.Hour, 2},
		{"idle keepers are put together", []float64{0.1, 0.1}, 4, idleTerm, 1},
		{"not for a moment either", []float64{0.1, 0.1}, 4, idleTerm - time.Second, 2},
		{"members are gone", []float64{0.4, 0.4, 0.4}, 2, idleTerm, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var n ShardScaler
			got := len(tc.used)
			for d := time.Duration(0); d <= tc.term && got == len(tc.used); d += time.Second {
				got = n.DesiredShards(start.Add(d), tc.used, tc.most)
			}
			if got != tc.want {
				t.Errorf("got %d seats, want %d", got, tc.want)
			}
		})
	}
}

// A steady load comes to rest: the count that relieves a keeper is not taken back.
func TestCounterComesToRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := rapid.Float64Range(0, 4).Draw(t, "load") // of one keeper's processor time
		var n ShardScaler
		parts, changes := 1, 0
		for s := range 1000 {
			used := make([]float64, parts)
			for i := range used {
				used[i] = load / float64(parts)
			}
			next := n.DesiredShards(start.Add(time.Duration(s)*time.Second), used, 16)
			if next != parts {
				changes++
			}
			if next < parts {
				t.Fatalf("load %.2f: %d seats became %d", load, parts, next)
			}
			parts = next
		}
		if load/float64(parts) > busyMost {
			t.Fatalf("load %.2f: %d seats do not carry it", load, parts)
		}
	})
}
