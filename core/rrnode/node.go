// Package rrnode is the decision core of one entry: a deterministic state machine that
// takes an event with its time and returns the effects to carry out.
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

// Options identifies an entry when it starts.
type Options struct {
	Self        rrtask.Entry
	Incarnation uint64 // increases with each start of the entry
	Seed        uint64 // seeds the random choices
}

// Node is the decision core of one entry. Create it with New; it is not safe for
// concurrent use.
type Node struct {
	self           rrtask.Entry
	incarnation    uint64
	view           *rrmembership.View
	estimator      *rrestimator.Estimator
	dispatcher     *rrdispatcher.Dispatcher
	coordinator    *rrcoord.Coordinator
	served         batchServer
	admission      rradmission.Controller
	cfg            rrconf.Config
	storeReachable bool

	configManager    rrconf.Manager
	configEffects    rrconf.Effects
	claimManager     *rrclaim.Manager
	claimEffects     rrclaim.Effects
	attachMissed     map[string]bool // IDs of jobs that the claim's owner was asked for and no longer ran
	processedAnswers int             // number of this Step's answers that closeClaims has processed

	drainStart time.Time       // when draining began; zero before
	notified   map[string]bool // peers that have answered a heartbeat since drainStart
	nextNotify time.Time       // next heartbeats to the peers not in notified

	ownersByService map[string][]ownedSlots
	owners          []string                             // owner of each minion, in the view's order
	hasOwners       bool                                 // some minion that is not draining has an owner, whether its zone is evacuated or not
	capacities      map[string]map[rrtask.Resources]bool // as updateCapacities describes
	effects         Effects
	outcomes        []rrdispatcher.Outcome
	candidates      []rrplacement.Candidate
	messages        messageCounters
}

// ownedSlots is the number of slots that one entry owns for one service.
type ownedSlots struct {
	owner string
	slots int
}

// freeRetries is the number of retried tasks that each retry budget of admission control
// allows in addition to the earned ones.
const freeRetries = 200

// New returns the core of an entry that starts at now.
func New(now time.Time, opts Options) *Node {
	n := &Node{
		self:            opts.Self,
		incarnation:     opts.Incarnation,
		view:            rrmembership.New(now, opts.Self, opts.Incarnation, opts.Seed),
		estimator:       &rrestimator.Estimator{},
		served:          newBatchServer(),
		ownersByService: make(map[string][]ownedSlots),
		attachMissed:    make(map[string]bool),
		capacities:      make(map[string]map[rrtask.Resources]bool),
	}
	n.admission.FreeRetries = freeRetries
	n.claimManager = rrclaim.New(opts.Self.Name, opts.Incarnation)
	n.dispatcher = rrdispatcher.New(n.estimator)
	n.coordinator = rrcoord.New(opts.Self.Name, opts.Incarnation, n.estimator, n, n.dispatcher, &n.admission)
	n.activateConfig(now, rrconf.Default())
	return n
}

// Step handles one event. The returned effects are valid until the next Step.
func (n *Node) Step(now time.Time, ev Event) *Effects {
	n.effects.reset()
	n.coordinator.Effects.Reset()
	n.processedAnswers = 0
	n.handle(now, ev)
	n.advance(now)
	return &n.effects
}

func (n *Node) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case *Tick:
		n.tick(now)
	case *SubmitJob:
		n.coordinator.Submit(now, ev.Caller, ev.Job)
	case *CallerDisconnected:
		n.coordinator.CallerDisconnected(now, ev.Caller, ev.ID)
	case *CancelJobs:
		jobs, tasks := n.coordinator.Cancel(now, ev.Tenant, ev.IDs)
		n.effects.CancelJobsResponses = append(n.effects.CancelJobsResponses, CancelJobsResponse{Call: ev.Call, Jobs: jobs, Tasks: tasks})
	case *MinionsListed:
		n.view.SetMinions(ev.List)
		n.view.InstanceListRead(now)
	case *EntriesListed:
		n.view.SetEntries(now, ev.List)
	case *DispatchDone:
		n.dispatcher.HandleResult(now, ev.Result)
	case *ProbeDone:
		n.dispatcher.HandleProbeResult(now, ev.Minion, ev.OK)
	case *RunBatchDone:
		n.handleRunBatchDone(now, ev)
	case *RecallDone:
		n.view.UpdateLoad(ev.From, ev.Incarnation, ev.Load, false)
		n.coordinator.RecallDone(now, ev.Seq, ev.Returned)
	case *AttachRequest:
		n.handleAttach(now, ev)
	case *ClaimCallDone:
		n.claimManager.HandleReply(now, ev.Reply)
	case *AttachDone:
		n.handleAttachDone(now, ev)
	default:
		n.handlePeer(now, ev)
	}
}

func (n *Node) handlePeer(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case *RunBatchRequest:
		n.handleRunBatch(now, ev)
	case *RecallRequest:
		n.handleRecall(now, ev)
	case *CancelBatchesRequest:
		n.handleCancelBatches(now, ev)
	case *HeartbeatRequest:
		n.handleHeartbeat(now, ev)
	case *HeartbeatDone:
		n.handleHeartbeatDone(now, ev)
	case *PeerConfig:
		n.configManager.Merge(ev.Config)
	case *StoredConfig:
		n.configManager.MergeStored(ev.Config, ev.ModRevision)
	case *ProposeConfig:
		n.configManager.Propose(now, ev.Change)
	case *ConfigWriteDone:
		n.configManager.HandleReply(now, ev.Reply)
	case *StoreStatus:
		n.storeReachable = ev.Reachable
		n.view.Self().StoreReachable = ev.Reachable
	case *Drain:
		n.drain(now)
	}
}

// advance acts on what the event changed: configuration, claims, ownership of minions,
// results and free slots.
func (n *Node) advance(now time.Time) {
	n.updateConfig(now)
	n.advanceClaims(now)
	fresh := n.view.Fresh(now)
	if n.view.TakeChanged() {
		n.updateOwners(now)
	}
	n.collectOutcomes(now)
	if fresh {
		n.effects.Dispatches = n.dispatcher.Dispatch(now, n.effects.Dispatches)
		n.admission.RecordStarts(len(n.effects.Dispatches))
		n.collectOutcomes(now)
	}
	n.closeClaims(now)
	coordEffects := &n.coordinator.Effects
	n.effects.RunBatches = coordEffects.RunBatches
	n.effects.Recalls = coordEffects.Recalls
	n.effects.CancelBatches = coordEffects.Cancels
	n.effects.Answers = coordEffects.Answers
	n.messages.add(&n.effects)
}

// collectOutcomes passes task outcomes to the coordinator, or to the peers that coordinate
// the job.
func (n *Node) collectOutcomes(now time.Time) {
	for {
		n.outcomes = n.dispatcher.TakeOutcomes(n.outcomes[:0])
		if len(n.outcomes) == 0 {
			return
		}
		for _, o := range n.outcomes {
			if o.Key.Coordinator == n.self.Name {
				n.coordinator.TaskDone(now, o)
			} else {
				n.served.addResult(o)
			}
		}
		n.sendQueuedReplies(now)
	}
}

func (n *Node) tick(now time.Time) {
	for _, p := range n.view.Tick(now) {
		n.sendHeartbeat(now, p)
	}
	n.coordinator.Tick(now)
	n.notifyDraining(now)
	n.served.expire(now)
	n.effects.Probes = n.dispatcher.DueProbes(now, n.effects.Probes)
	n.effects.TaskCommands = n.dispatcher.TaskCommands(now, n.effects.TaskCommands)
}

// updateOwners computes the owners of all minions and applies them. Owners keep the
// minions of evacuated zones, but these count for no slots.
func (n *Node) updateOwners(now time.Time) {
	n.owners = n.view.Owners(now)
	var own []rrtask.Minion
	slots := 0
	n.hasOwners = false
	clear(n.ownersByService)
	for i, m := range n.view.Minions() {
		if n.owners[i] == n.self.Name {
			own = append(own, m)
		}
		if m.Draining || n.owners[i] == "" {
			continue
		}
		n.hasOwners = true
		if n.cfg.IsEvacuated(m.Zone) {
			continue
		}
		slots += m.Slots
		n.addOwnedSlots(m.Service, n.owners[i], m.Slots)
	}
	n.updateCapacities()
	n.dispatcher.SetMinions(now, own)
	n.dispatcher.SetConfig(n.cfg, slots)
	n.admission.SetConfig(n.cfg, n.LiveEntries(now))
	n.claimManager.SetRate(float64(claimWritesPerSecond) / float64(n.StoreClients(now)))
}

// updateCapacities lists the different capacities of each service's minions that are not
// draining, and whether some minion of that capacity is in a zone that is in use. The list
// is empty while no zone is evacuated. EvacuatedOnly uses it for each job, where a scan of
// thousands of minions would take longer than the rest of the admission.
func (n *Node) updateCapacities() {
	clear(n.capacities)
	if len(n.cfg.Evacuated) == 0 {
		return
	}
	for _, m := range n.view.Minions() {
		if m.Draining {
			continue
		}
		if n.capacities[m.Service] == nil {
			n.capacities[m.Service] = make(map[rrtask.Resources]bool)
		}
		inUse := n.capacities[m.Service][m.Capacity] || !n.cfg.IsEvacuated(m.Zone)
		n.capacities[m.Service][m.Capacity] = inUse
	}
}

func (n *Node) addOwnedSlots(service, owner string, slots int) {
	owners := n.ownersByService[service]
	for i := range owners {
		if owners[i].owner == owner {
			owners[i].slots += slots
			return
		}
	}
	n.ownersByService[service] = append(owners, ownedSlots{owner: owner, slots: slots})
}

// Ready reports whether the entry accepts new jobs. An entry stays ready while all zones
// are evacuated: it then answers each job with rrcode.ZoneEvacuated.
func (n *Node) Ready() bool {
	return !n.view.Self().Draining && n.hasOwners
}
