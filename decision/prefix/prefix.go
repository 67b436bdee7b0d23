// Package prefix names cached prompt prefixes. A prompt is cut into blocks of
// BlockBytes; each block's hash chains over the hash of the block before it,
// and the first one over the namespace, so that a hash names a whole prefix in
// one namespace.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the block layout.
const (
	// BytesPerToken is the mean length of a token that estimates assume.
	MeanBytesPerToken = 4
	// BlockTokens is the number of tokens in a cache block.
	TokensPerBlock = 64
	// BlockBytes is the number of prompt bytes in a cache block.
	BytesPerBlock = TokensPerBlock * MeanBytesPerToken
)

// Namespace separates cache entries that must never serve each other.
type Namespace struct {
	Team           string
	Model          string
	WeightsVersion string
	Adapter        string
}

// Seed returns the hash that starts the chain of the namespace.
func (n Namespace) Hash() uint64 {
	d := xxhash.New()
	for _, part := range [...]string{n.Team, n.Model, n.WeightsVersion, n.Adapter} {
		// The length keeps ("ab","c") apart from ("a","bc").
		var size [4]byte
		binary.LittleEndian.PutUint32(size[:], uint32(len(part)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

// AppendChain appends the hashes of the full blocks of prompt to dst.
func AppendBlockHashes(dst []uint64, hash uint64, prompt string) []uint64 {
	var buf [8 + BytesPerBlock]byte
	for len(prompt) >= BytesPerBlock {
		binary.LittleEndian.PutUint64(buf[:8], hash)
		copy(buf[8:], prompt[:BytesPerBlock])
		hash = xxhash.Sum64(buf[:])
		dst = append(dst, hash)
		prompt = prompt[BytesPerBlock:]
	}
	return dst
}

// Tokens returns the estimated number of tokens of text, rounded up.
func EstimateTokens(text string) int {
	return (len(text) + MeanBytesPerToken - 1) / MeanBytesPerToken
}
