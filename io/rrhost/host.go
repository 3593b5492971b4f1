// Package rrhost runs one process of a fleet that shares the minions of a platform. The
// process takes jobs from callers, submits them to the owner of their shard, and owns
// shards itself when it is the best candidate.
package rrhost

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/thejerf/suture/v4"

	"rattanring/core/rrelection"
	"rattanring/core/rrroute"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrexecutor"
	"rattanring/io/rrmetric"
	"rattanring/io/rrstore"
)

// Store is the platform's store. rrstore.NotApplied reports for the error of a call whether
// the call certainly had no effect.
type Store interface {
	// Get returns one item. Its Mod is zero if the item does not exist.
	Get(ctx context.Context, key string) (rrstore.Item, error)
	// List returns all items with a prefix and the store's revision before the first page.
	List(ctx context.Context, prefix string) ([]rrstore.Item, int64, error)
	// WaitForChanges returns the changes after a revision, as soon as there are some or after
	// wait, and the revision to continue from. The error is an *rrstore.CompactedError if the
	// store no longer has some of the changes.
	WaitForChanges(ctx context.Context, prefix string, after int64, wait time.Duration) ([]rrstore.Event, int64, error)
	// CompareAndSwap writes an item if its key still has the revision expect, zero for none.
	// It returns the new revision, or zero if the key has another one.
	CompareAndSwap(ctx context.Context, put rrstore.Put, expect int64) (int64, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and reports whether it still exists.
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	// RevokeLease ends a lease.
	RevokeLease(ctx context.Context, lease int64) error
}

// Decoder decodes what the platform and its operators write into the store.
type Decoder interface {
	// DecodeConfig decodes the configuration.
	DecodeConfig(text []byte) (*rrroute.Config, error)
	// DecodeMinion decodes the registration of a minion that was read at readAt. It returns an error
	// if the item names no minion.
	DecodeMinion(item rrstore.Item, readAt time.Time) (rrscheduler.Minion, error)
}

// StoreKeys are the keys of the platform's own items in the store.
type StoreKeys struct {
	MinionPrefix     string // prefix of the registrations of minions
	ConfigKey        string // the operators' configuration
	OperatorPrefix   string // prefix of all items of the operators, among them ConfigKey and those with EvacuationPrefix; unused without evacuations
	EvacuationPrefix string // prefix of the items that evacuate a zone, followed by its name; unused without evacuations
}

// Options configures a Host.
type Options struct {
	Self         rrelection.Member
	Zones        []string
	Seeds        []string // addresses of processes that may know the fleet's state while the store is unreachable at the start; Host.SetSeeds changes them
	Guarantees   rrscheduler.Options
	Keys         StoreKeys
	Store        Store
	Decoder      Decoder
	MinionClient rrexecutor.MinionClient
	Logger       log.Logger
	Metrics      *rrmetric.Metrics
	CPUTime      func() time.Duration // CPU time used by this process; nil asks the operating system

	EvacuateWithin  time.Duration // no task may start in a zone later than this after operators have evacuated it; zero: the deployment has no evacuations
	RegistrationTTL time.Duration // a minion's registration stays this long after its last report; zero if not known; Host.SetRegistrationTTL changes it
}

// Host is one process of the fleet. Create it with New.
type Host struct {
	Options
	peers          *peerClients
	config         atomic.Pointer[configSnapshot]
	storeRevision  atomic.Int64 // highest revision that a watch has shown
	clocks         peerClocks
	lastSubmission atomic.Uint64 // number of the last submission of a caller
	heldTasks      atomic.Int64  // limit on the tasks that each local executor holds; zero for none

	mu                        sync.Mutex
	election                  *rrelection.Election
	executors                 map[string]*rrexecutor.Executor   // of the shards that this process owns
	assignments               map[string]map[string]*assignment // minions that each local executor was given, by shard
	cpuUtilization            float64                           // fraction of the CPU cores that this process may use
	layoutChangePending       bool                              // minions still have to change their shard, or a removed shard still has an executor
	endedToken                map[string]int64                  // fencing token of the last local executor that ended by itself or was retired, by shard; no executor is started again under it
	yieldedClaims             map[string]yieldedClaim           // claims without the store that this process left to others, by shard
	preferredSince            map[string]time.Time              // since when another member should own a shard of this process
	loads                     map[string]shardLoad              // of the shards of other hosts
	remoteJobs                map[string]int                    // number of jobs that this host has submitted to other owners, by address
	callerProcesses           map[string]*callerProcess         // processes that have jobs at the local executors, by name
	lastHeartbeatFrom         map[string]time.Time              // when each host last sent a heartbeat, by address
	lastProbe                 map[string]time.Time              // when this host last sent a former member a heartbeat for one of that member, by address
	routesChanged             chan struct{}                     // closed when jobs may have to go to another owner: after events of the fleet, a change of owner, or new loads
	registrations             map[string]rrscheduler.Minion     // by minion ID, as last read from the store or copied from another process, while this process owns a shard
	lastStoreFailure          time.Time                         // when a call to the store last failed, or when this process started
	registrationCopy          registrationCopy                  // registrations of the minions of this process's zone
	ownerRegistrationsVersion registrationsVersion              // of the owner of the primary shard of this process's zone, from its last answer to a heartbeat
	unreadable                map[string]int64                  // revision of each item of the store whose value can't be decoded, by key
	registrationsRevision     int64                             // rises with each change of registrations, and of the minions that are used without one
	registrationsRead         int64                             // revision of the store up to which registrations were read
	registrationsReadAt       time.Time                         // when that was requested
	coldReports               map[string]int64                  // revision of the registration of each minion that is cold, by minion ID
	coldServices              map[string]bool                   // services with a gauge of their cold minions
	coldConfigured            bool                              // the local executors were told of services with cold minions
	removedMinions            map[string]removedMinion          // by minion ID
	listComplete              map[string]bool                   // whether the local executor of a shard knows all minions that the previous owner used; no entry before it has been given a list
	copySuspended             bool                              // copied registrations get no new tasks, since the store has newer ones
	minionsListed             bool                              // registrations holds all that the store lists
	evacuations               evacuations
	membershipLease           int64         // of this host's member item in the store; zero if there is none
	shorterTTL                time.Duration // of registrations before RegistrationTTL rose
	shorterTTLUntil           time.Time     // until then registrations with shorterTTL may exist

	heartbeatNow        chan struct{} // requests heartbeats at once
	shardCheckNow       chan struct{} // requests a check of the shards at once
	registrationsNeeded chan struct{} // starts the watch of registrations, or makes it read the present list
	draining            atomic.Bool
	fetchingState       atomic.Bool // a fetch of the fleet's state from a peer is running
}

// shardLoad is what the owner of a shard last reported about it.
type shardLoad struct {
	load            rrscheduler.Load
	waitingJobs     int
	receivedAt      time.Time
	requestedAt     time.Time            // when the heartbeat was sent that it answered
	hasExecutor     bool                 // the owner runs an executor for the shard
	incarnation     int64                // of the owner
	cpuUtilization  float64              // fraction of the CPU cores that the owner's process may use
	layoutRevision  int64                // revision of the layout that the owner applies
	foreignMinions  map[string]bool      // minions of other shards that it still owns
	unlistedMinions []rrscheduler.Minion // minions that it uses though the store does not list them; empty for a primary shard
}

// New returns a host that does not run yet.
func New(o Options) *Host {
	if o.CPUTime == nil {
		o.CPUTime = cpuTimeUsed
	}
	h := &Host{
		Options:             o,
		peers:               newPeerClients(),
		election:            rrelection.New(time.Now(), o.Self, o.Zones),
		lastStoreFailure:    time.Now(),
		executors:           make(map[string]*rrexecutor.Executor),
		assignments:         make(map[string]map[string]*assignment),
		loads:               make(map[string]shardLoad),
		endedToken:          make(map[string]int64),
		yieldedClaims:       make(map[string]yieldedClaim),
		preferredSince:      make(map[string]time.Time),
		callerProcesses:     make(map[string]*callerProcess),
		lastHeartbeatFrom:   make(map[string]time.Time),
		lastProbe:           make(map[string]time.Time),
		remoteJobs:          make(map[string]int),
		routesChanged:       make(chan struct{}),
		registrations:       make(map[string]rrscheduler.Minion),
		unreadable:          make(map[string]int64),
		heartbeatNow:        make(chan struct{}, 1),
		shardCheckNow:       make(chan struct{}, 1),
		registrationsNeeded: make(chan struct{}, 1),
		coldReports:         make(map[string]int64),
		coldServices:        make(map[string]bool),
		removedMinions:      make(map[string]removedMinion),
		listComplete:        make(map[string]bool),
	}
	h.heldTasks.Store(int64(o.Guarantees.HeldTasks))
	return h
}

// Run runs the services of the host until ctx ends.
func (h *Host) Run(ctx context.Context) {
	h.registerMetrics()
	root := suture.New("host", suture.Spec{EventHook: h.logServiceEvent})
	for _, s := range []service{
		{"config", h.watchConfig},
		{"config check", h.pollConfig},
		{"fleet", h.watchFleet},
		{"membership", h.maintainMembership},
		{"seats", h.checkShards},
		{"pulse", h.sendHeartbeats},
		{"minions", h.watchRegistrations},
		{"copies", h.maintainRegistrationCopy},
		{"size", h.scaleShards},
		{"seeds", h.querySeeds},
	} {
		root.Add(s)
	}
	_ = root.Serve(ctx) // ends with ctx
}

// service is a function that a supervisor runs, and restarts if it fails.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error {
	return s.run(ctx)
}

// String returns the name of the service.
func (s service) String() string {
	return s.name
}

func (h *Host) logServiceEvent(ev suture.Event) {
	level.Error(h.Logger).Log("msg", "duty failed", "event", ev)
}

// Ready reports whether the host can serve new connections.
func (h *Host) Ready() bool {
	if h.draining.Load() || h.Config() == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ownerAnsweredLately(h.Self.Zone) && !h.isolated(time.Now())
}

// ownerAnsweredLately reports whether a shard has a local executor or a live owner. An owner
// counts as live unless it is known to be dead or has left heartbeats unanswered for
// notReadyTimeout. The caller holds h.mu.
func (h *Host) ownerAnsweredLately(shard string) bool {
	if h.executors[shard] != nil {
		return true
	}
	_, ok := h.election.Owner(shard)
	return ok && h.election.UnansweredFor(time.Now(), shard) < notReadyTimeout
}

// executor returns the local executor of a shard, or nil.
func (h *Host) executor(shard string) *rrexecutor.Executor {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.executors[shard]
}

// WaitingJobs returns the number of jobs without a started task, in the local executors and
// as the other owners last reported.
func (h *Host) WaitingJobs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, ex := range h.executors {
		n += ex.WaitingJobs()
	}
	for shard, l := range h.loads {
		if h.executors[shard] == nil {
			n += l.waitingJobs
		}
	}
	return n
}

// notifyRoutesChanged wakes submissions that wait for an owner. The caller holds h.mu.
func (h *Host) notifyRoutesChanged() {
	close(h.routesChanged)
	h.routesChanged = make(chan struct{})
}

// sleep waits for d, and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
