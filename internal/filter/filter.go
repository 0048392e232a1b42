// Package filter chains the filters of the request path. A filter answers a
// request itself or passes it to the next handler. Each is a thin adapter around
// a decision without side effects.
package filter

import (
	"context"

	"chervilloom/internal/answer"
	"chervilloom/internal/request"
)

// Handler answers a request. Serve calls w.Finish exactly once, even if ctx ends,
// and returns after the answer is finished.
type Handler interface {
	Serve(ctx context.Context, req *request.Request, w answer.Writer)
}

// Func adapts a function to Handler.
type Func func(ctx context.Context, req *request.Request, w answer.Writer)

// Serve calls f.
func (f Func) Serve(ctx context.Context, req *request.Request, w answer.Writer) { f(ctx, req, w) }

// Filter wraps the next handler of the path.
type Filter func(next Handler) Handler

// Chain returns a handler that runs the filters in order and then last.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}
