// Package rrflag holds values of command-line flags that know their allowed
// range and name it when a value lies outside.
package rrflag

import (
	"flag"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Value is a flag value with an allowed range.
type Value interface {
	flag.Value

	// Check returns a *RangeError if the present value is not allowed.
	Check() error
}

// RangeError names the allowed range of a value.
type RangeError struct {
	Value string
	Want  string
}

// Error returns the allowed range. The flag package adds the value.
func (e *RangeError) Error() string {
	return "want " + e.Want
}

func inRange(ok bool, value, want string) error {
	if ok {
		return nil
	}
	return &RangeError{value, want}
}

// Int is a whole number from Min to Max.
type Int struct {
	P        *int
	Min, Max int
}

// String returns the present value. It is empty for the zero Int.
func (v Int) String() string {
	if v.P == nil {
		return ""
	}
	return strconv.Itoa(*v.P)
}

// Set parses s. The error is a *RangeError.
func (v Int) Set(s string) error {
	n, err := strconv.Atoi(s)
	if err != nil {
		return &RangeError{s, v.want()}
	}
	*v.P = n
	return v.Check()
}

// Check returns a *RangeError if the present value is not allowed.
func (v Int) Check() error {
	return inRange(*v.P >= v.Min && *v.P <= v.Max, v.String(), v.want())
}

func (v Int) want() string {
	return fmt.Sprintf("a whole number from %d to %d", v.Min, v.Max)
}

// Duration is a time span from Min to Max.
type Duration struct {
	P        *time.Duration
	Min, Max time.Duration
}

// String returns the present value. It is empty for the zero Duration.
func (v Duration) String() string {
	if v.P == nil {
		return ""
	}
	return short(*v.P)
}

// Set parses s, such as 250ms or 2m. The error is a *RangeError.
func (v Duration) Set(s string) error {
	d, err := time.ParseDuration(s)
	if err != nil {
		return &RangeError{s, v.want()}
	}
	*v.P = d
	return v.Check()
}

// Check returns a *RangeError if the present value is not allowed.
func (v Duration) Check() error {
	return inRange(*v.P >= v.Min && *v.P <= v.Max, v.String(), v.want())
}

func (v Duration) want() string {
	return fmt.Sprintf("a duration from %s to %s", short(v.Min), short(v.Max))
}

// short drops the zero parts at the end of a duration: 1h rather than 1h0m0s.
func short(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Bytes is a number of bytes from Min to Max.
type Bytes struct {
	P        *int64
	Min, Max int64
}

var units = []struct {
	suffix string
	bytes  int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
}

// String returns the present value in the largest unit that divides it. It is
// empty for the zero Bytes.
func (v Bytes) String() string {
	if v.P == nil {
		return ""
	}
	return size(*v.P)
}

func size(n int64) string {
	for _, u := range units {
		if n != 0 && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10)
}

// Set parses a number with one of the units KiB, MiB, GiB or none. The error is
// a *RangeError.
func (v Bytes) Set(s string) error {
	number, unit := s, int64(1)
	for _, u := range units {
		if cut, ok := strings.CutSuffix(s, u.suffix); ok {
			number, unit = cut, u.bytes
			break
		}
	}
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil || n > v.Max/unit {
		return &RangeError{s, v.want()}
	}
	*v.P = n * unit
	return v.Check()
}

// Check returns a *RangeError if the present value is not allowed.
func (v Bytes) Check() error {
	return inRange(*v.P >= v.Min && *v.P <= v.Max, v.String(), v.want())
}

func (v Bytes) want() string {
	return fmt.Sprintf("bytes from %s to %s", size(v.Min), size(v.Max))
}

// Bool is true or false.
type Bool struct {
	P *bool
}

// String returns the present value. It is empty for the zero Bool.
func (v Bool) String() string {
	if v.P == nil {
		return ""
	}
	return strconv.FormatBool(*v.P)
}

// Set parses s. The error is a *RangeError.
func (v Bool) Set(s string) error {
	b, err := strconv.ParseBool(s)
	if err != nil {
		return &RangeError{s, "true or false"}
	}
	*v.P = b
	return nil
}

// Check returns nil.
func (v Bool) Check() error {
	return nil
}

// IsBoolFlag reports that the flag may stand without a value.
func (v Bool) IsBoolFlag() bool {
	return true
}

// Choice is one of several words.
type Choice struct {
	P  *string
	Of []string
}

// String returns the present value. It is empty for the zero Choice.
func (v Choice) String() string {
	if v.P == nil {
		return ""
	}
	return *v.P
}

// Set takes s. The error is a *RangeError.
func (v Choice) Set(s string) error {
	*v.P = s
	return v.Check()
}

// Check returns a *RangeError if the present value is not allowed.
func (v Choice) Check() error {
	return inRange(slices.Contains(v.Of, *v.P), v.String(), "one of "+strings.Join(v.Of, ", "))
}

// MaxName is the longest name, in bytes.
const MaxName = 64

// IsName reports whether s is 1 to MaxName letters, digits, '.', '-' or '_'.
func IsName(s string) bool {
	if len(s) == 0 || len(s) > MaxName {
		return false
	}
	for _, r := range s {
		if !nameRune(r) {
			return false
		}
	}
	return true
}

func nameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '.' || r == '-' || r == '_'
}

// NameWant describes what IsName accepts.
var NameWant = fmt.Sprintf("1 to %d letters, digits, '.', '-' or '_'", MaxName)

// Name is a name of an instance, a zone, a tenant and the like.
type Name struct {
	P        *string
	Optional bool // the empty string is allowed
}

// String returns the present value. It is empty for the zero Name.
func (v Name) String() string {
	if v.P == nil {
		return ""
	}
	return *v.P
}

// Set takes s. The error is a *RangeError.
func (v Name) Set(s string) error {
	*v.P = s
	return v.Check()
}

// Check returns a *RangeError if the present value is not allowed.
func (v Name) Check() error {
	return inRange(IsName(*v.P) || v.Optional && *v.P == "", v.String(), NameWant)
}

// Names is a list of names, separated by commas; each Set replaces it.
type Names struct {
	P *[]string
}

// String returns the present values with commas. It is empty for the zero Names.
func (v Names) String() string {
	return join(v.P)
}

// Set replaces the names by those in s. The error is a *RangeError.
func (v Names) Set(s string) error {
	*v.P = nil
	add(v.P, s)
	return v.Check()
}

// Check returns a *RangeError if one of the present values is not allowed.
func (v Names) Check() error {
	for _, s := range *v.P {
		if !IsName(s) {
			return &RangeError{s, "names of " + NameWant + ", separated by commas"}
		}
	}
	return nil
}

func join(p *[]string) string {
	if p == nil {
		return ""
	}
	return strings.Join(*p, ",")
}

func add(p *[]string, s string) {
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			*p = append(*p, part)
		}
	}
}

// Addr is HOST:PORT.
type Addr struct {
	P        *string
	Optional bool // the empty string is allowed
}

// String returns the present value. It is empty for the zero Addr.
func (v Addr) String() string {
	if v.P == nil {
		return ""
	}
	return *v.P
}

// Set takes s. The error is a *RangeError.
func (v Addr) Set(s string) error {
	*v.P = s
	return v.Check()
}

// Check returns a *RangeError if the present value is not allowed.
func (v Addr) Check() error {
	return inRange(isAddr(*v.P) || v.Optional && *v.P == "", v.String(), "HOST:PORT with a port from 0 to 65535")
}

func isAddr(s string) bool {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// Addrs is a list of HOST:PORT, separated by commas; each Set adds to it.
type Addrs struct {
	P *[]string
}

// String returns the present values with commas. It is empty for the zero Addrs.
func (v Addrs) String() string {
	return join(v.P)
}

// Set adds the addresses in s. The error is a *RangeError.
func (v Addrs) Set(s string) error {
	add(v.P, s)
	return v.Check()
}

// Check returns a *RangeError if one of the present values is not allowed.
func (v Addrs) Check() error {
	for _, s := range *v.P {
		if !isAddr(s) {
			return &RangeError{s, "a list of HOST:PORT, separated by commas"}
		}
	}
	return nil
}

// URL is an absolute http or https URL, or empty.
type URL struct {
	P *string
}

// String returns the present value. It is empty for the zero URL.
func (v URL) String() string {
	if v.P == nil {
		return ""
	}
	return *v.P
}

// Set takes s. The error is a *RangeError.
func (v URL) Set(s string) error {
	*v.P = s
	return v.Check()
}

// Check returns a *RangeError if the present value is not allowed.
func (v URL) Check() error {
	if *v.P == "" {
		return nil
	}
	u, err := url.Parse(*v.P)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	return inRange(ok, v.String(), "an http or https URL, or nothing")
}
