// Package rrhost runs one process of a fleet that shares the minions of a platform:
// it takes jobs from callers, passes them to the keeper of their seat, and keeps
// seats itself when it is the best candidate.
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

// Store is the platform's store. The errors of its calls tell by rrstore.Applied
// whether a call may have had an effect.
type Store interface {
	// Get returns one item, whose Mod is zero when it does not exist.
	Get(ctx context.Context, key string) (rrstore.Item, error)
	// List returns all items with a prefix and the store's revision before the first page.
	List(ctx context.Context, prefix string) ([]rrstore.Item, int64, error)
	// WaitForChanges returns the changes after a revision, once there are some or the wait is
	// over, and the revision to go on from. The error is an *rrstore.CompactedError
	// when changes are lost.
	WaitForChanges(ctx context.Context, prefix string, after int64, wait time.Duration) ([]rrstore.Event, int64, error)
	// CompareAndSwap writes an item if its key still has the revision expect, zero for none.
	// It returns the new revision, and zero when the key has another one.
	CompareAndSwap(ctx context.Context, put rrstore.Put, expect int64) (int64, error)
	// GrantLease makes a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and reports whether it still exists.
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	// RevokeLease ends a lease.
	RevokeLease(ctx context.Context, lease int64) error
}

// Decoder reads what the platform and its operators write into the store.
type Decoder interface {
	// DecodeConfig reads the configuration.
	DecodeConfig(text []byte) (*rrroute.Table, error)
	// DecodeMinion reads the report of a minion. The error is not nil when it names none.
	DecodeMinion(item rrstore.Item) (rrscheduler.Minion, error)
}

// StoreKeys are the names of the platform's own items in the store.
type StoreKeys struct {
	MinionPrefix string // prefix of the reports of minions
	ConfigKey    string // the operators' configuration
}

// Options is what a host is made of.
type Options struct {
	Self       rrelection.Member
	Zones      []string
	Seeds      []string // addresses of processes that may know what the store can't tell at the start
	Guarantees rrscheduler.MinionGuarantees
	Keys       StoreKeys
	Store      Store
	Reader     Decoder
	Minions    rrexecutor.MinionClient
	Logger     log.Logger
	Metrics    *rrmetric.Metrics
	CPUTime    func() time.Duration // processor time that this process has used; nil asks the system
}

// Host is one running process. Create it with New.
type Host struct {
	Options
	peers  *peerClients
	config atomic.Pointer[configSnapshot]

	mu                    sync.Mutex
	election              *rrelection.Election
	executors             map[string]*rrexecutor.Executor   // by seat
	assignments           map[string]map[string]*assignment // minions that own keepers were told of, by seat
	cpuUtilization        float64                           // share of the processor time that this process may use
	handoffsPending       bool                              // minions wait to change their seat
	endedToken            map[string]int64                  // of the last own keeper of a seat that was shut out
	loads                 map[string]shardLoad              // of other hosts' seats
	remoteJobs            map[string]int                    // jobs of this host that other holders have, by address
	callers               map[string]*caller                // hosts that have jobs at the own keepers
	lastCalled            map[string]time.Time              // last call of each host, by address
	ownersChanged         chan struct{}                     // closed at each change of a seat
	minions               map[string]rrscheduler.Minion     // reports as last read, while a seat is kept
	lastStoreFailure      time.Time                         // when the store last failed, or this process started
	registrationCopy      registrationCopy                  // reports of the own zone's minions
	ownerRegistrations    registrationsVersion              // what the holder of the own zone last said of its reports
	registrationsRevision int64                             // rises with each change of minions
	minionsListed         bool                              // minions holds all reports
	lease                 int64

	heartbeatNow           chan struct{} // asks for a ping at once
	shardCheckNow          chan struct{} // asks for a look at the seats at once
	startRegistrationWatch chan struct{} // wakes the watch of minions
	draining               atomic.Bool
	fetchingState          atomic.Bool // a peer is being asked for what this process does not know
}

// shardLoad is what a holder last said of its seat.
type shardLoad struct {
	load           rrscheduler.Load
	waitingJobs    int
	receivedAt     time.Time
	hasExecutor    bool            // its holder has a keeper for it
	incarnation    int64           // of the holder
	cpuUtilization float64         // share of the processor time that its process may use
	layoutRevision int64           // revision of the layout that it goes by
	foreignMinions map[string]bool // minions of other seats that it still holds
}

// New returns a host that does nothing yet.
func New(o Options) *Host {
	if o.CPUTime == nil {
		o.CPUTime = cpuTimeUsed
	}
	return &Host{
		Options:                o,
		peers:                  newPeerClients(),
		election:               rrelection.New(time.Now(), o.Self, o.Zones),
		lastStoreFailure:       time.Now(),
		executors:              make(map[string]*rrexecutor.Executor),
		assignments:            make(map[string]map[string]*assignment),
		loads:                  make(map[string]shardLoad),
		endedToken:             make(map[string]int64),
		callers:                make(map[string]*caller),
		lastCalled:             make(map[string]time.Time),
		remoteJobs:             make(map[string]int),
		ownersChanged:          make(chan struct{}),
		minions:                make(map[string]rrscheduler.Minion),
		heartbeatNow:           make(chan struct{}, 1),
		shardCheckNow:          make(chan struct{}, 1),
		startRegistrationWatch: make(chan struct{}, 1),
	}
}

// Run runs the duties of the host until ctx ends.
func (h *Host) Run(ctx context.Context) {
	h.registerMetrics()
	root := suture.New("host", suture.Spec{EventHook: h.logServiceEvent})
	for _, s := range []service{
		{"config", h.watchConfig},
		{"config check", h.pollConfig},
		{"fleet", h.watchFleet},
		{"membership", h.maintainMembership},
		{"seats", h.claimShards},
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

// service is a function that a supervisor runs and restarts.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error {
	return s.run(ctx)
}

// String names the duty.
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
	return h.ownerReachable(h.Self.Zone)
}

// ownerReachable reports whether the holder of a seat answers. The caller holds h.mu.
func (h *Host) ownerReachable(shard string) bool {
	if h.executors[shard] != nil {
		return true
	}
	_, ok := h.election.Owner(shard)
	return ok && h.election.UnansweredFor(time.Now(), shard) < notReadyTimeout
}

// executor returns the own keeper of a seat, or nil.
func (h *Host) executor(shard string) *rrexecutor.Executor {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.executors[shard]
}

// WaitingJobs returns the number of jobs of which no task has started, as last heard.
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

// note wakes everyone who waits for a change of a seat. The caller holds h.mu.
func (h *Host) notifyOwnersChanged() {
	close(h.ownersChanged)
	h.ownersChanged = make(chan struct{})
}

// sleep waits for d and reports whether ctx is still open.
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
