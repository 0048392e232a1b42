package peer

import (
	"errors"
	"fmt"

	"chervilloom/internal/answer"
	"chervilloom/internal/outcome"
)

// errTaker marks an error of the writer that the answer goes to.
var errTaker = errors.New("peer: the caller takes no more of the answer")

// taker reads an answer, checks it and writes it on.
type taker struct {
	w             answer.Writer
	started       bool
	finishedWhole bool
	sum           summary
}

// take returns the End frame after it was checked against what came before it.
// Any other way in which the stream ends is an error.
func (t *taker) take(r *frameReader) (*endFrame, error) {
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
			err = fmt.Errorf("%w: frame type %d in an answer", errFrame, kind)
		}
		if err != nil {
			return nil, err
		}
	}
}

func (t *taker) start(content []byte) error {
	if t.started {
		return fmt.Errorf("%w: an answer began twice", errFrame)
	}
	var head answer.Head
	if err := decode(content, &head); err != nil {
		return err
	}
	t.started = true
	t.sum = newSummary(head.Stream)
	if err := t.w.Start(head); err != nil {
		return fmt.Errorf("%w: %w", errTaker, err)
	}
	return nil
}

func (t *taker) data(content []byte) error {
	if !t.started {
		return fmt.Errorf("%w: data before the answer's start", errFrame)
	}
	var f answer.Frame
	if err := decode(content, &f); err != nil {
		return err
	}
	if err := t.sum.add(&f); err != nil {
		return err
	}
	if err := t.w.Frame(f); err != nil {
		return fmt.Errorf("%w: %w", errTaker, err)
	}
	return nil
}

func (t *taker) end(content []byte) (*endFrame, error) {
	var e endFrame
	if err := decode(content, &e); err != nil {
		return nil, err
	}
	if !e.Whole {
		return &e, nil
	}
	if !t.started {
		return nil, fmt.Errorf("%w: an answer ended whole that never began", errFrame)
	}
	if err := t.sum.matches(&e); err != nil {
		return nil, err
	}
	return &e, nil
}

func (t *taker) whole() answer.End {
	t.finishedWhole = true
	return answer.End{Whole: true, Frames: t.sum.frames, Bytes: t.sum.bytes, Hash: t.sum.hash.Sum64()}
}

func (t *taker) cut(err *outcome.Error) answer.End {
	return answer.End{Frames: t.sum.frames, Bytes: t.sum.bytes, Hash: t.sum.hash.Sum64(), Error: err}
}
