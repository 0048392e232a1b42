package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// A frame is its length (4 bytes, big endian, of what follows), its type (1
// byte) and its content: CBOR, but raw bytes in a body frame.
const (
	lengthBytes = 4
	frameHead   = lengthBytes + 1
)

type frameType byte

const (
	frameHello   frameType = iota + 1 // helloFrame
	frameRequest                      // requestFrame
	frameBody                         // raw bytes of the request's body
	frameReady                        // empty: the request has arrived whole and waits for its Commit
	frameCommit                       // empty: the request may run
	frameStart                        // answer.Head
	frameData                         // answer.Frame
	frameEnd                          // endFrame
	frameCall                         // callFrame
	frameReply                        // replyFrame
	frameMessage                      // messageFrame
)

// Bounds of what one frame may hold. A longer one is refused before it is read.
const (
	maxHelloBytes   = 4 << 10
	maxRequestBytes = 1 << 20
	maxAnswerBytes  = 8 << 20
	maxCallBytes    = 16 << 20
	maxMessageBytes = 1 << 20
	bodyChunkBytes  = 256 << 10
)

var (
	encoder cbor.UserBufferEncMode
	decoder cbor.DecMode
	buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

func init() {
	var err error
	if encoder, err = (cbor.EncOptions{}).UserBufferEncMode(); err != nil {
		panic(err) // the options are constants
	}
	opts := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 16}
	if decoder, err = opts.DecMode(); err != nil {
		panic(err) // the options are constants
	}
}

var errFrame = errors.New("peer: the other side doesn't keep to the protocol; run the same version on all nodes")

// appendFrame adds a frame with the CBOR form of v, or an empty one when v is nil.
func appendFrame(b *bytes.Buffer, t frameType, v any) error {
	at := b.Len()
	b.Write(make([]byte, lengthBytes))
	b.WriteByte(byte(t))
	if v != nil {
		if err := encoder.MarshalToBuffer(v, b); err != nil {
			return err
		}
	}
	binary.BigEndian.PutUint32(b.Bytes()[at:], uint32(b.Len()-at-lengthBytes))
	return nil
}

func appendRaw(b *bytes.Buffer, t frameType, raw []byte) {
	var head [frameHead]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(raw)+1))
	head[lengthBytes] = byte(t)
	b.Write(head[:])
	b.Write(raw)
}

// writeFrame writes one frame in one Write. limit bounds the content.
func writeFrame(w io.Writer, t frameType, v any, limit int) error {
	b := buffers.Get().(*bytes.Buffer)
	defer release(b)
	b.Reset()
	if err := appendFrame(b, t, v); err != nil {
		return err
	}
	if n := b.Len() - frameHead; n > limit {
		return fmt.Errorf("peer: a frame of %d bytes is over the limit of %d; send less at once", n, limit)
	}
	_, err := w.Write(b.Bytes())
	return err
}

// keptBuffer is the largest buffer that goes back to the pool.
const keptBuffer = 64 << 10

func release(b *bytes.Buffer) {
	if b.Cap() <= keptBuffer {
		buffers.Put(b)
	}
}

// readers are the buffers in front of streams; a relay needs one at either end.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

const readBuffer = 8 << 10

func borrowReader(r io.Reader) *bufio.Reader {
	b := readers.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

func returnReader(b *bufio.Reader) {
	b.Reset(nil)
	readers.Put(b)
}

// frameReader reads frames. The content of a frame is valid until the next read.
type frameReader struct {
	r    io.Reader
	head [frameHead]byte
	buf  []byte
}

// next returns the next frame. It returns io.EOF only between two frames.
func (f *frameReader) next(limit int) (frameType, []byte, error) {
	if _, err := io.ReadFull(f.r, f.head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(f.head[:])) - 1
	if n < 0 || n > limit {
		return 0, nil, fmt.Errorf("%w: a frame of %d bytes, limit %d", errFrame, n, limit)
	}
	if cap(f.buf) < n {
		f.buf = make([]byte, n)
	}
	f.buf = f.buf[:n]
	if _, err := io.ReadFull(f.r, f.buf); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, err
	}
	return frameType(f.head[lengthBytes]), f.buf, nil
}

// expect reads a frame of type t into v.
func (f *frameReader) expect(t frameType, v any, limit int) error {
	got, content, err := f.next(limit)
	if err != nil {
		return err
	}
	if got != t {
		return fmt.Errorf("%w: frame type %d in place of %d", errFrame, got, t)
	}
	return decode(content, v)
}

func decode(content []byte, v any) error {
	if err := decoder.Unmarshal(content, v); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	return nil
}
