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

// A frame consists of its length (4 bytes, big endian, not counting these 4),
// its type (1 byte) and its content: CBOR, or raw bytes in a body frame.
const (
	lengthBytes      = 4
	frameHeaderBytes = lengthBytes + 1
)

type frameType byte

const (
	frameHello   frameType = iota + 1 // helloFrame
	frameRequest                      // requestFrame
	frameBody                         // raw bytes of the request body
	frameReady                        // empty: the whole request was received, Commit is awaited
	frameCommit                       // empty: the request may run
	frameStart                        // answer.Head
	frameData                         // answer.Frame
	frameEnd                          // endFrame
	frameCall                         // callFrame
	frameReply                        // replyFrame
	frameMessage                      // messageFrame
)

// Maximum content sizes. A longer frame is rejected before its content is read.
const (
	maxHelloBytes   = 4 << 10
	maxRequestBytes = 1 << 20
	maxAnswerBytes  = 8 << 20
	maxCallBytes    = 16 << 20
	maxMessageBytes = 1 << 20
	bodyChunkBytes  = 256 << 10
)

var (
	encoder    cbor.UserBufferEncMode
	decoder    cbor.DecMode
	bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

func init() {
	var err error
	if encoder, err = (cbor.EncOptions{}).UserBufferEncMode(); err != nil {
		panic(err) // unreachable: the options are constant
	}
	opts := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 16}
	if decoder, err = opts.DecMode(); err != nil {
		panic(err) // unreachable: the options are constant
	}
}

var errProtocol = errors.New("peer: the other side doesn't keep to the protocol; run the same version on all nodes")

// appendFrame appends a frame with v encoded as CBOR, or an empty frame if v is nil.
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
	var head [frameHeaderBytes]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(raw)+1))
	head[lengthBytes] = byte(t)
	b.Write(head[:])
	b.Write(raw)
}

// writeFrame writes one frame in a single Write call. It fails if the content is
// longer than limit bytes.
func writeFrame(w io.Writer, t frameType, v any, limit int) error {
	b := bufferPool.Get().(*bytes.Buffer)
	defer releaseBuffer(b)
	b.Reset()
	if err := appendFrame(b, t, v); err != nil {
		return err
	}
	if n := b.Len() - frameHeaderBytes; n > limit {
		return fmt.Errorf("peer: frame of %d bytes exceeds the limit of %d bytes; send smaller pieces", n, limit)
	}
	_, err := w.Write(b.Bytes())
	return err
}

// maxPooledBytes is the capacity in bytes of the largest buffer returned to the pool.
const maxPooledBytes = 64 << 10

func releaseBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBytes {
		bufferPool.Put(b)
	}
}

// readerPool is a pool of buffered stream readers; a relay uses one on each node.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

const readBufferBytes = 8 << 10

func borrowReader(r io.Reader) *bufio.Reader {
	b := readerPool.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

func returnReader(b *bufio.Reader) {
	b.Reset(nil)
	readerPool.Put(b)
}

// frameReader reads frames. The returned content is valid until the next read.
type frameReader struct {
	r      io.Reader
	header [frameHeaderBytes]byte
	buf    []byte
}

// next returns the next frame. It returns io.EOF only at a frame boundary.
func (f *frameReader) next(limit int) (frameType, []byte, error) {
	if _, err := io.ReadFull(f.r, f.header[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(f.header[:])) - 1
	if n < 0 || n > limit {
		return 0, nil, fmt.Errorf("%w: a frame of %d bytes, limit %d", errProtocol, n, limit)
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
	return frameType(f.header[lengthBytes]), f.buf, nil
}

// expect reads a frame of type t and decodes it into v.
func (f *frameReader) expect(t frameType, v any, limit int) error {
	got, content, err := f.next(limit)
	if err != nil {
		return err
	}
	if got != t {
		return fmt.Errorf("%w: frame type %d in place of %d", errProtocol, got, t)
	}
	return decode(content, v)
}

func decode(content []byte, v any) error {
	if err := decoder.Unmarshal(content, v); err != nil {
		return fmt.Errorf("%w: %w", errProtocol, err)
	}
	return nil
}
