package rrmembership

import (
	"fmt"
	"testing"
	"time"

	"rattanring/core/rrtask"
)

var epoch = time.Unix(1_700_000_000, 0)

// fleet returns the views of n entries that are spread over the zones and have received
// each other's heartbeats.
func fleet(n int, zones ...string) []*View {
	views := make([]*View, n)
	for i := range views {
		e := rrtask.Entry{Name: fmt.Sprintf("e%02d", i), Addr: fmt.Sprint(i), Zone: zones[i%len(zones)]}
		views[i] = New(epoch, e, 1, uint64(i))
	}
	for _, v := range views {
		for _, o := range views {
			v.Merge(epoch, []Member{*o.Self()})
		}
	}
	return views
}

func minions(n int, zones ...string) []rrtask.Minion {
	ms := make([]rrtask.Minion, n)
	for i := range ms {
		ms[i] = rrtask.Minion{Name: fmt.Sprintf("m%03d", i), Zone: zones[i%len(zones)], Service: "s", Slots: 8}
	}
	return ms
}

func TestAnswerDuringPauseIsIgnored(t *testing.T) {
	v := fleet(2, "a")[0]
	v.Tick(epoch)
	now := epoch.Add(RefreshDelay)
	v.Tick(now)
	if !v.Fresh(now) {
		t.Fatal("got a stale view after the start, want a fresh one")
	}
	now = now.Add(2 * MaxPause)
	v.HeartbeatAnswered(now) // arrived during the pause
	if v.Fresh(now) {
		t.Error("got a fresh view from an answer during a pause, want a stale one")
	}
	if got := len(v.Tick(now)); got != 1 || v.Fresh(now) {
		t.Errorf("got %d heartbeats and fresh %v after the pause, want 1 and false", got, v.Fresh(now))
	}
}

func TestOwnersAgreeAndAreEven(t *testing.T) {
	views := fleet(8, "a", "b", "c")
	ms := minions(50, "a", "b", "c")
	for _, v := range views {
		v.SetMinions(ms)
	}
	want := views[0].Owners(epoch)
	count := make(map[string]int)
	for i, name := range want {
		count[name]++
		if got := views[0].zoneOf(name); got != ms[i].Zone {
			t.Errorf("minion %s of zone %s is owned from zone %s", ms[i].Name, ms[i].Zone, got)
		}
	}
	for name, n := range count {
		if n < 5 || n > 8 {
			t.Errorf("%s owns %d minions, want 5 to 8", name, n)
		}
	}
	for _, v := range views[1:] {
		if got := v.Owners(epoch); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: got owners %v, want %v", v.self.Name, got, want)
		}
	}
}

func (v *View) zoneOf(name string) string {
	if name == v.self.Name {
		return v.self.Zone
	}
	return v.peers[name].Zone
}

func TestZoneWithoutEntriesIsTakenOver(t *testing.T) {
	views := fleet(4, "a", "b")
	v := views[0]
	v.SetMinions(minions(10, "a", "b"))
	afterTimeout := epoch.Add(DeadTimeout + time.Second)
	v.Merge(afterTimeout, []Member{{Entry: views[2].self.Entry, Incarnation: 1, HeartbeatSeq: 9}})
	for i, name := range v.Owners(afterTimeout) {
		if name != "e00" && name != "e02" {
			t.Errorf("minion %d is owned by %q, want a live entry", i, name)
		}
	}
}

func TestPauseEndsFreshness(t *testing.T) {
	v := fleet(2, "a")[0]
	v.Tick(epoch)
	v.HeartbeatAnswered(epoch)
	if !v.Fresh(epoch.Add(time.Second)) {
		t.Fatal("got a stale view after a second, want a fresh one")
	}
	resumed := epoch.Add(MaxPause + time.Second)
	if v.Fresh(resumed) {
		t.Error("got a fresh view before the first tick after a pause, want a stale one")
	}
	if got := v.Tick(resumed); len(got) != 1 {
		t.Errorf("got %d heartbeats after a pause, want 1 to each peer", len(got))
	}
	if v.Fresh(resumed) {
		t.Error("got a fresh view right after a pause, want a stale one")
	}
	v.HeartbeatAnswered(resumed)
	v.InstanceListRead(resumed) // read before the pause
	if v.Fresh(resumed) {
		t.Error("got a fresh view without a new list, want a stale one")
	}
	resumed = resumed.Add(2 * listReadDelay)
	v.InstanceListRead(resumed)
	if !v.Fresh(resumed) {
		t.Error("got a stale view after a peer's answer and a new list, want a fresh one")
	}
}

func TestMemberStates(t *testing.T) {
	tests := []struct {
		name           string
		sinceHeartbeat time.Duration
		suspect        bool
		want           MemberState
	}{
		{"recent heartbeat", time.Second, false, Alive},
		{"connection refused", time.Second, true, Suspect},
		{"connection refused, no heartbeat for SuspectTimeout", SuspectTimeout + time.Second, true, Dead},
		{"no heartbeat for SuspectTimeout", SuspectTimeout + time.Second, false, Alive},
		{"no heartbeat for DeadTimeout", DeadTimeout + time.Second, false, Dead},
	}
	for _, tc := range tests {
		v := fleet(2, "a")[0]
		if tc.suspect {
			v.ConnectionRefused(epoch, "e01")
		}
		if got := v.State(epoch.Add(tc.sinceHeartbeat), v.Peer("e01")); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestOlderIncarnationIsIgnored(t *testing.T) {
	v := fleet(2, "a")[0]
	v.Merge(epoch, []Member{{Entry: rrtask.Entry{Name: "e01"}, Incarnation: 2, HeartbeatSeq: 1}})
	v.Merge(epoch, []Member{{Entry: rrtask.Entry{Name: "e01"}, Incarnation: 1, HeartbeatSeq: 50, Draining: true}})
	if p := v.Peer("e01"); p.Incarnation != 2 || p.Draining {
		t.Errorf("got incarnation %d draining %v, want 2 false", p.Incarnation, p.Draining)
	}
}

func BenchmarkOwners(b *testing.B) {
	for _, size := range []struct{ entries, minions int }{{8, 50}, {27, 245}, {108, 980}} {
		b.Run(fmt.Sprintf("entries=%d/minions=%d", size.entries, size.minions), func(b *testing.B) {
			v := fleet(size.entries, "a", "b", "c", "d", "e", "f", "g", "h", "i")[0]
			v.SetMinions(minions(size.minions, "a", "b", "c", "d", "e", "f", "g", "h", "i"))
			for b.Loop() {
				v.Owners(epoch)
			}
		})
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{8, 27, 54, 108} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			views := fleet(n, "a", "b", "c", "d", "e", "f", "g", "h", "i")
			for i := 0; b.Loop(); i++ {
				now := epoch.Add(time.Duration(i) * time.Millisecond)
				views[0].self.HeartbeatSeq++
				views[1].Merge(now, views[0].Digest(now))
			}
		})
	}
}
