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

// Paths of the callers' interface that identify tells apart.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathStreams     = "/v1/streams/"
	PathServices    = "/services/"
)

// Facts are what a request is judged by.
type Facts struct {
	Config       *config.Document
	Keys         Keys
	Now          clock.Instant
	ModelTimeout time.Duration
}

// Identify fills in req from its method, path, header and body, or tells why
// it is refused. Every refusal is "not run".
func Identify(req *request.Request, f Facts) *outcome.Error {
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
	if err := markIdempotent(req); err != nil {
		return err
	}
	if err := setDeadline(req, timeout, f.Now); err != nil {
		return err
	}
	stripHeaders(req)
	return nil
}

// classify sets what the path and the body say, and returns the time to answer
// when the caller names none.
func classify(req *request.Request, f Facts) (time.Duration, *outcome.Error) {
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

// markIdempotent lets a caller mark a request as not repeatable. The other way
// is not open: what the operator says may run at most once stays so.
func markIdempotent(req *request.Request) *outcome.Error {
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

// stripHeaders removes what no later filter needs: an endpoint has no use for
// a caller's key and must not see it.
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
