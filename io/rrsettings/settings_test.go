package rrsettings

import (
	"errors"
	"flag"
	"io"
	"testing"
)

func TestFlagErrorsNameAllowedValues(t *testing.T) {
	tests := []struct {
		flag, value, want string
	}{
		{"slots", "0", `invalid value "0" for flag -slots: want a whole number from 1 to 1000`},
		{"slots", "many", `invalid value "many" for flag -slots: want a whole number from 1 to 1000`},
		{"poll", "5", `invalid value "5" for flag -poll: want a duration from 100ms to 1m`},
		{"drain", "-1s", `invalid value "-1s" for flag -drain: want a duration from 0s to 1h`},
		{"max-body", "9999999999GiB", `invalid value "9999999999GiB" for flag -max-body: want bytes from 1KiB to 1GiB`},
		{"log-level", "loud", `invalid value "loud" for flag -log-level: want one of debug, info, warn, error`},
		{"zone", "caer dydd", `invalid value "caer dydd" for flag -zone: want 1 to 64 letters, digits, '.', '-' or '_'`},
		{"listen", "7400", `invalid value "7400" for flag -listen: want HOST:PORT with a port from 0 to 65535`},
		{"peers", "a:1,b", `invalid value "a:1,b" for flag -peers: want a list of HOST:PORT, separated by commas`},
		{"store", "ftp://x", `invalid value "ftp://x" for flag -store: want an http or https URL, or nothing`},
		{"services", "torri,/", `invalid value "torri,/" for flag -services: want names of 1 to 64 letters, digits, '.', '-' or '_', separated by commas`},
	}
	for _, tt := range tests {
		s := Default()
		fs := flag.NewFlagSet("entry", flag.ContinueOnError)
		fs.SetOutput(io.Discard)
		s.RegisterFlags(fs)
		err := fs.Parse([]string{"-" + tt.flag, tt.value})
		if err == nil || err.Error() != tt.want {
			t.Errorf("-%s %s: got %v, want %s", tt.flag, tt.value, err, tt.want)
		}
	}
}

func TestValidate(t *testing.T) {
	s := Default()
	var field *FieldError
	if err := s.Validate(); !errors.As(err, &field) || field.Flag != "name" {
		t.Errorf("got %v, want a FieldError for name", err)
	}
	s.Name, s.Zone = "e1", "bangor"
	if err := s.Validate(); err != nil {
		t.Errorf("got %v, want nil", err)
	}
	s.StoreWriteRate = -1
	want := `invalid value "-1" for flag -writes: want a whole number from 1 to 10000`
	if err := s.Validate(); err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

func TestFlagsOverrideDefaults(t *testing.T) {
	s := Default()
	s.Services = []string{"torri"}
	fs := flag.NewFlagSet("entry", flag.ContinueOnError)
	s.RegisterFlags(fs)
	args := []string{"-name", "e1", "-zone", "bangor", "-max-held", "64MiB", "-peers", "a:1,b:2", "-peers", "c:3", "-pprof", "-services", "lanedesk"}
	if err := fs.Parse(args); err != nil {
		t.Fatal(err)
	}
	if s.MaxInFlightBytes != 64<<20 || len(s.Peers) != 3 || !s.Pprof || s.DefaultSlots != 8 {
		t.Errorf("got %+v, want 64 MiB, three peers, pprof and 8 slots", s)
	}
	if len(s.Services) != 1 || s.Services[0] != "lanedesk" {
		t.Errorf("got services %q, want the flag in place of the default", s.Services)
	}
}
