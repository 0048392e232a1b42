// Package filter joins the filters of the request path. A filter is a pure
// decision with a thin adapter: it answers the request itself or hands it to
// the next one.
package filter

import (
	"context"

	"chervilloom/internal/answer"
	"chervilloom/internal/request"
)

// Handler answers a request. It returns when the answer is finished; it calls
// w.Finish exactly once, also when ctx ends.
type Handler interface {
	Serve(ctx context.Context, req *request.Request, w answer.Writer)
}

// Func is a Handler made of a function.
type Func func(ctx context.Context, req *request.Request, w answer.Writer)

// Serve calls f.
func (f Func) Serve(ctx context.Context, req *request.Request, w answer.Writer) { f(ctx, req, w) }

// Filter wraps the rest of the path.
type Filter func(next Handler) Handler

// Chain returns the path that goes through the filters in order and ends at last.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}
