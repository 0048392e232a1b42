package peer

import (
	"errors"
	"fmt"

	"chervilloom/internal/answer"
	"chervilloom/internal/outcome"
)

// errWriter wraps an error of the answer.Writer that the answer is written to.
var errWriter = errors.New("peer: the answer cannot be written to the caller")

// answerReader reads an answer from the link, verifies it and writes it to w.
type answerReader struct {
	w        answer.Writer
	started  bool
	complete bool
	sum      summary
}

// readAll copies the answer and returns its End frame, verified against the
// received frames. A stream that ends in any other way is an error.
func (t *answerReader) readAll(r *frameReader) (*endFrame, error) {
	for {
		kind, content, err := r.next(maxAnswerBytes)
		if err != nil {
			return nil, err
		}
		switch kind {
		case frameStart:
			err = t.start(content)
		case frameData:
			err = t.data(content)
		case frameEnd:
			return t.end(content)
		default:
			err = fmt.Errorf("%w: unexpected frame of type %d in an answer", errProtocol, kind)
		}
		if err != nil {
			return nil, err
		}
	}
}

func (t *answerReader) start(content []byte) error {
	if t.started {
		return fmt.Errorf("%w: duplicate start of an answer", errProtocol)
	}
	var head answer.Head
	if err := decode(content, &head); err != nil {
		return err
	}
	t.started = true
	t.sum = newSummary(head.Stream)
	if err := t.w.Start(head); err != nil {
		return fmt.Errorf("%w: %w", errWriter, err)
	}
	return nil
}

func (t *answerReader) data(content []byte) error {
	if !t.started {
		return fmt.Errorf("%w: data frame before the start of the answer", errProtocol)
	}
	var f answer.Frame
	if err := decode(content, &f); err != nil {
		return err
	}
	if err := t.sum.add(&f); err != nil {
		return err
	}
	if err := t.w.Frame(f); err != nil {
		return fmt.Errorf("%w: %w", errWriter, err)
	}
	return nil
}

func (t *answerReader) end(content []byte) (*endFrame, error) {
	var e endFrame
	if err := decode(content, &e); err != nil {
		return nil, err
	}
	if !e.Whole {
		return &e, nil
	}
	if !t.started {
		return nil, fmt.Errorf("%w: End reports a whole answer that was never started", errProtocol)
	}
	if err := t.sum.verify(&e); err != nil {
		return nil, err
	}
	return &e, nil
}

func (t *answerReader) wholeEnd() answer.End {
	t.complete = true
	return answer.End{Complete: true, Frames: t.sum.frames, Bytes: t.sum.bytes, Hash: t.sum.hash.Sum64()}
}

func (t *answerReader) cutEnd(err *outcome.Error) answer.End {
	return answer.End{Frames: t.sum.frames, Bytes: t.sum.bytes, Hash: t.sum.hash.Sum64(), Error: err}
}
