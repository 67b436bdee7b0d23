// Package answer defines the deterministic output of the stand-ins (the simulated
// engine and HTTP service in standin/), so that a load generator can compute the
// response that a caller must receive.
package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the length in bytes of each output token.
const TokenBytes = 4

// CrashMarker is the text in a prompt or a service request body that makes the
// stand-in running it crash.
const CrashMarker = "[[crash-engine]]"

// ContentHash identifies a prompt or a service request body in audit logs.
func ContentHash(content string) string {
	return strconv.FormatUint(xxhash.Sum64String(content), 16)
}

// Output is the deterministic token sequence generated for one prompt.
type Output struct{ seed uint64 }

// OutputFor returns the output for a prompt.
func OutputFor(prompt string) Output { return Output{seed: xxhash.Sum64String(prompt)} }

const tokenAlphabet = "abcdefghijklmnopqrstuvwxyz234567"

// Token returns the output token at a zero-based index.
func (o Output) Token(index int) string {
	// Increment and mixing constants of SplitMix64.
	x := o.seed + uint64(index+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return string([]byte{' ', tokenAlphabet[x&31], tokenAlphabet[x>>5&31], tokenAlphabet[x>>10&31]})
}

// Text returns the concatenated output tokens with indexes in [from, to).
func (o Output) Text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(o.Token(i))
	}
	return b.String()
}
