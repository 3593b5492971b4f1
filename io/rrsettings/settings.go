// Package rrsettings holds the settings of one entry process, with their flags,
// defaults and allowed ranges.
package rrsettings

import (
	"errors"
	"flag"
	"fmt"
	"time"

	"rattanring/io/rrflag"
)

// Settings are the settings of an entry process.
type Settings struct {
	Name            string   // of this entry, unique in the fleet
	Listen          string   // HOST:PORT to listen on; port 0 lets the kernel choose
	Advertise       string   // HOST:PORT that peers use; empty means the address listened on
	Zone            string   // availability zone
	Region          string   // empty means the only region
	StoreURL        string   // URL of the key-value service; empty means none
	InstanceListURL string   // URL of the instance list; empty means none
	Peers           []string // addresses of other entries; an entry uses only their number, for its first share of the store's request rates
	Services        []string // services whose minions the entry uses; empty means all services in the instance list

	DefaultSlots int // not used; rrlist.DefaultSlots applies to minions for which the instance list gives no number
	DefaultConns int // maximum connections of this entry to one minion

	MaxTasks         int           // of one job
	MaxBodyBytes     int64         // bytes of one request
	MaxInFlightBytes int64         // bytes of all requests in flight
	MaxInFlightJobs  int           // jobs in flight
	MaxConns         int           // open connections of callers, operators and peers
	MaxTimeout       time.Duration // from receipt of a job to its deadline
	MaxLabelPairs    int           // pairs of tenant and class with histograms of their own

	DrainTimeout     time.Duration // maximum time of a graceful stop
	ListPollInterval time.Duration // between reads of the instance list
	StoreReadRate    int           // reads of the store per second, all entries together
	StoreWriteRate   int           // writes to the store per second, all entries together

	LogLevel  string // debug, info, warn or error
	LogFormat string // logfmt or json
	Pprof     bool   // serve /debug/pprof
}

// Default returns settings that lack only the required name and zone.
func Default() Settings {
	return Settings{
		Listen:           "127.0.0.1:7400",
		DefaultSlots:     8,
		DefaultConns:     60,
		MaxTasks:         1700,
		MaxBodyBytes:     8 << 20,
		MaxInFlightBytes: 128 << 20,
		MaxInFlightJobs:  10_000,
		MaxConns:         16_384,
		MaxTimeout:       10 * time.Minute,
		MaxLabelPairs:    64,
		DrainTimeout:     30 * time.Second,
		ListPollInterval: time.Second,
		StoreReadRate:    2000,
		StoreWriteRate:   300,
		LogLevel:         "info",
		LogFormat:        "logfmt",
	}
}

// FieldError is the error for a flag whose value is not allowed.
type FieldError struct {
	Flag    string
	Value   string
	Allowed string // description of the allowed values
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("invalid value %q for flag -%s: want %s", e.Value, e.Flag, e.Allowed)
}

// Validate returns a *FieldError for the first setting that is not allowed, or nil.
func (s Settings) Validate() error {
	for _, f := range s.fields() {
		err := f.value.Check()
		if err == nil {
			continue
		}
		want := err.Error()
		var rangeErr *rrflag.RangeError
		if errors.As(err, &rangeErr) {
			want = rangeErr.Allowed
		}
		return &FieldError{Flag: f.flag, Value: f.value.String(), Allowed: want}
	}
	return nil
}

// RegisterFlags adds a flag to fs for each setting, with the current values of s as
// defaults.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	for _, f := range s.fields() {
		fs.Var(f.value, f.flag, f.usage)
	}
}

type field struct {
	flag  string
	value rrflag.Value
	usage string
}

func (s *Settings) fields() []field {
	fields := s.identityFields()
	fields = append(fields, s.limitFields()...)
	return append(fields, s.operationFields()...)
}

func (s *Settings) identityFields() []field {
	return []field{
		{"name", rrflag.Name{Dest: &s.Name}, "`name` of this entry, unique in the fleet (required)"},
		{"listen", rrflag.Addr{Dest: &s.Listen}, "`host:port` to listen on; port 0 lets the kernel choose"},
		{"advertise", rrflag.Addr{Dest: &s.Advertise, Optional: true}, "`host:port` that peers use; the address listened on if empty"},
		{"zone", rrflag.Name{Dest: &s.Zone}, "availability `zone` of this entry (required)"},
		{"region", rrflag.Name{Dest: &s.Region, Optional: true}, "`region` of the zone; empty if there is only one"},
		{"store", rrflag.URL{Dest: &s.StoreURL}, "`url` of the key-value service; none if empty"},
		{"list", rrflag.URL{Dest: &s.InstanceListURL}, "`url` of the instance list; none if empty"},
		{"peers", rrflag.Addrs{Dest: &s.Peers}, "`host:port,...` of entries to ask while the list is away"},
		{"services", rrflag.Names{Dest: &s.Services}, "`name,...` of services to run tasks on; all of the list if empty"},
	}
}

func (s *Settings) limitFields() []field {
	return []field{
		{"slots", rrflag.Int{Dest: &s.DefaultSlots, Min: 1, Max: 1000}, "tasks at a `time` on a minion that the list gives no number for"},
		{"conns", rrflag.Int{Dest: &s.DefaultConns, Min: 1, Max: 10_000}, "`connections` to a minion that the list gives no number for"},
		{"max-tasks", rrflag.Int{Dest: &s.MaxTasks, Min: 1, Max: 100_000}, "`tasks` of one job, at most"},
		{"max-body", rrflag.Bytes{Dest: &s.MaxBodyBytes, Min: 1 << 10, Max: 1 << 30}, "`bytes` of one request, at most (units KiB, MiB, GiB)"},
		{"max-held", rrflag.Bytes{Dest: &s.MaxInFlightBytes, Min: 1 << 20, Max: 64 << 30}, "`bytes` of all requests in flight, at most (units KiB, MiB, GiB)"},
		{"max-jobs", rrflag.Int{Dest: &s.MaxInFlightJobs, Min: 1, Max: 1_000_000}, "`jobs` in flight, at most"},
		{"max-conns", rrflag.Int{Dest: &s.MaxConns, Min: 16, Max: 1_000_000}, "open `connections` of callers, operators and peers, at most"},
		{"max-patience", rrflag.Duration{Dest: &s.MaxTimeout, Min: time.Millisecond, Max: 24 * time.Hour}, "`time` from receipt of a job to its deadline, at most"},
		{"max-labels", rrflag.Int{Dest: &s.MaxLabelPairs, Min: 1, Max: 10_000}, "`pairs` of tenant and class with histograms of their own"},
	}
}

func (s *Settings) operationFields() []field {
	return []field{
		{"drain", rrflag.Duration{Dest: &s.DrainTimeout, Min: 0, Max: time.Hour}, "`time` that a graceful stop may take"},
		{"poll", rrflag.Duration{Dest: &s.ListPollInterval, Min: 100 * time.Millisecond, Max: time.Minute}, "`time` between reads of the instance list"},
		{"reads", rrflag.Int{Dest: &s.StoreReadRate, Min: 1, Max: 10_000}, "`calls` a second that only read the store, all entries together"},
		{"writes", rrflag.Int{Dest: &s.StoreWriteRate, Min: 1, Max: 10_000}, "`calls` a second that change the store, all entries together"},
		{"log-level", rrflag.Choice{Dest: &s.LogLevel, Allowed: []string{"debug", "info", "warn", "error"}}, "least `level` that is logged: debug, info, warn or error"},
		{"log-format", rrflag.Choice{Dest: &s.LogFormat, Allowed: []string{"logfmt", "json"}}, "`format` of log lines: logfmt or json"},
		{"pprof", rrflag.Bool{Dest: &s.Pprof}, "serve /debug/pprof"},
	}
}
