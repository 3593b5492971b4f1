// Package rrflag provides values of command-line flags that have an allowed range.
// The error for any other value names that range.
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

	// Check returns a *RangeError if the current value is not allowed.
	Check() error
}

// RangeError says that a value is outside its allowed range.
type RangeError struct {
	Value   string
	Allowed string
}

// Error returns the allowed range. The flag package adds the value.
func (e *RangeError) Error() string {
	return "want " + e.Allowed
}

func checkRange(ok bool, value, allowed string) error {
	if ok {
		return nil
	}
	return &RangeError{value, allowed}
}

// Int is an integer from Min to Max.
type Int struct {
	Dest     *int
	Min, Max int
}

// String returns the current value. It is empty for the zero Int.
func (v Int) String() string {
	if v.Dest == nil {
		return ""
	}
	return strconv.Itoa(*v.Dest)
}

// Set parses s. The error is a *RangeError.
func (v Int) Set(s string) error {
	n, err := strconv.Atoi(s)
	if err != nil {
		return &RangeError{s, v.allowed()}
	}
	*v.Dest = n
	return v.Check()
}

// Check returns a *RangeError if the current value is not allowed.
func (v Int) Check() error {
	return checkRange(*v.Dest >= v.Min && *v.Dest <= v.Max, v.String(), v.allowed())
}

func (v Int) allowed() string {
	return fmt.Sprintf("a whole number from %d to %d", v.Min, v.Max)
}

// Duration is a duration from Min to Max.
type Duration struct {
	Dest     *time.Duration
	Min, Max time.Duration
}

// String returns the current value. It is empty for the zero Duration.
func (v Duration) String() string {
	if v.Dest == nil {
		return ""
	}
	return formatDuration(*v.Dest)
}

// Set parses s, such as 250ms or 2m. The error is a *RangeError.
func (v Duration) Set(s string) error {
	d, err := time.ParseDuration(s)
	if err != nil {
		return &RangeError{s, v.allowed()}
	}
	*v.Dest = d
	return v.Check()
}

// Check returns a *RangeError if the current value is not allowed.
func (v Duration) Check() error {
	return checkRange(*v.Dest >= v.Min && *v.Dest <= v.Max, v.String(), v.allowed())
}

func (v Duration) allowed() string {
	return fmt.Sprintf("a duration from %s to %s", formatDuration(v.Min), formatDuration(v.Max))
}

// formatDuration omits zero minutes and seconds at the end: 1h instead of 1h0m0s.
func formatDuration(d time.Duration) string {
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
	Dest     *int64
	Min, Max int64
}

var byteUnits = []struct {
	suffix string
	bytes  int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
}

// String returns the current value in the largest unit that divides it. It is empty
// for the zero Bytes.
func (v Bytes) String() string {
	if v.Dest == nil {
		return ""
	}
	return formatBytes(*v.Dest)
}

func formatBytes(n int64) string {
	for _, u := range byteUnits {
		if n != 0 && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10)
}

// Set parses a number with the unit KiB, MiB, GiB or none. The error is a
// *RangeError.
func (v Bytes) Set(s string) error {
	number, unit := s, int64(1)
	for _, u := range byteUnits {
		if cut, ok := strings.CutSuffix(s, u.suffix); ok {
			number, unit = cut, u.bytes
			break
		}
	}
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil || n > v.Max/unit {
		return &RangeError{s, v.allowed()}
	}
	*v.Dest = n * unit
	return v.Check()
}

// Check returns a *RangeError if the current value is not allowed.
func (v Bytes) Check() error {
	return checkRange(*v.Dest >= v.Min && *v.Dest <= v.Max, v.String(), v.allowed())
}

func (v Bytes) allowed() string {
	return fmt.Sprintf("bytes from %s to %s", formatBytes(v.Min), formatBytes(v.Max))
}

// Bool is true or false.
type Bool struct {
	Dest *bool
}

// String returns the current value. It is empty for the zero Bool.
func (v Bool) String() string {
	if v.Dest == nil {
		return ""
	}
	return strconv.FormatBool(*v.Dest)
}

// Set parses s. The error is a *RangeError.
func (v Bool) Set(s string) error {
	b, err := strconv.ParseBool(s)
	if err != nil {
		return &RangeError{s, "true or false"}
	}
	*v.Dest = b
	return nil
}

// Check returns nil.
func (v Bool) Check() error {
	return nil
}

// IsBoolFlag tells the flag package that the flag needs no value.
func (v Bool) IsBoolFlag() bool {
	return true
}

// Choice is one of the words in Allowed.
type Choice struct {
	Dest    *string
	Allowed []string
}

// String returns the current value. It is empty for the zero Choice.
func (v Choice) String() string {
	if v.Dest == nil {
		return ""
	}
	return *v.Dest
}

// Set stores s. The error is a *RangeError.
func (v Choice) Set(s string) error {
	*v.Dest = s
	return v.Check()
}

// Check returns a *RangeError if the current value is not allowed.
func (v Choice) Check() error {
	return checkRange(slices.Contains(v.Allowed, *v.Dest), v.String(), "one of "+strings.Join(v.Allowed, ", "))
}

// MaxNameBytes is the maximum length of a name.
const MaxNameBytes = 64

// IsName reports whether s is 1 to MaxNameBytes letters, digits, '.', '-' or '_'.
func IsName(s string) bool {
	if len(s) == 0 || len(s) > MaxNameBytes {
		return false
	}
	for _, r := range s {
		if !isNameRune(r) {
			return false
		}
	}
	return true
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '.' || r == '-' || r == '_'
}

// NameFormat describes what IsName accepts.
var NameFormat = fmt.Sprintf("1 to %d letters, digits, '.', '-' or '_'", MaxNameBytes)

// Name is a name that IsName accepts, such as that of an instance, zone or tenant.
type Name struct {
	Dest     *string
	Optional bool // the empty string is allowed
}

// String returns the current value. It is empty for the zero Name.
func (v Name) String() string {
	if v.Dest == nil {
		return ""
	}
	return *v.Dest
}

// Set stores s. The error is a *RangeError.
func (v Name) Set(s string) error {
	*v.Dest = s
	return v.Check()
}

// Check returns a *RangeError if the current value is not allowed.
func (v Name) Check() error {
	return checkRange(IsName(*v.Dest) || v.Optional && *v.Dest == "", v.String(), NameFormat)
}

// Names is a comma-separated list of names. Each Set replaces it.
type Names struct {
	Dest *[]string
}

// String returns the names, separated by commas. It is empty for the zero Names.
func (v Names) String() string {
	return joinList(v.Dest)
}

// Set replaces the names by those in s. The error is a *RangeError.
func (v Names) Set(s string) error {
	*v.Dest = nil
	appendList(v.Dest, s)
	return v.Check()
}

// Check returns a *RangeError if one of the current values is not allowed.
func (v Names) Check() error {
	for _, s := range *v.Dest {
		if !IsName(s) {
			return &RangeError{s, "names of " + NameFormat + ", separated by commas"}
		}
	}
	return nil
}

func joinList(p *[]string) string {
	if p == nil {
		return ""
	}
	return strings.Join(*p, ",")
}

func appendList(p *[]string, s string) {
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			*p = append(*p, part)
		}
	}
}

// Addr is an address HOST:PORT.
type Addr struct {
	Dest     *string
	Optional bool // the empty string is allowed
}

// String returns the current value. It is empty for the zero Addr.
func (v Addr) String() string {
	if v.Dest == nil {
		return ""
	}
	return *v.Dest
}

// Set stores s. The error is a *RangeError.
func (v Addr) Set(s string) error {
	*v.Dest = s
	return v.Check()
}

// Check returns a *RangeError if the current value is not allowed.
func (v Addr) Check() error {
	return checkRange(isAddr(*v.Dest) || v.Optional && *v.Dest == "", v.String(), "HOST:PORT with a port from 0 to 65535")
}

func isAddr(s string) bool {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// Addrs is a comma-separated list of HOST:PORT. Each Set adds to it.
type Addrs struct {
	Dest *[]string
}

// String returns the addresses, separated by commas. It is empty for the zero Addrs.
func (v Addrs) String() string {
	return joinList(v.Dest)
}

// Set adds the addresses in s. The error is a *RangeError.
func (v Addrs) Set(s string) error {
	appendList(v.Dest, s)
	return v.Check()
}

// Check returns a *RangeError if one of the current values is not allowed.
func (v Addrs) Check() error {
	for _, s := range *v.Dest {
		if !isAddr(s) {
			return &RangeError{s, "a list of HOST:PORT, separated by commas"}
		}
	}
	return nil
}

// URL is an absolute http or https URL, or the empty string.
type URL struct {
	Dest *string
}

// String returns the current value. It is empty for the zero URL.
func (v URL) String() string {
	if v.Dest == nil {
		return ""
	}
	return *v.Dest
}

// Set stores s. The error is a *RangeError.
func (v URL) Set(s string) error {
	*v.Dest = s
	return v.Check()
}

// Check returns a *RangeError if the current value is not allowed.
func (v URL) Check() error {
	if *v.Dest == "" {
		return nil
	}
	u, err := url.Parse(*v.Dest)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	return checkRange(ok, v.String(), "an http or https URL, or nothing")
}
