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

// Settings are the settings of an entry process. Default returns them with all values except
// the required name and zone.
type Settings struct {
	Name            string   // of this entry, unique in the fleet
	Listen          string   // HOST:PORT to listen on; port 0 lets the kernel choose
	Advertise       string   // HOST:PORT that peers use; empty means the address listened on
	Zone            string   // availability zone
	Region          string   // empty means the only region
	StoreURL        string   // URL of the key-value service; empty means none
	InstanceListURL string   // URL of the instance list; empty means none
	Peers           []string // addresses of entries to contact while the instance list is unreachable
	Services        []string // services whose minions the entry uses; empty means all services of the list

	DefaultSlots int // slots of a minion for which the list gives no number
	DefaultConns int // maximum connections to a minion for which the list gives no number

	MaxTasks         int           // of one job
	MaxBodyBytes     int64         // bytes of one request
	MaxInFlightBytes int64         // bytes of all requests in flight
	MaxInFlightJobs  int           // jobs in flight
	MaxTimeout       time.Duration // from receipt of a job to its deadline
	MaxMetricClasses int           // pairs of tenant and class with histograms of their own

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
		MaxTimeout:       10 * time.Minute,
		MaxMetricClasses: 64,
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
	Allowed string // allowed values
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
			want = rangeErr.Want
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
		{"name", rrflag.Name{P: &s.Name}, "`name` of this entry, unique in the fleet (required)"},
		{"listen", rrflag.Addr{P: &s.Listen}, "`host:port` to listen on; port 0 lets the kernel choose"},
		{"advertise", rrflag.Addr{P: &s.Advertise, Optional: true}, "`host:port` that peers use; the address listened on if empty"},
		{"zone", rrflag.Name{P: &s.Zone}, "availability `zone` of this entry (required)"},
		{"region", rrflag.Name{P: &s.Region, Optional: true}, "`region` of the zone; empty if there is only one"},
		{"store", rrflag.URL{P: &s.StoreURL}, "`url` of the key-value service; none if empty"},
		{"list", rrflag.URL{P: &s.InstanceListURL}, "`url` of the instance list; none if empty"},
		{"peers", rrflag.Addrs{P: &s.Peers}, "`host:port,...` of entries to ask while the list is away"},
		{"services", rrflag.Names{P: &s.Services}, "`name,...` of services to run tasks on; all of the list if empty"},
	}
}

func (s *Settings) limitFields() []field {
	return []field{
		{"slots", rrflag.Int{P: &s.DefaultSlots, Min: 1, Max: 1000}, "tasks at a `time` on a minion that the list gives no number for"},
		{"conns", rrflag.Int{P: &s.DefaultConns, Min: 1, Max: 10_000}, "`connections` to a minion that the list gives no number for"},
		{"max-tasks", rrflag.Int{P: &s.MaxTasks, Min: 1, Max: 100_000}, "`tasks` of one job, at most"},
		{"max-body", rrflag.Bytes{P: &s.MaxBodyBytes, Min: 1 << 10, Max: 1 << 30}, "`bytes` of one request, at most (units KiB, MiB, GiB)"},
		{"max-held", rrflag.Bytes{P: &s.MaxInFlightBytes, Min: 1 << 20, Max: 64 << 30}, "`bytes` of all requests in flight, at most (units KiB, MiB, GiB)"},
		{"max-jobs", rrflag.Int{P: &s.MaxInFlightJobs, Min: 1, Max: 1_000_000}, "`jobs` in flight, at most"},
		{"max-patience", rrflag.Duration{P: &s.MaxTimeout, Min: time.Millisecond, Max: 24 * time.Hour}, "`time` from receipt of a job to its deadline, at most"},
		{"max-labels", rrflag.Int{P: &s.MaxMetricClasses, Min: 1, Max: 10_000}, "`pairs` of tenant and class with histograms of their own"},
	}
}

func (s *Settings) operationFields() []field {
	return []field{
		{"drain", rrflag.Duration{P: &s.DrainTimeout, Min: 0, Max: time.Hour}, "`time` that a graceful stop may take"},
		{"poll", rrflag.Duration{P: &s.ListPollInterval, Min: 100 * time.Millisecond, Max: time.Minute}, "`time` between reads of the instance list"},
		{"reads", rrflag.Int{P: &s.StoreReadRate, Min: 1, Max: 10_000}, "`calls` a second that only read the store, all entries together"},
		{"writes", rrflag.Int{P: &s.StoreWriteRate, Min: 1, Max: 10_000}, "`calls` a second that change the store, all entries together"},
		{"log-level", rrflag.Choice{P: &s.LogLevel, Of: []string{"debug", "info", "warn", "error"}}, "least `level` that is logged: debug, info, warn or error"},
		{"log-format", rrflag.Choice{P: &s.LogFormat, Of: []string{"logfmt", "json"}}, "`format` of log lines: logfmt or json"},
		{"pprof", rrflag.Bool{P: &s.Pprof}, "serve /debug/pprof"},
	}
}
