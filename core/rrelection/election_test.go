package rrelection

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func member(name, zone string) Member {
	return Member{Name: name, Addr: "addr-" + name, Zone: zone, CPUCores: 0.4, Incarnation: 1}
}

// council returns the view of self among members of zones a and b.
func council(self string, members ...Member) *Election {
	var own Member
	for _, m := range members {
		if m.Name == self {
			own = m
		}
	}
	c := New(start, own, []string{"a", "b"})
	for _, m := range members {
		c.AddMember(start, m)
	}
	return c
}

func holder(m Member, revision, step int64) Owner {
	return Owner{Name: m.Name, Addr: m.Addr, Incarnation: m.Incarnation, Revision: revision, Epoch: step}
}

func TestClaims(t *testing.T) {
	a1, a2, b1 := member("a1", "a"), member("a2", "a"), member("b1", "b")
	reborn := a1
	reborn.Incarnation = 2
	for _, tc := range []struct {
		name string
		self Member
		set  func(c *Election)
		at   time.Duration
		want string
	}{
		{"vacant seats wait until the others are known", a1, func(*Election) {}, settle / 2, "[]"},
		{"a live holder keeps its seat", a2, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
			c.HeartbeatAnswered(start.Add(settle), a1.Addr, a1.Incarnation)
		}, settle + silence/2, "[]"},
		{"a dead holder is followed at once", a2, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
			c.MarkDead(start.Add(settle), a1.Addr)
		}, settle, "[{a 5}]"},
		{"also by a process that has just started", a2, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
			c.MarkDead(start, a1.Addr)
		}, 0, "[{a 5}]"},
		{"another life means that the holder is dead", a2, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
			c.HeartbeatAnswered(start.Add(settle), a1.Addr, 2)
		}, settle, "[{a 5}]"},
		{"a seat of an earlier life is claimed at once", reborn, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
		}, 0, "[{a 5}]"},
		{"a manned zone is not claimed from outside", b1, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
			c.SetOwner(start, "b", holder(b1, 6, 0))
		}, time.Minute, "[]"},
		{"an unmanned zone is claimed from outside after a while", b1, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
			c.SetOwner(start, "b", holder(b1, 6, 0))
			c.RemoveMember(start, "a1")
			c.RemoveMember(start, "a2")
			c.HeartbeatSent(start.Add(unmannedTerm-time.Millisecond), a1.Addr)
		}, unmannedTerm + silence, "[{a 5}]"},
		{"a holder that does not answer is followed", a2, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
			c.HeartbeatSent(start.Add(settle), a1.Addr)
		}, settle + silence + time.Millisecond, "[{a 5}]"},
		{"silence counts from the first call without an answer", a2, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
			c.HeartbeatSent(start.Add(settle), a1.Addr)
			c.HeartbeatAnswered(start.Add(settle+HeartbeatInterval), a1.Addr, a1.Incarnation)
			c.HeartbeatSent(start.Add(settle+HeartbeatInterval), a1.Addr)
			c.HeartbeatSent(start.Add(settle+silence), a1.Addr)
		}, settle + silence + time.Millisecond, "[]"},
		{"a holder that nobody calls is not silent", a2, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
		}, time.Minute, "[]"},
		{"a process that leaves claims nothing", a2, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
			c.MarkDead(start, a1.Addr)
			c.StopClaiming()
		}, time.Minute, "[]"},
		{"a holder that was shut out claims anew", a1, func(c *Election) {
			c.SetOwner(start, "a", holder(a1, 5, 0))
			c.MarkFenced(start, "a")
		}, settle, "[{a 5}]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := council(tc.self.Name, a1, a2, b1)
			c.self = tc.self
			tc.set(c)
			got := fmt.Sprint(only(c.DueClaims(start.Add(tc.at)), "a"))
			if got != tc.want {
				t.Errorf("claims: got %s, want %s", got, tc.want)
			}
		})
	}
}

// TestWatched has whom a process calls often: whom it may have to follow.
func TestWatched(t *testing.T) {
	a1, a2, a3, b1 := member("a1", "a"), member("a2", "a"), member("a3", "a"), member("b1", "b")
	for _, tc := range []struct {
		name string
		self Member
		set  func(c *Election)
		want string
	}{
		{"the first seat of its zone", a3, func(*Election) {}, "[a1]"},
		{"the others of its zone, if it holds that", a1, func(*Election) {}, "[a1 a2]"},
		{"not the seats of another zone", b1, func(*Election) {}, "[b1]"},
		{"those of a zone without members", b1, func(c *Election) {
			for _, m := range []Member{a1, a2, a3} {
				c.RemoveMember(start, m.Name)
			}
		}, "[a1 a2 b1]"},
		{"and dead holders", b1, func(c *Election) { c.MarkDead(start, a2.Addr) }, "[a2 b1]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := council(tc.self.Name, a1, a2, a3, b1)
			c.SetLayout(start, "a", ShardLayout{Shards: 2, PreviousShards: 1, Revision: 4})
			c.SetOwner(start, "a", holder(a1, 5, 0))
			c.SetOwner(start, "a/1", holder(a2, 6, 0))
			c.SetOwner(start, "b", holder(b1, 7, 0))
			tc.set(c)
			names := []string{}
			for _, h := range c.MonitoredOwners() {
				names = append(names, h.Name)
			}
			if got := fmt.Sprint(names); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

// The holder of a zone's first seat takes a seat of the zone whose holder falls silent, and
// gives it later to a member that holds none.
func TestLeaderFollowsAndSpreads(t *testing.T) {
	a1, a2, a3 := member("a1", "a"), member("a2", "a"), member("a3", "a")
	c := council("a1", a1, a2, a3)
	c.SetLayout(start, "a", ShardLayout{Shards: 2, PreviousShards: 1, Revision: 4})
	c.SetOwner(start, "a", holder(a1, 5, 0))
	c.SetOwner(start, "a/1", holder(a2, 6, 0))
	now := start.Add(settle)
	c.HeartbeatSent(now, a2.Addr)
	now = now.Add(silence + time.Millisecond)
	if got, want := fmt.Sprint(c.DueClaims(now)), "[{a/1 6}]"; got != want {
		t.Fatalf("claims: got %s, want %s", got, want)
	}
	c.SetOwner(now, "a/1", holder(a1, 8, 0))
	if len(c.PreferredOwners(now, "a/1")) > 0 {
		t.Error("the seat is given away at once")
	}
	now = now.Add(keepAtLeast + time.Millisecond)
	if len(c.PreferredOwners(now, "a")) > 0 {
		t.Error("the first seat is given away")
	}
	if len(c.PreferredOwners(now, "a/1")) == 0 {
		t.Error("the seat is not given to a member that holds none")
	}
}

// TestLargest has for whom a process that stops may wait.
func TestLargest(t *testing.T) {
	small, large, other, far := member("a1", "a"), member("a2", "a"), member("a3", "a"), member("b1", "b")
	large.CPUCores, other.CPUCores, far.CPUCores = 0.8, 0.7, 0.8
	for _, tc := range []struct {
		name    string
		self    Member
		members []Member
		want    bool
	}{
		{"only smaller ones", large, []Member{small, large}, true},
		{"one of about its size", large, []Member{small, large, other}, false},
		{"one of its size in another zone", large, []Member{small, large, far}, true},
		{"a small one", small, []Member{small, large}, false},
		{"nobody", large, []Member{large}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := council(tc.self.Name, tc.members...).OutsizesSuccessors("a"); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// only returns the claims of one seat.
func only(claims []Claim, seat string) []Claim {
	out := []Claim{}
	for _, c := range claims {
		if c.Shard == seat {
			out = append(out, c)
		}
	}
	return out
}

func TestBetter(t *testing.T) {
	small, large, b1 := member("a1", "a"), member("a2", "a"), member("b1", "b")
	large.CPUCores = 0.8
	for _, tc := range []struct {
		name string
		self Member
		at   time.Duration
		want bool
	}{
		{"a much larger member takes over", small, time.Minute, true},
		{"but not at once", small, keepAtLeast / 2, false},
		{"a smaller one does not", large, time.Minute, false},
		{"a member of the zone takes over from outside", b1, time.Minute, true},
	} {
		c := council(tc.self.Name, small, large, b1)
		c.SetOwner(start, "a", holder(tc.self, 5, 0))
		if got := len(c.PreferredOwners(start.Add(tc.at), "a")) > 0; got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestTokensRise(t *testing.T) {
	a1, a2 := member("a1", "a"), member("a2", "a")
	c := council("a1", a1, a2)
	c.SetOwner(start, "a", holder(a1, 5, 0))
	step := c.NextEpoch("a", a2)
	if got, low, high := step.FencingToken(), holder(a1, 5, 0).FencingToken(), holder(a1, 6, 0).FencingToken(); got <= low || got >= high {
		t.Errorf("token of a step: got %d, want between %d and %d", got, low, high)
	}
	if !c.SetOwner(start, "a", step) {
		t.Error("a step is no news")
	}
	if c.SetOwner(start, "a", holder(a1, 5, 0)) {
		t.Error("an older holder replaces a step")
	}
	if c.SetOwner(start, "a", holder(a2, 6, 0)) {
		t.Error("the same holder in the store is news")
	}
	if got, _ := c.Owner("a"); got.Revision != 6 || got.Epoch != 0 {
		t.Errorf("holder: got %+v, want revision 6 without steps", got)
	}
}

func TestStepOnlyAfterDeath(t *testing.T) {
	a1, a2, b1 := member("a1", "a"), member("a2", "a"), member("b1", "b")
	c := council("a2", a1, a2, b1)
	c.SetOwner(start, "a", holder(a1, 5, 0))
	if c.TryStartEpoch(start.Add(time.Minute), "a") {
		t.Error("a silent holder is replaced without the store")
	}
	c.MarkDead(start, a1.Addr)
	if !c.TryStartEpoch(start.Add(time.Minute), "a") {
		t.Error("a dead holder is not replaced")
	}
	if c.TryStartEpoch(start.Add(time.Minute+stepPause/2), "a") {
		t.Error("a seat is taken twice in a row without the store")
	}
	outside := council("b1", a1, a2, b1)
	outside.SetOwner(start, "a", holder(a1, 5, 0))
	outside.MarkDead(start, a1.Addr)
	if outside.TryStartEpoch(start.Add(time.Minute), "a") {
		t.Error("a seat of another zone is taken without the store")
	}
}

// TestOneHolder plays councils against one register: the holder with the highest token
// is unique, and after the last trouble all agree on one live holder.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(rt, "members")
		w := newRegister(rt, n)
		for range 60 {
			i := rapid.IntRange(0, n-1).Draw(rt, "member")
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				w.kill(i)
			case 1:
				w.start(i)
			case 2:
				w.away = !w.away
			}
			w.run(rapid.IntRange(1, 40).Draw(rt, "rounds"))
		}
		w.away = false
		for i := range n {
			w.start(i)
		}
		w.run(200)
		w.check()
	})
}

// register is the store's seat and the processes around it.
type register struct {
	t        *rapid.T
	now      time.Time
	item     Owner
	away     bool
	councils []*Election
	alive    []bool
	lives    []int64
	tokens   map[int64]string // token to holder
}

func newRegister(t *rapid.T, n int) *register {
	w := &register{
		t: t, now: start, councils: make([]*Election, n), alive: make([]bool, n), lives: make([]int64, n),
		tokens: make(map[int64]string),
	}
	for i := range n {
		w.start(i)
	}
	return w
}

func (w *register) self(i int) Member {
	m := member(fmt.Sprintf("a%d", i), "a")
	m.Incarnation = w.lives[i]
	return m
}

func (w *register) kill(i int) { w.alive[i] = false }

func (w *register) start(i int) {
	if w.alive[i] {
		return
	}
	w.alive[i] = true
	w.lives[i]++
	w.councils[i] = New(w.now, w.self(i), []string{"a"})
}

// run lets rounds of 20 ms pass.
func (w *register) run(rounds int) {
	for range rounds {
		w.now = w.now.Add(20 * time.Millisecond)
		for i, c := range w.councils {
			if w.alive[i] {
				w.round(c)
			}
		}
	}
}

func (w *register) round(c *Election) {
	for j := range w.councils {
		if w.alive[j] {
			c.AddMember(w.now, w.self(j))
		}
	}
	w.hear(c)
	for _, claim := range append(c.DueClaims(w.now), c.UnpersistedClaims(w.now)...) {
		switch {
		case w.away && c.TryStartEpoch(w.now, "a"):
			w.note(c.NextEpoch("a", c.self))
			c.SetOwner(w.now, "a", c.NextEpoch("a", c.self))
		case w.away:
		case w.item.Revision == claim.ExpectedRevision:
			w.item = Owner{Name: c.self.Name, Addr: c.self.Addr, Incarnation: c.self.Incarnation, Revision: w.item.Revision + 1}
			w.note(w.item)
			c.SetOwner(w.now, "a", w.item)
		default:
			c.SetOwner(w.now, "a", w.item)
		}
	}
}

// hear brings c the store's word, the pulse of the holder and the gossip of the others.
func (w *register) hear(c *Election) {
	if !w.away && w.item.Revision > 0 {
		c.SetOwner(w.now, "a", w.item)
	}
	h, _ := c.Owner("a")
	for j, other := range w.councils {
		m := w.self(j)
		if w.alive[j] {
			if known, _ := other.Owner("a"); known.Revision > 0 {
				c.SetOwner(w.now, "a", known)
			}
		}
		switch {
		case m.Addr != h.Addr:
		case w.alive[j]:
			c.HeartbeatAnswered(w.now, m.Addr, m.Incarnation)
		default:
			c.MarkDead(w.now, m.Addr)
		}
	}
}

// note checks that a token has one holder.
func (w *register) note(h Owner) {
	who := fmt.Sprint(h.Name, h.Incarnation)
	if old, ok := w.tokens[h.FencingToken()]; ok && old != who {
		w.t.Errorf("token %d of %s and of %s", h.FencingToken(), old, who)
	}
	w.tokens[h.FencingToken()] = who
}

func (w *register) check() {
	want, _ := w.councils[0].Owner("a")
	for _, c := range w.councils {
		got, alive := c.Owner("a")
		if got.FencingToken() != want.FencingToken() || !alive {
			w.t.Errorf("%s: holder %+v, alive %v, want %+v", c.self.Name, got, alive, want)
		}
	}
	for j := range w.councils {
		if w.self(j).Name == want.Name && w.lives[j] == want.Incarnation {
			return
		}
	}
	w.t.Errorf("the holder %+v is not alive", want)
}
