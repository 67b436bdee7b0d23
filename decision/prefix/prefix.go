// Package prefix computes hashes that identify cached prompt prefixes. A prompt is
// divided into blocks of BytesPerBlock. The hash of a block covers its content and
// the hash of the block before it, and that of the first block covers the hash of
// the namespace. A block hash therefore identifies a whole prefix in a namespace.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the block layout.
const (
	// MeanBytesPerToken is the mean token length that estimates assume.
	MeanBytesPerToken = 4
	// TokensPerBlock is the number of tokens in a cache block.
	TokensPerBlock = 64
	// BytesPerBlock is the number of prompt bytes in a cache block.
	BytesPerBlock = TokensPerBlock * MeanBytesPerToken
)

// Namespace separates cache entries: a request may only use entries of its own
// namespace.
type Namespace struct {
	Team           string
	Model          string
	WeightsVersion string
	Adapter        string
}

// Hash returns the hash from which the namespace's block hashes are chained.
func (n Namespace) Hash() uint64 {
	d := xxhash.New()
	for _, part := range [...]string{n.Team, n.Model, n.WeightsVersion, n.Adapter} {
		// The length distinguishes ("ab","c") from ("a","bc").
		var size [4]byte
		binary.LittleEndian.PutUint32(size[:], uint32(len(part)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

// AppendBlockHashes appends the hashes of the full blocks of prompt to dst. Hash is the
// namespace's hash, from which the first block's hash is chained.
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

// EstimateTokens returns the estimated number of tokens of text, rounded up.
func EstimateTokens(text string) int {
	return (len(text) + MeanBytesPerToken - 1) / MeanBytesPerToken
}
