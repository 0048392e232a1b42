package engine

import (
	"github.com/cespare/xxhash/v2"
)

// The boundaries at which a prompt's prefix is hashed: every PrefixBlock bytes
// of text for the first fineBlocks, from there at blocks that double in length.
const (
	PrefixBlock = 256
	MaxPrefixes = 44 // reaches 8 KiB + 2 MiB
	fineBlocks  = 32
	// separator keeps fields apart; it counts for no block.
	separator = "\x00"
	// bytesPerToken is the usual length of a token of English text.
	bytesPerToken = 4
)

// Prefixes returns the hashes of a prompt's growing prefixes, shortest first,
// as engines name them in cache events. The model is named as the caller names
// it, "model[+adapter][@version]", and is part of each hash: the cached state
// differs between adapters. The last hash covers the prompt up to its end,
// unless that lies beyond the last boundary.
func Prefixes(model string, messages []Message) []uint64 {
	p := prefixes{d: xxhash.New(), block: PrefixBlock, room: PrefixBlock}
	p.write(model + separator)
	for _, m := range messages {
		p.field(m.Role)
		p.field(m.Content)
	}
	if p.room < p.block && len(p.hashes) < MaxPrefixes {
		p.hashes = append(p.hashes, p.d.Sum64())
	}
	return p.hashes
}

// PromptTokens estimates the tokens of a prompt.
func PromptTokens(messages []Message) int {
	bytes := 0
	for _, m := range messages {
		bytes += len(m.Role) + len(m.Content)
	}
	return bytes/bytesPerToken + 1
}

// PrefixTokens estimates the tokens that the first n hashes of a prompt cover at
// most: the last may end within its block.
func PrefixTokens(n int) int { return prefixBytes(n) / bytesPerToken }

// prefixBytes returns the bytes of text that the first n hashes cover.
func prefixBytes(n int) int {
	total, block := 0, PrefixBlock
	for i := range n {
		total += block
		if i+1 >= fineBlocks {
			block *= 2
		}
	}
	return total
}

type prefixes struct {
	d      *xxhash.Digest
	block  int // bytes between this boundary and the next
	room   int // bytes up to the next boundary
	hashes []uint64
}

func (p *prefixes) write(s string) { _, _ = p.d.WriteString(s) } // never fails

func (p *prefixes) field(s string) {
	if s == "" {
		return
	}
	for len(s) > 0 && len(p.hashes) < MaxPrefixes {
		n := min(len(s), p.room)
		p.write(s[:n])
		s = s[n:]
		p.room -= n
		if p.room == 0 {
			p.boundary()
		}
	}
	p.write(separator)
}

func (p *prefixes) boundary() {
	p.hashes = append(p.hashes, p.d.Sum64())
	if len(p.hashes) >= fineBlocks {
		p.block *= 2
	}
	p.room = p.block
}
