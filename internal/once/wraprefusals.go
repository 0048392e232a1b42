package once

import (
	"context"

	"chervilloom/internal/answer"
	"chervilloom/internal/filter"
	"chervilloom/internal/request"
)

// WrapRefusals wraps a filter that runs before the Keeper's filter, so that its
// refusals report the right outcome for calls with a key or ticket: errors of f
// itself are passed through Refusal, errors of the filters after it are left
// unchanged.
func WrapRefusals(f filter.Filter) filter.Filter {
	return func(next filter.Handler) filter.Handler {
		h := f(filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			if wrapped, ok := w.(*refusalWriter); ok {
				w = wrapped.Writer
			}
			next.Serve(ctx, req, w)
		}))
		return filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			h.Serve(ctx, req, &refusalWriter{Writer: w, req: req})
		})
	}
}

// refusalWriter is the answer.Writer given to the wrapped filter.
type refusalWriter struct {
	answer.Writer
	req *request.Request
}

// Finish implements answer.Writer and passes an error through Refusal.
func (r *refusalWriter) Finish(e answer.End) {
	if e.Error != nil {
		e.Error = Refusal(r.req, e.Error)
	}
	r.Writer.Finish(e)
}
