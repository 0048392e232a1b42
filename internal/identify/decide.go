package identify

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// Paths of the caller API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathStreams     = "/v1/streams/"
	PathServices    = "/services/"
)

// Inputs contains the inputs of Identify other than the request.
type Inputs struct {
	Config       *config.Document
	Keys         Keys
	Now          clock.Instant
	ModelTimeout time.Duration
}

// Identify sets the fields of req that follow from its method, path, header and
// body. If the request is refused, it returns an error with the outcome "not
// run".
func Identify(req *request.Request, f Inputs) *outcome.Error {
	org, err := authorise(req.Header, f.Keys)
	if err != nil {
		return err
	}
	req.Organisation = fleet.Organisation(org.Name)
	req.Priority = org.Priority
	timeout, err := classify(req, f)
	if err != nil {
		return err
	}
	if err := applyIdempotentHeader(req); err != nil {
		return err
	}
	if err := setDeadline(req, timeout, f.Now); err != nil {
		return err
	}
	stripHeaders(req)
	return nil
}

// classify sets the fields of req that follow from its path and body, and
// returns the timeout of a request without a deadline.
func classify(req *request.Request, f Inputs) (time.Duration, *outcome.Error) {
	path, _, _ := strings.Cut(req.Path, "?")
	switch {
	case strings.HasPrefix(path, PathServices):
		return identifyService(req, f.Config)
	case req.ResumeID != "":
		req.Class, req.Idempotent, req.Stream = request.ClassModel, true, true
		return f.ModelTimeout, nil
	case path == PathChat || path == PathCompletions:
		return f.ModelTimeout, identifyModel(req, f.Config)
	}
	return 0, refuse(outcome.BadRequest, fmt.Sprintf("nothing is served at %.100q", path),
		"use "+PathChat+", "+PathCompletions+" or "+PathServices+"{name}/")
}

// applyIdempotentHeader lets a caller mark a request as not repeatable. The
// opposite is not possible: a call that the operator has configured as at most
// once stays so.
func applyIdempotentHeader(req *request.Request) *outcome.Error {
	switch v := req.Header.Get(HeaderIdempotent); v {
	case "", "true":
		return nil
	case "false":
		req.Idempotent = false
		if req.Class == request.ClassLookup {
			req.Class = request.ClassCall
		}
		return nil
	default:
		return refuse(outcome.BadRequest, fmt.Sprintf("header %s is %.40q", HeaderIdempotent, v),
			`send "false" for a request that may run at most once, or leave the header out`)
	}
}

func setDeadline(req *request.Request, timeout time.Duration, now clock.Instant) *outcome.Error {
	if v := req.Header.Get(HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return refuse(outcome.BadRequest, fmt.Sprintf("header %s is %.40q", HeaderDeadline, v),
				"send the milliseconds that are left, as a whole number")
		}
		timeout = time.Duration(min(ms, MaxTimeout.Milliseconds())) * time.Millisecond
	}
	req.Deadline = req.Arrived.Add(timeout)
	if timeout <= 0 || !now.Before(req.Deadline) {
		return refuse(outcome.DeadlineExceeded, "the deadline passed before the request was dispatched",
			"send it again with more time")
	}
	return nil
}

// stripHeaders removes headers that no later filter needs. In particular, an
// endpoint must not see a caller's key.
func stripHeaders(req *request.Request) {
	req.Header.Del("Authorization")
	req.Header.Del(HeaderDeadline)
	req.Header.Del(HeaderIdempotent)
	if req.Class == request.ClassModel {
		req.Header.Del(HeaderResume)
	}
}

func refuse(k outcome.Kind, message, remedy string) *outcome.Error {
	return outcome.New(k, outcome.NotRun, message, remedy)
}
