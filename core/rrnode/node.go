// Package rrnode is the decision core of one entry: a deterministic state
// machine that takes an event with its time and returns the effects to carry out.
package rrnode

import (
	"time"

	"rattanring/core/rradmission"
	"rattanring/core/rrclaim"
	"rattanring/core/rrconf"
	"rattanring/core/rrcoord"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrestimator"
	"rattanring/core/rrmembership"
	"rattanring/core/rrplacement"
	"rattanring/core/rrtask"
)

// Options is what an entry knows of itself when it starts.
type Options struct {
	Self        rrtask.Entry
	Incarnation uint64 // incarnation; later ones are higher
	Seed        uint64 // of random choices
}

// Node is the decision core of one entry. Create it with New; it is not safe for
// concurrent use.
type Node struct {
	self   rrtask.Entry
	life   uint64
	view   *rrmembership.View
	learn  *rrestimator.Estimator
	keep   *rrdispatcher.Dispatcher
	coord  *rrcoord.Coordinator
	served server
	door   rradmission.Controller
	cfg    rrconf.Config
	store  bool

	register rrconf.Manager
	changes  rrconf.Effects
	book     *rrclaim.Manager
	booked   rrclaim.Effects
	missed   map[string]bool // jobs whose claim's holder did not run them any more
	closed   int             // answers of this step whose claims are closed

	leftAt time.Time       // when the graceful stop began; zero before
	told   map[string]bool // peers that have answered a heartbeat since then
	tellAt time.Time       // next heartbeat to those that have not

	byService map[string][]holding // keepers of each service
	keepers   []string             // keeper of each minion, in the view's order
	eff       Effects
	outcomes  []rrdispatcher.Outcome
	split     []rrplacement.Candidate
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
func New(now time.Time, s Options) *Node {
	n := &Node{
		self:      s.Self,
		life:      s.Incarnation,
		view:      rrmembership.New(now, s.Self, s.Incarnation, s.Seed),
		learn:     &rrestimator.Estimator{},
		served:    newServer(),
		byService: make(map[string][]holding),
		missed:    make(map[string]bool),
	}
	n.door.FreeRetries = freeRetries
	n.book = rrclaim.New(s.Self.Name, s.Incarnation)
	n.keep = rrdispatcher.New(n.learn)
	n.coord = rrcoord.New(s.Self.Name, s.Incarnation, n.learn, n, n.keep, &n.door)
	n.enforce(now, rrconf.Default())
	return n
}

// Step handles one event. The returned effects are valid until the next Step.
func (n *Node) Step(now time.Time, ev Event) *Effects {
	n.eff.reset()
	n.coord.Effects.Reset()
	n.closed = 0
	n.handle(now, ev)
	n.settle(now)
	return &n.eff
}

func (n *Node) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case *Tick:
		n.tick(now)
	case *SubmitJob:
		n.coord.Submit(now, ev.Token, ev.Job)
	case *CallerDisconnected:
		n.coord.CallerDisconnected(now, ev.Token, ev.ID)
	case *CancelJobs:
		jobs, tasks := n.coord.Cancel(now, ev.Tenant, ev.IDs)
		n.eff.CancelJobsResponses = append(n.eff.CancelJobsResponses, CancelJobsResponse{Call: ev.Call, Jobs: jobs, Tasks: tasks})
	case *MinionsListed:
		n.view.SetMinions(ev.List)
		n.view.InstanceListRead(now)
	case *EntriesListed:
		n.view.SetEntries(now, ev.List)
	case *TaskSendDone:
		n.keep.HandleResult(now, ev.Finish)
	case *ProbeDone:
		n.keep.HandleProbeResult(now, ev.Minion, ev.OK)
	case *RunBatchDone:
		n.runOut(now, ev)
	case *RecallDone:
		n.view.UpdateLoad(ev.From, ev.Incarnation, ev.Load, false)
		n.coord.RecallDone(now, ev.Seq, ev.Returned)
	case *AttachRequest:
		n.joinIn(now, ev)
	case *ClaimCallDone:
		n.book.HandleReply(now, ev.Reply)
	case *AttachDone:
		n.joined(now, ev)
	default:
		n.handlePeer(now, ev)
	}
}

func (n *Node) handlePeer(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case *RunBatchRequest:
		n.runIn(now, ev)
	case *RecallRequest:
		n.takeIn(now, ev)
	case *CancelBatchesRequest:
		n.dropIn(now, ev)
	case *HeartbeatRequest:
		n.beatIn(now, ev)
	case *HeartbeatDone:
		n.beatOut(now, ev)
	case *PeerConfig:
		n.register.Merge(ev.Config)
	case *StoredConfig:
		n.register.MergeStored(ev.Config, ev.ModRevision)
	case *ProposeConfig:
		n.register.Propose(now, ev.Change)
	case *ConfigWriteDone:
		n.register.HandleReply(now, ev.Reply)
	case *StoreStatus:
		n.store = ev.Reachable
		n.view.Self().StoreReachable = ev.Reachable
	case *Drain:
		n.leave(now)
	}
}

// settle carries on what an event has made possible: new keeperships, results
// and free slots.
func (n *Node) settle(now time.Time) {
	n.configure(now)
	n.claims(now)
	fresh := n.view.Fresh(now)
	if n.view.TakeChanged() {
		n.rekeep(now)
	}
	n.harvest(now)
	if fresh {
		n.eff.TaskSends = n.keep.Dispatch(now, n.eff.TaskSends)
		n.door.RecordStarts(len(n.eff.TaskSends))
		n.harvest(now)
	}
	n.closeClaims(now)
	out := &n.coord.Effects
	n.eff.RunBatches = out.RunBatches
	n.eff.Recalls = out.Recalls
	n.eff.CancelBatches = out.Cancels
	n.eff.Answers = out.Answers
	n.counts.add(&n.eff)
}

// harvest hands results to the coordinator or to the peers that wait for them.
func (n *Node) harvest(now time.Time) {
	for {
		n.outcomes = n.keep.TakeOutcomes(n.outcomes[:0])
		if len(n.outcomes) == 0 {
			return
		}
		for _, o := range n.outcomes {
			if o.Key.Coordinator == n.self.Name {
				n.coord.TaskDone(now, o)
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
	n.eff.Probes = n.keep.DueProbes(now, n.eff.Probes)
	n.eff.TaskCommands = n.keep.TaskCommands(now, n.eff.TaskCommands)
}

// rekeep works out the keepers of all minions.
func (n *Node) rekeep(now time.Time) {
	n.keepers = n.view.Owners(now)
	var mine []rrtask.Minion
	slots := 0
	clear(n.byService)
	for i, m := range n.view.Minions() {
		if n.keepers[i] == n.self.Name {
			mine = append(mine, m)
		}
		if m.Draining || n.keepers[i] == "" {
			continue
		}
		slots += m.Slots
		n.hold(m.Service, n.keepers[i], m.Slots)
	}
	n.keep.SetMinions(now, mine)
	n.keep.SetConfig(n.cfg, slots)
	n.door.SetConfig(n.cfg, n.LiveEntries(now))
	n.book.SetRate(float64(claimWrites) / float64(n.StoreClients(now)))
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
	return !n.view.Self().Draining && len(n.byService) > 0
}
