package rrclaim

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"rattanring/core/rrcode"
)

// KeyPrefix is the prefix of the keys of all claims.
const KeyPrefix = "rattanring/claims/"

// idTime returns the timestamp of a request id, and false if the id is not a
// version 7 UUID in canonical form.
func idTime(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 || u.String() != id {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// claimKey returns the key of the claim of a request id with timestamp at: the prefix,
// the hours from the Unix epoch to at, and the id. The keys sort by timestamp.
func claimKey(at time.Time, id string) string {
	return fmt.Sprintf("%s%08d/%s", KeyPrefix, at.Unix()/int64(time.Hour/time.Second), id)
}

// firstKeyAt returns a key that sorts after the keys of all claims with timestamps before
// at, and not after the key of any other claim.
func firstKeyAt(at time.Time) string {
	ms := at.UnixMilli()
	return claimKey(at, fmt.Sprintf("%08x-%04x", ms>>16, ms&0xffff))
}

// validateID returns the key of a request id, or the code and reason of its refusal.
//
// Clocks differ: an id just above MaxFutureOffset here may be below it at the entry
// that received the first submission. Up to twice MaxFutureOffset, the job may
// therefore have run.
func validateID(now time.Time, id string) (key string, code rrcode.Code, detail string) {
	at, ok := idTime(id)
	switch {
	case !ok:
		return "", rrcode.BadRequest, "the request id of a non-idempotent job is not a version 7 UUID in lower case"
	case at.Sub(now) > 2*MaxFutureOffset:
		return "", rrcode.BadRequest, "the time of the request id lies in the future"
	case at.Sub(now) > MaxFutureOffset:
		return "", rrcode.ClaimHeld, "the time of the request id lies in the future; another entry may have run it"
	case now.Sub(at) > MaxRequestAge:
		return "", rrcode.Expired, rrcode.Expired.Description()
	}
	return claimKey(at, id), 0, ""
}
