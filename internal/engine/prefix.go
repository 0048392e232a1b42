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
)

// Prefixes returns the hashes of a prompt's growing prefixes, shortest first,
// as engines name them in cache events. The model and the adapter are part of
// each hash, since the cached state differs between adapters. The fields are
// those of the prompt in order: each message's role and content. Text after the
// last boundary is not hashed.
func Prefixes(model, adapter string, fields []string) []uint64 {
	p := prefixes{d: xxhash.New(), block: PrefixBlock, room: PrefixBlock}
	p.write(model + separator + adapter + separator)
	for _, f := range fields {
		p.field(f)
	}
	return p.hashes
}

// PromptFields returns the fields of a chat prompt.
func PromptFields(messages []Message) []string {
	fields := make([]string, 0, 2*len(messages))
	for _, m := range messages {
		fields = append(fields, m.Role, m.Content)
	}
	return fields
}

// PrefixBytes returns the bytes of text that the first n hashes cover.
func PrefixBytes(n int) int {
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
