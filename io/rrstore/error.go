package rrstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"rattanring/io/rretcd"
)

// Error is a call that has no good answer.
type Error struct {
	Op           string // path of the call
	MaybeApplied bool   // the call may have had its effect; false means that it is known to have had none
	Status       int    // HTTP status of the answer; zero without an answer
	Code         int    // gRPC number of the answer; zero when it has none
	Err          error
}

// Error returns the call, whether it may have had its effect, and the cause.
func (e *Error) Error() string {
	if e.MaybeApplied {
		return fmt.Sprintf("%s may have been applied: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("%s was not applied: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// NotApplied reports whether err says that the call is known to have had no
// effect. It is false for nil and for any error that leaves doubt.
func NotApplied(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.MaybeApplied
}

func notApplied(op string, err error) error {
	return &Error{Op: op, Err: err}
}

// isServiceFailure reports whether err is a failure of the service and not of the request.
func isServiceFailure(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Code {
	case rretcd.CodeInvalidArgument, rretcd.CodeNotFound, rretcd.CodeFailedPrecondition, rretcd.CodeOutOfRange:
		return false
	}
	return true
}

// maxErrorBodyBytes is the most that is read of the body of an error answer, in bytes.
const maxErrorBodyBytes = 4 << 10

// responseError turns an answer with an error status into an *Error.
func responseError(op string, r *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBodyBytes))
	e := &Error{Op: op, Status: r.StatusCode, MaybeApplied: statusMaybeApplied(r.StatusCode)}
	var msg rretcd.Error
	if json.Unmarshal(body, &msg) != nil || msg.Code == 0 {
		e.Err = merry.Errorf("%s: %.200q", r.Status, body)
		return e
	}
	e.Code = msg.Code
	e.MaybeApplied = !msg.NotApplied()
	e.Err = &msg
	return e
}

// statusMaybeApplied reports whether an answer without a gRPC number leaves open if
// the call had its effect.
func statusMaybeApplied(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return false
	}
	return true
}
