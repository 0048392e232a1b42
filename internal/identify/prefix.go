package identify

import (
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/fleet"
)

// The boundaries at which a prompt's prefix is hashed: every prefixBlock bytes
// for the first fineBlocks, from there at blocks that double in length.
const (
	prefixBlock = 256
	fineBlocks  = 32
	maxPrefixes = 44 // reaches 8 KiB + 1 MiB
)

// Estimates of the length of a token, and of what a message costs beside its text.
const (
	asciiPerToken     = 4.0
	otherPerToken     = 1.5 // characters of other scripts
	tokensPerField    = 2
	separator         = "\x00"
	tokensOfAnyPrompt = 1
)

// prefixHasher hashes the growing prefixes of a prompt and estimates its tokens.
type prefixHasher struct {
	d      *xxhash.Digest
	block  int // bytes between this boundary and the next
	room   int // bytes up to the next boundary
	hashes []uint64
	ascii  int
	other  int
	fields int
}

// newPrefixHasher starts with the adapter: the cached state of a prompt
// differs between adapters.
func newPrefixHasher(t fleet.Target) *prefixHasher {
	h := &prefixHasher{d: xxhash.New(), block: prefixBlock, room: prefixBlock}
	h.d.WriteString(t.Model + separator + t.Adapter + separator)
	return h
}

// add appends a field of the prompt.
func (h *prefixHasher) add(s string) {
	if s == "" {
		return
	}
	h.fields++
	h.count(s)
	for len(s) > 0 && len(h.hashes) < maxPrefixes {
		n := min(len(s), h.room)
		h.d.WriteString(s[:n])
		s = s[n:]
		h.room -= n
		if h.room == 0 {
			h.boundary()
		}
	}
	h.d.WriteString(separator)
}

func (h *prefixHasher) boundary() {
	h.hashes = append(h.hashes, h.d.Sum64())
	if len(h.hashes) >= fineBlocks {
		h.block *= 2
	}
	h.room = h.block
}

func (h *prefixHasher) count(s string) {
	for i := 0; i < len(s); {
		if s[i] < utf8.RuneSelf {
			h.ascii++
			i++
			continue
		}
		_, n := utf8.DecodeRuneInString(s[i:])
		h.other++
		i += n
	}
}

func (h *prefixHasher) tokens() int {
	n := float64(h.ascii)/asciiPerToken + float64(h.other)/otherPerToken
	return int(n) + h.fields*tokensPerField + tokensOfAnyPrompt
}
