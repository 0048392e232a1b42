package once

import (
	"context"

	"chervilloom/internal/answer"
	"chervilloom/internal/filter"
	"chervilloom/internal/request"
)

// Before makes a filter that stands before the keys tell the truth about a
// keyed call: what it refuses itself goes through Refusal, what the filters
// after it tell is left as it is.
func Before(f filter.Filter) filter.Filter {
	return func(next filter.Handler) filter.Handler {
		h := f(filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			if own, ok := w.(*refusing); ok {
				w = own.Writer
			}
			next.Serve(ctx, req, w)
		}))
		return filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			h.Serve(ctx, req, &refusing{Writer: w, req: req})
		})
	}
}

// refusing is the writer that the wrapped filter sees.
type refusing struct {
	answer.Writer
	req *request.Request
}

// Finish tells a refusal of the filter itself.
func (r *refusing) Finish(e answer.End) {
	if e.Error != nil {
		e.Error = Refusal(r.req, e.Error)
	}
	r.Writer.Finish(e)
}
