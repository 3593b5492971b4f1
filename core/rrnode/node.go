// Package rrnode is the decision core of one entry: a deterministic state
// machine that takes an event with its time and returns the effects to carry out.
package rrnode

import (
	"time"

	"rattanring/core/rradmit"
	"rattanring/core/rrclaim"
	"rattanring/core/rrconf"
	"rattanring/core/rrcoord"
	"rattanring/core/rrkeep"
	"rattanring/core/rrlearn"
	"rattanring/core/rrsplit"
	"rattanring/core/rrtask"
	"rattanring/core/rrview"
)

// Setup is what an entry knows of itself when it starts.
type Setup struct {
	Self rrtask.Entry
	Life uint64 // incarnation; later ones are higher
	Seed uint64 // of random choices
}

// Node is the decision core of one entry. Create it with New; it is not safe for
// concurrent use.
type Node struct {
	self   rrtask.Entry
	life   uint64
	view   *rrview.View
	learn  *rrlearn.Table
	keep   *rrkeep.Keeper
	coord  *rrcoord.Coord
	served server
	door   rradmit.Door
	cfg    rrconf.Config
	store  bool

	register rrconf.Register
	changes  rrconf.Out
	book     *rrclaim.Book
	booked   rrclaim.Out
	missed   map[string]bool // jobs whose claim's holder did not run them any more
	closed   int             // answers of this step whose claims are closed

	leftAt time.Time       // when the graceful stop began; zero before
	told   map[string]bool // peers that have answered a heartbeat since then
	tellAt time.Time       // next heartbeat to those that have not

	byService map[string][]holding // keepers of each service
	keepers   []string             // keeper of each minion, in the view's order
	eff       Effects
	outcomes  []rrkeep.Outcome
	split     []rrsplit.Keeper
	counts    messages
}

// holding is the slots of one keeper for one service.
type holding struct {
	keeper string
	slots  int
}

// freeRetries is the number of tasks that an idle entry lets callers submit again.
const freeRetries = 200

// New returns the core of an entry that starts at now.
func New(now time.Time, s Setup) *Node {
	n := &Node{
		self:      s.Self,
		life:      s.Life,
		view:      rrview.New(now, s.Self, s.Life, s.Seed),
		learn:     &rrlearn.Table{},
		served:    newServer(),
		byService: make(map[string][]holding),
		missed:    make(map[string]bool),
	}
	n.door.Free = freeRetries
	n.book = rrclaim.New(s.Self.Name, s.Life)
	n.keep = rrkeep.New(n.learn)
	n.coord = rrcoord.New(s.Self.Name, s.Life, n.learn, n, n.keep, &n.door)
	n.enforce(now, rrconf.Default())
	return n
}

// Step handles one event. The returned effects are valid until the next Step.
func (n *Node) Step(now time.Time, ev Event) *Effects {
	n.eff.reset()
	n.coord.Out.Reset()
	n.closed = 0
	n.handle(now, ev)
	n.settle(now)
	return &n.eff
}

func (n *Node) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case *Tick:
		n.tick(now)
	case *Submit:
		n.coord.Submit(now, ev.Token, ev.Job)
	case *Gone:
		n.coord.Gone(now, ev.Token, ev.ID)
	case *Cancel:
		jobs, tasks := n.coord.Cancel(now, ev.Tenant, ev.IDs)
		n.eff.CancelReplies = append(n.eff.CancelReplies, CancelReply{Call: ev.Call, Jobs: jobs, Tasks: tasks})
	case *Minions:
		n.view.SetMinions(ev.List)
		n.view.Listed(now)
	case *Entries:
		n.view.SetEntries(now, ev.List)
	case *Finished:
		n.keep.Finish(now, ev.Finish)
	case *Probed:
		n.keep.Probed(now, ev.Minion, ev.OK)
	case *RunOut:
		n.runOut(now, ev)
	case *TakeOut:
		n.view.Load(ev.From, ev.Life, ev.Load, false)
		n.coord.Taken(now, ev.Seq, ev.Returned)
	case *JoinIn:
		n.joinIn(now, ev)
	case *Claimed:
		n.book.Reply(now, ev.Reply)
	case *Joined:
		n.joined(now, ev)
	default:
		n.handlePeer(now, ev)
	}
}

func (n *Node) handlePeer(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case *RunIn:
		n.runIn(now, ev)
	case *TakeIn:
		n.takeIn(now, ev)
	case *DropIn:
		n.dropIn(now, ev)
	case *BeatIn:
		n.beatIn(now, ev)
	case *BeatOut:
		n.beatOut(now, ev)
	case *Config:
		n.register.Learn(ev.Config)
	case *Held:
		n.register.Seen(ev.Config, ev.Mod)
	case *Propose:
		n.register.Propose(now, ev.Change)
	case *Wrote:
		n.register.Reply(now, ev.Reply)
	case *Store:
		n.store = ev.OK
		n.view.Self().Store = ev.OK
	case *Leave:
		n.leave(now)
	}
}

// settle carries on what an event has made possible: new keeperships, results
// and free slots.
func (n *Node) settle(now time.Time) {
	n.configure(now)
	n.claims(now)
	fresh := n.view.Fresh(now)
	if n.view.Changed() {
		n.rekeep(now)
	}
	n.harvest(now)
	if fresh {
		n.eff.Starts = n.keep.Next(now, n.eff.Starts)
		n.door.Started(len(n.eff.Starts))
		n.harvest(now)
	}
	n.closeClaims(now)
	out := &n.coord.Out
	n.eff.Runs = out.Runs
	n.eff.Takes = out.Takes
	n.eff.Drops = out.Drops
	n.eff.Finals = out.Finals
	n.counts.add(&n.eff)
}

// harvest hands results to the coordinator or to the peers that wait for them.
func (n *Node) harvest(now time.Time) {
	for {
		n.outcomes = n.keep.Outcomes(n.outcomes[:0])
		if len(n.outcomes) == 0 {
			return
		}
		for _, o := range n.outcomes {
			if o.Key.Entry == n.self.Name {
				n.coord.Outcome(now, o)
			} else {
				n.served.result(o)
			}
		}
		n.replyServed(now)
	}
}

// tick handles the passing of time.
func (n *Node) tick(now time.Time) {
	for _, p := range n.view.Tick(now) {
		n.beat(now, p)
	}
	n.coord.Tick(now)
	n.tellLeaving(now)
	n.served.forget(now)
	n.eff.Probes = n.keep.Probes(now, n.eff.Probes)
	n.eff.Orders = n.keep.Orders(now, n.eff.Orders)
}

// rekeep works out the keepers of all minions.
func (n *Node) rekeep(now time.Time) {
	n.keepers = n.view.Keepers(now)
	var mine []rrtask.Minion
	slots := 0
	clear(n.byService)
	for i, m := range n.view.Minions() {
		if n.keepers[i] == n.self.Name {
			mine = append(mine, m)
		}
		if m.Leaving || n.keepers[i] == "" {
			continue
		}
		slots += m.Slots
		n.hold(m.Service, n.keepers[i], m.Slots)
	}
	n.keep.SetMinions(now, mine)
	n.keep.SetConfig(n.cfg, slots)
	n.door.SetConfig(n.cfg, n.Known(now))
	n.book.SetBudget(float64(claimWrites) / float64(n.Entries(now)))
}

func (n *Node) hold(service, keeper string, slots int) {
	held := n.byService[service]
	for i := range held {
		if held[i].keeper == keeper {
			held[i].slots += slots
			return
		}
	}
	n.byService[service] = append(held, holding{keeper: keeper, slots: slots})
}

// Ready reports whether the entry takes new jobs.
func (n *Node) Ready() bool {
	return !n.view.Self().Leaving && len(n.byService) > 0
}
