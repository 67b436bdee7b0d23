// Package answer defines the deterministic output of the stand-in engine and
// plain service, so that a load tool can recompute what a caller must receive.
package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the length in bytes of each output token.
const TokenBytes = 4

// CrashMarker is the text in a prompt or a service body that crashes the
// stand-in which runs it.
const CrashMarker = "[[crash-engine]]"

// Hash identifies a prompt or a service body in audit logs.
func ContentHash(content string) string {
	return strconv.FormatUint(xxhash.Sum64String(content), 16)
}

// Stream produces the output tokens of one prompt.
type Output struct{ seed uint64 }

// New returns the output of a prompt.
func OutputFor(prompt string) Output { return Output{seed: xxhash.Sum64String(prompt)} }

const tokenAlphabet = "abcdefghijklmnopqrstuvwxyz234567"

// Token returns the output token with the given index, counted from 0.
func (o Output) Token(index int) string {
	// Mixing constants of SplitMix64.
	x := o.seed + uint64(index+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return string([]byte{' ', tokenAlphabet[x&31], tokenAlphabet[x>>5&31], tokenAlphabet[x>>10&31]})
}

// Text returns the output tokens from index from up to but not including to.
func (o Output) Text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(o.Token(i))
	}
	return b.String()
}
