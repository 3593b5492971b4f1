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

// Error describes a failed call.
type Error struct {
	Path         string // path of the call
	MaybeApplied bool   // the store may have applied the call; false means that it certainly did not
	Status       int    // HTTP status of the response; zero if there was none
	Code         int    // gRPC status code in the response; zero if it has none
	Err          error
}

// Error returns the path of the call, whether the store may have applied it, and
// the cause.
func (e *Error) Error() string {
	if e.MaybeApplied {
		return fmt.Sprintf("%s may have been applied: %v", e.Path, e.Err)
	}
	return fmt.Sprintf("%s was not applied: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// NotApplied reports whether err says that the store certainly did not apply the
// call. It returns false for nil and for errors that leave this open.
func NotApplied(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.MaybeApplied
}

func notApplied(path string, err error) error {
	return &Error{Path: path, Err: err}
}

// isStoreFailure reports whether err is a failure of the store rather than an
// error in the request.
func isStoreFailure(err error) bool {
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

// maxErrorBodyBytes bounds how much of an error response's body the client reads.
const maxErrorBodyBytes = 4 << 10

// responseError converts a response with an error status to an *Error.
func responseError(path string, r *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBodyBytes))
	e := &Error{Path: path, Status: r.StatusCode, MaybeApplied: statusMaybeApplied(r.StatusCode)}
	var msg rretcd.Error
	if json.Unmarshal(body, &msg) != nil || msg.Code == 0 {
		e.Err = merry.Errorf("the store answered %s: %.200q", r.Status, body)
		return e
	}
	e.Code = msg.Code
	e.MaybeApplied = !msg.NotApplied()
	e.Err = &msg
	return e
}

// statusMaybeApplied reports whether the store may have applied a call that it
// answered with this HTTP status and no gRPC status code.
func statusMaybeApplied(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return false
	}
	return true
}
